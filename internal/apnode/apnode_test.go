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

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(parts ...string) bool {
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

// entries counts the entries of this process.
var entries atomic.Uint32

// own returns a loopback address that no other process uses, so that its ports are free.
func own() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid / 128 % 256), byte(200 + entries.Add(1))})
}

var find = apemulator.QueueSpec{
	Name: "find", Host: "queues.example", Prefix: "/find/", Service: "search", MaxAttempts: 3, Stretch: 2, Slack: time.Second,
}

// entry is one entry against the emulated platform.
type entry struct {
	*apemulator.Emulator
	t    *testing.T
	node *apnode.Node
	// ended receives the error of an entry that has ended by itself.
	ended    chan error
	settings apadapter.Settings
	log      lines
	caller   *apemulator.Caller
}

func start(t *testing.T) *entry {
	t.Helper()
	e := &entry{Emulator: apemulator.New(), t: t}
	assert.NilError(t, e.Start(t.Context()))
	assert.NilError(t, e.Configure(t.Context(), 1, []apemulator.QueueSpec{find}))
	store, err := e.ServeStore("first")
	assert.NilError(t, err)
	machines, err := e.ServeMachines()
	assert.NilError(t, err)
	ip := own()
	e.settings, err = apadapter.ParseSettings(e.Settings("entry-1", netip.AddrPortFrom(ip, 8624), netip.AddrPortFrom(ip, 8622), 7060, store, machines))
	assert.NilError(t, err)
	logger, err := aplog.New(&e.log, "info", aplog.FormatText)
	assert.NilError(t, err)
	e.node = apnode.New(e.settings, logger)
	e.caller = e.NewCaller()
	ctx, stop := context.WithCancel(t.Context())
	group := &errgroup.Group{}
	e.ended = make(chan error, 1)
	group.Go(func() error {
		err := e.node.Run(ctx)
		e.ended <- err
		return err
	})
	t.Cleanup(func() {
		stop()
		assert.NilError(t, group.Wait())
		e.caller.Close()
		assert.NilError(t, e.Stop())
		assert.Equal(t, len(e.Record.Breaches()), 0, "%v", e.Record.Breaches())
	})
	return e
}

// until looks again and again; the test's own limit ends it.
func (e *entry) until(look func() bool) {
	for !look() {
		select {
		case err := <-e.ended:
			e.t.Fatalf("the entry has ended: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
		assert.NilError(e.t, e.t.Context().Err())
	}
}

// run hands a job in and waits for its end.
func (e *entry) run(id apjob.ID) {
	job := apjob.Job{ID: id, Queue: "find", Spec: "spec", Steps: []apjob.Step{
		{Count: 3, Need: apjob.Resources{CPU: 1000}}, {Count: 1, Need: apjob.Resources{CPU: 1000}, After: []int{0}},
	}}
	submission := apemulator.Submission{Job: job, Service: "search", Work: 50 * time.Millisecond}
	e.until(func() bool {
		return e.caller.Submit(e.t.Context(), e.settings.Callers, find, submission).Status == http.StatusOK
	})
	e.until(func() bool {
		return e.caller.Status(e.t.Context(), e.settings.Callers, find, id).State == apjob.Completed
	})
}

// One entry alone serves a job from end to end, and logs the way of it.
func TestEntryServesAJob(t *testing.T) {
	e := start(t)
	const id apjob.ID = "00000000000000b1"
	e.run(id)
	for _, event := range []string{"Submit", "JobAccepted", "TaskPlaced", "RunEnded", "JobCompleted"} {
		assert.Assert(t, e.log.has("Event="+event, "Job="+string(id)), event)
	}
}

// The store's address changes in the settings file while the old one refuses: the entry goes on through the new
// one, without a new start. A file that can't be read, or hasn't changed, changes nothing.
func TestReloadMovesToANewStore(t *testing.T) {
	e := start(t)
	e.run("00000000000000c1")
	e.Store.Fail("first", apemulator.FaultBusy)
	e.until(func() bool { return e.log.has("Event=Store", "Lost=true") })
	e.node.Reload(func() (apadapter.Settings, error) {
		return apadapter.Settings{}, apcode.Errorf(apcode.MissingKey, "no file")
	}, true)
	assert.Assert(t, e.log.has("Event=Reload", "Changed=false", "no file"))
	moved := e.settings
	second, err := e.ServeStore("second")
	assert.NilError(t, err)
	moved.Store = second
	read := func() (apadapter.Settings, error) { return moved, nil }
	e.node.Reload(read, false)
	assert.Assert(t, e.log.has("Event=Reload", "Changed=true", "RestartNeeded=false", "Store="+second.String()))
	e.run("00000000000000c2")
	moved.FirstPort++
	e.node.Reload(read, false)
	assert.Assert(t, e.log.has("Event=Reload", "RestartNeeded=true"))
}
