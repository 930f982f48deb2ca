package apcontroller_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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

const away = 2 * time.Second

// fleet is a stand-in for the platform's machines.
type fleet struct {
	mu       sync.Mutex
	machines []apmachine.Machine
	back     map[apmachine.Name]time.Time
	done     map[apmachine.Name]bool
	maxDown  int
	// lose makes every n-th answer get lost after the order was carried out.
	lose   int
	orders int
}

func newFleet(n int) *fleet {
	f := &fleet{back: map[apmachine.Name]time.Time{}, done: map[apmachine.Name]bool{}}
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
	f.settle()
	return append([]apmachine.Machine(nil), f.machines...), nil
}

func (f *fleet) settle() {
	for i := range f.machines {
		if at, ok := f.back[f.machines[i].Name]; ok && time.Now().After(at) {
			f.machines[i].State = apmachine.StateUp
			delete(f.back, f.machines[i].Name)
		}
	}
}

func (f *fleet) Carry(_ context.Context, d apmachine.Disruption, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	f.orders++
	if !f.done[d.Machine] {
		f.done[d.Machine] = true
		f.back[d.Machine] = time.Now().Add(away)
		f.maxDown = max(f.maxDown, len(f.back))
		for i := range f.machines {
			if f.machines[i].Name == d.Machine {
				f.machines[i].State = apmachine.StateUpkeep
			}
		}
	}
	if f.lose > 0 && f.orders%f.lose == 0 {
		return apcode.Errorf(apcode.PlatformFailed, "the answer was lost")
	}
	return nil
}

// waves reads waves in the product's own form.
type waves struct{ wave apmachine.Wave }

func (waves) Prefix() apfleet.Key                    { return "waves/" }
func (w waves) Parse([]byte) (apmachine.Wave, error) { return w.wave, nil }
func (waves) Status(n int, completed bool) (apfleet.Key, []byte, error) {
	return apfleet.Key(fmt.Sprintf("done/%d", n)), []byte(fmt.Sprint(completed)), nil
}

func control(t *testing.T, ctx context.Context, ledger apstore.Ledger, f *fleet, w apcontroller.Waves, holder apfleet.EntryName) error {
	t.Helper()
	_, controller := claim(t, ctx, ledger, f, w, holder, 0)
	return controller.Run(ctx)
}

// claim claims the shard of machines under a lease and returns its controller.
func claim(t *testing.T, ctx context.Context, ledger apstore.Ledger, m apcontroller.Machines, w apcontroller.Waves, holder apfleet.EntryName, lease apstore.LeaseID) (*apjournal.Journal, *apcontroller.Controller) {
	t.Helper()
	journal, err := apjournal.Claim(ctx, ledger, apjournal.Machines, holder, lease)
	assert.NilError(t, err)
	table := &apqueue.Table{Services: []apqueue.Service{{Name: "spare", Spare: true}}}
	return journal, apcontroller.New(apcontroller.Config{
		Ledger: ledger, Journal: journal, Machines: m, Waves: w, Queues: func() *apqueue.Table { return table },
		Log: func(string, map[string]any) {}, OrderLease: 3 * time.Second, Permit: 1500 * time.Millisecond, Away: away,
	})
}

// A large wave takes more changes than a transaction holds, answers get lost, and the holder changes:
// the wave keeps its count, ends once, and every machine was maintained.
func TestWaveSurvivesLostAnswersAndItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		f := newFleet(90)
		f.lose = 7
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 60, Duration: 12 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)

		first, stop := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer stop()
		assert.NilError(t, control(t, first, ledger, f, w, "a"))
		f.mu.Lock()
		assert.Assert(t, len(f.done) > 0 && len(f.done) < 90, "%d done when the holder leaves", len(f.done))
		f.mu.Unlock()
		second, stop := context.WithTimeout(t.Context(), 40*time.Second)
		defer stop()
		assert.NilError(t, control(t, second, ledger, f, w, "b"))

		assert.Equal(t, len(f.done), 90)
		assert.Assert(t, f.maxDown <= 60, "%d were down at once", f.maxDown)
		status, err := ledger.Read(t.Context(), "done/1")
		assert.NilError(t, err)
		assert.Equal(t, string(status.Data), "true")
	})
}

// A successor goes on in the wave's time: it had begun a time of its own, and waves ended late for each
// holder that was lost.
func TestSuccessorGoesOnInTheWavesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		f := newFleet(400)
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 300, Duration: 60 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)
		began := time.Now()
		for _, holder := range []apfleet.EntryName{"a", "b", "c", "d", "e", "f", "g", "h"} {
			ctx, stop := context.WithTimeout(t.Context(), 7*time.Second)
			assert.NilError(t, control(t, ctx, ledger, f, w, holder))
			stop()
			status, err := ledger.Read(t.Context(), "done/1")
			assert.NilError(t, err)
			if string(status.Data) == "true" {
				assert.Assert(t, time.Since(began) <= w.wave.Duration)
				return
			}
		}
		t.Fatalf("%d of 400 machines were maintained within the wave's time", len(f.done))
	})
}

// twoWaves reads the wave that its value names.
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

// A step that opens 23 disruptions and completes another wave has 25 changes, one more than fits a
// transaction of the controller. Each disruption must still be known at the revision at which it was
// stored, or the pool's word that the worker is empty is never believed.
func TestDisruptionsAreKnownAtTheirRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		f := newFleet(92)
		w := twoWaves{first: apmachine.Wave{Number: 1, MaxCount: 23}, second: apmachine.Wave{Number: 2, MaxCount: 1}}
		for i := range f.machines {
			m := &f.machines[i]
			m.Pool, m.Worker = "pool", apjob.WorkerID("i-"+m.Name)
			if i < 23 {
				w.first.Machines = append(w.first.Machines, m.Name)
			}
		}
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}, {Key: "waves/2", Data: []byte{2}}}})
		assert.NilError(t, err)
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		group := &errgroup.Group{}
		group.Go(func() error { return emptyAll(ctx, ledger) })
		assert.NilError(t, control(t, ctx, ledger, f, w, "a"))
		assert.NilError(t, group.Wait())
		assert.Equal(t, len(f.done), 23)
	})
}

// emptyAll stands in for a pool's owner whose disrupted workers are empty at once.
func emptyAll(ctx context.Context, ledger apstore.Ledger) error {
	empty := make(map[apjob.WorkerID]apstore.Revision)
	tail := apstore.Tail{Ledger: ledger, Prefix: apjournal.PrefixDisruptions, Wait: time.Second}
	return tail.Run(ctx, func(update apstore.Update) {
		for _, event := range update.Events {
			var d apmachine.Disruption
			if !event.Removed && apfleet.Decode(event.Value.Data, &d) == nil {
				empty[d.Worker] = event.Value.Revision
			}
		}
		data := apfleet.Encode(apmachine.Pool{Empty: empty})
		_, _ = ledger.Commit(ctx, apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.PrefixPools + "pool", Data: data}}})
	})
}

// dying is a ledger that fails for good once its client is dead.
type dying struct {
	memory.Ledger
	dead *atomic.Bool
}

func (d dying) Commit(ctx context.Context, t apstore.Transaction) (apstore.Result, error) {
	if d.dead.Load() {
		return apstore.Result{}, apcode.Errorf(apcode.StoreUnavailable, "dead")
	}
	return d.Ledger.Commit(ctx, t)
}

// timed notes when each holder, named by its fence, first and last ordered a machine.
type timed struct {
	*fleet
	began time.Time
	first map[apmachine.Name]map[uint64]time.Duration
}

func (f timed) Carry(ctx context.Context, d apmachine.Disruption, fence uint64) error {
	f.mu.Lock()
	if f.first[d.Machine] == nil {
		f.first[d.Machine] = make(map[uint64]time.Duration)
	}
	if _, again := f.first[d.Machine][fence]; !again {
		f.first[d.Machine][fence] = time.Since(f.began)
	}
	f.mu.Unlock()
	return f.fleet.Carry(ctx, d, fence)
}

// A successor of a holder that died may order a machine that was being emptied only once the permit of the
// dead one has ended and orders are far enough apart: it may be paused and not dead.
func TestSuccessorWaitsForTheLastPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		f := timed{fleet: newFleet(40), began: time.Now(), first: make(map[apmachine.Name]map[uint64]time.Duration)}
		w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 8, Duration: 30 * time.Second}}
		for _, m := range f.machines {
			w.wave.Machines = append(w.wave.Machines, m.Name)
		}
		_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
		assert.NilError(t, err)
		lease, err := ledger.Grant(t.Context(), 1500*time.Millisecond)
		assert.NilError(t, err)
		dead := &atomic.Bool{}
		first, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()
		journal, controller := claim(t, first, dying{ledger, dead}, f, w, "a", lease)
		assert.Assert(t, !journal.HandedOver())
		// Between the first step, which begins to empty machines, and the second, which orders them.
		time.AfterFunc(90*time.Millisecond, func() { dead.Store(true) })
		// The dead holder can't release the shard.
		_ = controller.Run(first)
		open, err := ledger.Scan(t.Context(), apjournal.PrefixDisruptions)
		assert.NilError(t, err)
		assert.Assert(t, len(open.Values) > 0, "the dead holder was emptying machines")

		time.Sleep(2 * time.Second)
		second, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		journal, controller = claim(t, second, ledger, f, w, "b", 0)
		assert.Assert(t, !journal.HandedOver())
		taken := time.Since(f.began)
		assert.NilError(t, controller.Run(second))
		for _, value := range open.Values {
			var d apmachine.Disruption
			assert.NilError(t, apfleet.Decode(value.Data, &d))
			assert.Assert(t, !d.Ordered, "the dead holder could store that %s was ordered", d.Machine)
			at, ordered := f.first[d.Machine][journal.Fence()]
			assert.Assert(t, ordered, "%s", d.Machine)
			assert.Assert(t, at >= taken+4500*time.Millisecond, "%s ordered %v after the takeover", d.Machine, at-taken)
		}
		third, err := apjournal.Claim(t.Context(), ledger, apjournal.Machines, "c", 0)
		assert.NilError(t, err)
		assert.Assert(t, third.HandedOver(), "b has given the shard up")
	})
}
