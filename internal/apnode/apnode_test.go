package apnode_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/aplog"
	"auburnport/internal/apnode"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/platform"
	"auburnport/platform/emulator"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// reset drops the lines so far.
func (l *logBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// hasLine reports whether one line contains all parts.
func (l *logBuffer) hasLine(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			return true
		}
	}
	return false
}

// entryCount is the number of entries that this process has started.
var entryCount atomic.Uint32

// uniqueLoopback derives a loopback address from the process ID, so that the entry's fixed ports are free.
func uniqueLoopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(200 + entryCount.Add(1))})
}

var findQueue = apemulator.QueueSpec{
	Name: "find", Host: "queues.example", Prefix: "/find/", Service: "search", MaxAttempts: 3, Stretch: 2, Slack: time.Second,
}

// testEntry is one entry that runs against the emulated platform.
type testEntry struct {
	*apemulator.Emulator
	t    *testing.T
	node *apnode.Node
	// stop ends the entry.
	stop context.CancelFunc
	// exited receives the result of the entry's Run.
	exited   chan error
	settings apadapter.Settings
	log      logBuffer
	caller   *apemulator.Caller
}

// startPlatform starts an emulated platform, which stops after the entries of the test.
func startPlatform(t *testing.T) *apemulator.Emulator {
	t.Helper()
	e := apemulator.New()
	assert.NilError(t, e.Start(t.Context()))
	t.Cleanup(func() {
		assert.NilError(t, e.Stop())
		assert.Equal(t, len(e.Record.Violations()), 0, "%v", e.Record.Violations())
	})
	assert.NilError(t, e.Configure(t.Context(), 1, []apemulator.QueueSpec{findQueue}))
	return e
}

func startEntry(t *testing.T) *testEntry {
	t.Helper()
	return joinEntry(t, startPlatform(t), "entry-1", "first")
}

// joinEntry starts an entry on a platform, with its own client of the store.
func joinEntry(t *testing.T, platform *apemulator.Emulator, name, storeClient string) *testEntry {
	t.Helper()
	e := &testEntry{Emulator: platform, t: t}
	store, err := e.ServeStore(storeClient)
	assert.NilError(t, err)
	machines, err := e.ServeMachines()
	assert.NilError(t, err)
	ip := uniqueLoopback()
	e.settings, err = apadapter.ParseSettings(e.Settings(apemulator.EntrySettings{
		Name: name, Callers: netip.AddrPortFrom(ip, 8624), Readiness: netip.AddrPortFrom(ip, 8622), FirstPort: 7060, Store: store, Machines: machines,
	}))
	assert.NilError(t, err)
	logger, err := aplog.New(&e.log, "info", aplog.FormatText)
	assert.NilError(t, err)
	e.node = apnode.New(e.settings, logger)
	e.caller = e.NewCaller()
	ctx, stop := context.WithCancel(t.Context())
	e.stop = stop
	group := &errgroup.Group{}
	e.exited = make(chan error, 1)
	group.Go(func() error {
		err := e.node.Run(ctx)
		e.exited <- err
		return err
	})
	t.Cleanup(func() {
		stop()
		assert.NilError(t, group.Wait())
		e.caller.Close()
	})
	return e
}

// waitFor polls until the condition holds. Only the test's own timeout bounds it.
func (e *testEntry) waitFor(condition func() bool) {
	for !condition() {
		select {
		case err := <-e.exited:
			e.t.Fatalf("the entry has ended: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
		assert.NilError(e.t, e.t.Context().Err())
	}
}

// runJob submits a job and waits until it is completed.
func (e *testEntry) runJob(id apjob.ID) {
	job := apjob.Job{ID: id, Queue: "find", Spec: "spec", Steps: []apjob.Step{
		{Count: 3, Need: apjob.Resources{CPU: 1000}}, {Count: 1, Need: apjob.Resources{CPU: 1000}, After: []int{0}},
	}}
	submission := apemulator.Submission{Job: job, Service: "search", TaskDuration: 50 * time.Millisecond}
	e.waitFor(func() bool {
		return e.caller.Submit(e.t.Context(), e.settings.CallerAddress, findQueue, submission).Status == http.StatusOK
	})
	e.waitFor(func() bool {
		return e.caller.Status(e.t.Context(), e.settings.CallerAddress, findQueue, id).State == apjob.Completed
	})
}

// A single entry runs a job to completion and logs each stage of it.
func TestEntryRunsJobToCompletion(t *testing.T) {
	e := startEntry(t)
	const id apjob.ID = "00000000000000b1"
	e.runJob(id)
	for _, event := range []string{"Submit", "JobAccepted", "TaskPlaced", "RunEnded", "JobCompleted"} {
		assert.Assert(t, e.log.hasLine("Event="+event, "Job="+string(id)), event)
	}
}

// When the store refuses requests and the settings file names a new address, the entry uses the new one without
// a restart. A settings file that can't be read changes nothing.
func TestReloadSwitchesStoreAddress(t *testing.T) {
	e := startEntry(t)
	e.runJob("00000000000000c1")
	e.Store.SetFault("first", apemulator.StoreFaultBusy)
	e.waitFor(func() bool { return e.log.hasLine("Event=Store", "Lost=true") })
	e.node.Reload(func() (apadapter.Settings, error) {
		return apadapter.Settings{}, apcode.Errorf(apcode.MissingKey, "no file")
	}, true)
	assert.Assert(t, e.log.hasLine("Event=Reload", "Changed=false", "no file"))
	moved := e.settings
	second, err := e.ServeStore("second")
	assert.NilError(t, err)
	moved.StoreAddress = second
	read := func() (apadapter.Settings, error) { return moved, nil }
	e.node.Reload(read, false)
	assert.Assert(t, e.log.hasLine("Event=Reload", "Changed=true", "RestartNeeded=false", "Store="+second.String()))
	e.runJob("00000000000000c2")
	moved.FirstPort++
	e.node.Reload(read, false)
	assert.Assert(t, e.log.hasLine("Event=Reload", "RestartNeeded=true"))
}

// An entry that the store turns away serves its callers through another entry: it accepts their jobs, tells their state
// and applies new settings.
func TestTurnedAwayEntryServesItsCallers(t *testing.T) {
	platform := startPlatform(t)
	served := joinEntry(t, platform, "entry-1", "first")
	served.runJob("00000000000000d1")
	turnedAway := joinEntry(t, platform, "entry-2", "second")
	turnedAway.runJob("00000000000000d2")
	platform.Store.SetFault("second", apemulator.StoreFaultBusy)
	turnedAway.waitFor(func() bool { return turnedAway.log.hasLine("Event=LeaseRenewal", "Failing=true") })
	turnedAway.runJob("00000000000000d3")
	second := findQueue
	second.Name, second.Prefix = "seek", "/seek/"
	assert.NilError(t, platform.Configure(t.Context(), 2, []apemulator.QueueSpec{findQueue, second}))
	turnedAway.waitFor(func() bool { return turnedAway.log.hasLine("Event=SettingsApplied", "Version=2") })
	for _, reason := range []string{"StoreUnavailable", "settings were last confirmed"} {
		assert.Assert(t, !turnedAway.log.hasLine("Event=Refused", reason), "a caller was refused: %s", reason)
	}
	platform.Store.SetFault("second", apemulator.StoreFaultNone)
	turnedAway.waitFor(func() bool { return turnedAway.log.hasLine("Event=LeaseRenewal", "Failing=false") })
	turnedAway.runJob("00000000000000d4")
}
