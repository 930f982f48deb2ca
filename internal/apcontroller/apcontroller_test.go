package apcontroller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apcontroller"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// downtime is how long a machine is unavailable after an order.
const downtime = 2 * time.Second

// fleet is a fake of the platform's machine service.
type fleet struct {
	mu       sync.Mutex
	machines []apmachine.Machine
	// upAt is when a machine that is down will be up again.
	upAt map[apmachine.Name]time.Time
	// ordered holds the machines that were ordered at least once.
	ordered map[apmachine.Name]bool
	// maxDown is the largest number of machines that were down at once.
	maxDown int
	// loseEvery, when set, loses every n-th response after the order was executed.
	loseEvery int
	orders    int
}

func newFleet(n int) *fleet {
	f := &fleet{upAt: map[apmachine.Name]time.Time{}, ordered: map[apmachine.Name]bool{}}
	for i := range n {
		f.machines = append(f.machines, apmachine.Machine{
			Name: apmachine.Name(fmt.Sprintf("m-%03d", i)), Pool: "spare", State: apmachine.StateUp, Capacity: apjob.Resources{CPU: 32_000},
		})
	}
	return f
}

func (f *fleet) List(context.Context) ([]apmachine.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bringUp()
	return append([]apmachine.Machine(nil), f.machines...), nil
}

// bringUp marks the machines as up whose downtime has passed.
func (f *fleet) bringUp() {
	for i := range f.machines {
		if at, ok := f.upAt[f.machines[i].Name]; ok && time.Now().After(at) {
			f.machines[i].State = apmachine.StateUp
			delete(f.upAt, f.machines[i].Name)
		}
	}
}

func (f *fleet) Execute(_ context.Context, d apmachine.Disruption, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bringUp()
	f.orders++
	if !f.ordered[d.Machine] {
		f.ordered[d.Machine] = true
		f.upAt[d.Machine] = time.Now().Add(downtime)
		f.maxDown = max(f.maxDown, len(f.upAt))
		for i := range f.machines {
			if f.machines[i].Name == d.Machine {
				f.machines[i].State = apmachine.StateUpkeep
			}
		}
	}
	if f.loseEvery > 0 && f.orders%f.loseEvery == 0 {
		return apcode.Errorf(apcode.PlatformFailed, "the response was lost")
	}
	return nil
}

// waves returns the same wave for every request.
type waves struct{ wave apmachine.Wave }

func (waves) Prefix() apfleet.Key { return "waves/" }

func (w waves) Parse([]byte) (apmachine.Wave, error) { return w.wave, nil }

func (waves) Status(n int, completed bool) (apfleet.Key, []byte, error) {
	return apfleet.Key(fmt.Sprintf("done/%d", n)), []byte(fmt.Sprint(completed)), nil
}

// runController claims the shard of machines without a lease and runs its controller until ctx ends.
func runController(t *testing.T, ctx context.Context, store apstore.TransactionalStore, f *fleet, w apcontroller.Waves, owner apfleet.EntryName) error {
	t.Helper()
	_, controller := claimShard(t, ctx, store, f, w, owner, 0)
	return controller.Run(ctx)
}

// claimShard claims the shard of machines under a lease and returns a controller for it.
func claimShard(t *testing.T, ctx context.Context, store apstore.TransactionalStore, m apcontroller.Machines, w apcontroller.Waves, owner apfleet.EntryName, lease apstore.LeaseID) (*apjournal.Journal, *apcontroller.Controller) {
	t.Helper()
	journal, err := apjournal.Claim(ctx, store, apjournal.MachineShard, owner, lease)
	assert.NilError(t, err)
	table := &apqueue.Table{Services: []apqueue.Service{{Name: "spare", Spare: true}}}
	return journal, apcontroller.New(apcontroller.Config{
		Store: store, Journal: journal, Machines: m, Waves: w, Queues: func() *apqueue.Table { return table },
		Log: func(string, map[string]any) {}, OrderLease: 3 * time.Second, PermitTTL: 1500 * time.Millisecond, MinDowntime: downtime,
	})
}

// A wave that needs more changes than fit in one transaction must respect its limit of machines that are down,
// order the upkeep of every machine and complete, although responses get lost and the shard's owner changes.
func TestWaveSurvivesLostResponsesAndOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f := newFleet(90)
		f.loseEvery = 7
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 60, Duration: 12 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)

		first, stop := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer stop()
		assert.NilError(t, runController(t, first, store, f, w, "a"))
		f.mu.Lock()
		assert.Assert(t, len(f.ordered) > 0 && len(f.ordered) < 90, "%d machines were ordered when the first owner stopped", len(f.ordered))
		f.mu.Unlock()
		second, stop := context.WithTimeout(t.Context(), 40*time.Second)
		defer stop()
		assert.NilError(t, runController(t, second, store, f, w, "b"))

		assert.Equal(t, len(f.ordered), 90)
		assert.Assert(t, f.maxDown <= 60, "%d were down at once", f.maxDown)
		status, err := store.Read(t.Context(), "done/1")
		assert.NilError(t, err)
		assert.Equal(t, string(status.Data), "true")
	})
}

// Guards against waves that end late because a new owner of the shard starts the wave's time window again instead
// of continuing the one that its predecessor started.
func TestSuccessorContinuesTheWavesTimeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f := newFleet(400)
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 300, Duration: 60 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)
		began := time.Now()
		for _, owner := range []apfleet.EntryName{"a", "b", "c", "d", "e", "f", "g", "h"} {
			ctx, stop := context.WithTimeout(t.Context(), 7*time.Second)
			assert.NilError(t, runController(t, ctx, store, f, w, owner))
			stop()
			status, err := store.Read(t.Context(), "done/1")
			assert.NilError(t, err)
			if string(status.Data) == "true" {
				assert.Assert(t, time.Since(began) <= w.wave.Duration)
				return
			}
		}
		t.Fatalf("%d of 400 machines were ordered within the wave's time", len(f.ordered))
	})
}

// twoWaves returns the first wave for a request whose first byte is 1, and the second for any other.
type twoWaves struct {
	waves
	first, second apmachine.Wave
}

func (w twoWaves) Parse(data []byte) (apmachine.Wave, error) {
	if data[0] == 1 {
		return w.first, nil
	}
	return w.second, nil
}

// A step that opens 23 disruptions and completes another wave has 25 changes, one more than fits in a
// transaction of the controller. Each disruption must still be known at the revision at which it was stored.
// Otherwise the controller never accepts the pool's report that the worker is empty.
func TestOpenedDisruptionsHaveTheirStoredRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f := newFleet(92)
		w := twoWaves{first: apmachine.Wave{Number: 1, MaxCount: 23}, second: apmachine.Wave{Number: 2, MaxCount: 1}}
		for i := range f.machines {
			m := &f.machines[i]
			m.Pool, m.Worker = "pool", apjob.WorkerID("i-"+m.Name)
			if i < 23 {
				w.first.Machines = append(w.first.Machines, m.Name)
			}
		}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}, {Key: "waves/2", Data: []byte{2}}}})
		assert.NilError(t, err)
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		group := &errgroup.Group{}
		group.Go(func() error { return reportAllEmpty(ctx, store) })
		assert.NilError(t, runController(t, ctx, store, f, w, "a"))
		assert.NilError(t, group.Wait())
		assert.Equal(t, len(f.ordered), 23)
	})
}

// reportAllEmpty acts as a pool's owner that reports every disrupted worker as empty at once.
func reportAllEmpty(ctx context.Context, store apstore.TransactionalStore) error {
	empty := make(map[apjob.WorkerID]apstore.Revision)
	watcher := apstore.Watcher{Store: store, Prefix: apjournal.PrefixDisruptions, Timeout: time.Second}
	return watcher.Run(ctx, func(update apstore.Update) {
		for _, event := range update.Events {
			var d apmachine.Disruption
			if !event.Removed && apfleet.Decode(event.Value.Data, &d) == nil {
				empty[d.Worker] = event.Value.Revision
			}
		}
		data := apfleet.Encode(apmachine.PoolReport{Empty: empty})
		_, _ = store.Commit(ctx, apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.PrefixPools + "pool", Data: data}}})
	})
}

// forgetfulStore has no history: a watch learns after a while that it must read everything again.
type forgetfulStore struct{ memory.TransactionalStore }

func (forgetfulStore) WatchChanges(ctx context.Context, _ apfleet.Key, _ apstore.Revision, _ time.Duration) (apstore.Feed, error) {
	apstore.Sleep(ctx, 100*time.Millisecond)
	return apstore.Feed{}, apcode.Errorf(apcode.StoreHistoryLost, "no history")
}

// A wave that was withdrawn while the controller's watch lost its history must end.
func TestWithdrawnWaveEndsWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := forgetfulStore{memory.TransactionalStore{Store: memory.New()}}
		f := newFleet(90)
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 3, Duration: 5 * time.Minute}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)
		ctx, stop := context.WithTimeout(t.Context(), 40*time.Second)
		defer stop()
		group := &errgroup.Group{}
		group.Go(func() error { return runController(t, ctx, store, f, w, "a") })
		time.Sleep(10 * time.Second)
		_, err = store.Commit(t.Context(), apstore.Transaction{Removals: []apfleet.Key{"waves/1"}})
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		ordered := len(f.ordered)
		f.mu.Unlock()
		assert.Assert(t, ordered > 0 && ordered < 90)
		assert.NilError(t, group.Wait())
		assert.Equal(t, len(f.ordered), ordered, "machines were ordered for a wave that was withdrawn")
	})
}
