package apcontroller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

func (waves) Prefix() apfleet.Key                    { return "waves/" }
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

// failingStore rejects every commit once dead is set.
type failingStore struct {
	memory.TransactionalStore
	dead *atomic.Bool
}

func (l failingStore) Commit(ctx context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	if l.dead.Load() {
		return apstore.TransactionResult{}, apcode.Errorf(apcode.StoreUnavailable, "dead")
	}
	return l.TransactionalStore.Commit(ctx, t)
}

// recordingFleet records when each owner, identified by its fencing token, first ordered a machine.
type recordingFleet struct {
	*fleet
	startedAt  time.Time
	firstOrder map[apmachine.Name]map[uint64]time.Duration
}

func (f recordingFleet) Execute(ctx context.Context, d apmachine.Disruption, fence uint64) error {
	f.mu.Lock()
	if f.firstOrder[d.Machine] == nil {
		f.firstOrder[d.Machine] = make(map[uint64]time.Duration)
	}
	if _, again := f.firstOrder[d.Machine][fence]; !again {
		f.firstOrder[d.Machine][fence] = time.Since(f.startedAt)
	}
	f.mu.Unlock()
	return f.fleet.Execute(ctx, d, fence)
}

// startVanishingOwner runs an owner of a wave until its second step, then cuts it off from the store, and returns the
// disruptions that it left open.
func startVanishingOwner(t *testing.T, store memory.TransactionalStore, m apcontroller.Machines, w apcontroller.Waves, lifetime time.Duration) []apmachine.Disruption {
	t.Helper()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
	assert.NilError(t, err)
	lease, err := store.Grant(t.Context(), 1500*time.Millisecond)
	assert.NilError(t, err)
	dead := &atomic.Bool{}
	ctx, stop := context.WithTimeout(t.Context(), lifetime+200*time.Millisecond)
	defer stop()
	_, controller := claimShard(t, ctx, failingStore{store, dead}, m, w, "a", lease)
	time.AfterFunc(lifetime, func() { dead.Store(true) })
	// Run fails: the dead owner can't release the shard.
	_ = controller.Run(ctx)
	page, err := store.Scan(t.Context(), apjournal.PrefixDisruptions)
	assert.NilError(t, err)
	var open []apmachine.Disruption
	for _, value := range page.Values {
		var d apmachine.Disruption
		assert.NilError(t, apfleet.Decode(value.Data, &d))
		if !d.Ordered {
			open = append(open, d)
		}
	}
	assert.Assert(t, len(open) > 0, "the dead owner had opened no disruptions")
	time.Sleep(2 * time.Second)
	return open
}

// runSuccessor runs the next owner for 20 s and returns its fence and the time of its takeover.
func runSuccessor(t *testing.T, store memory.TransactionalStore, f recordingFleet, w apcontroller.Waves) (fence uint64, claimedAt time.Duration) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	journal, controller := claimShard(t, ctx, store, f, w, "b", 0)
	assert.Assert(t, !journal.PreviousOwnerReleased())
	claimedAt = time.Since(f.startedAt)
	assert.NilError(t, controller.Run(ctx))
	third, err := apjournal.Claim(t.Context(), store, apjournal.MachineShard, "c", 0)
	assert.NilError(t, err)
	assert.Assert(t, third.PreviousOwnerReleased(), "owner b has not released the shard")
	return journal.Fence(), claimedAt
}

// newWaveOverSpares returns a recording fleet of 40 spare machines and a wave over them.
func newWaveOverSpares() (recordingFleet, waves) {
	f := recordingFleet{fleet: newFleet(40), startedAt: time.Now(), firstOrder: make(map[apmachine.Name]map[uint64]time.Duration)}
	w := waves{wave: apmachine.Wave{Number: 1, MaxCount: 8, Duration: 30 * time.Second}}
	for _, m := range f.machines {
		w.wave.Machines = append(w.wave.Machines, m.Name)
	}
	return f, w
}

// unansweringMachines executes orders and does not answer while the caller waits.
type unansweringMachines struct{ apcontroller.Machines }

func (u unansweringMachines) Execute(ctx context.Context, d apmachine.Disruption, fence uint64) error {
	_ = u.Machines.Execute(ctx, d, fence)
	time.Sleep(time.Second)
	return apcode.Errorf(apcode.PlatformFailed, "no response")
}

// The successor of an owner that vanished may order a machine whose order that owner may have given only after the
// permit of the previous owner and the minimum time between two orders have passed: the previous owner may be paused
// instead of dead, and then still send its order.
func TestSuccessorWaitsForThePreviousPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f, w := newWaveOverSpares()
		// The first step, at 60 ms, opens disruptions; the second, at 120 ms, orders the machines.
		open := startVanishingOwner(t, store, unansweringMachines{f}, w, 200*time.Millisecond)
		fence, claimedAt := runSuccessor(t, store, f, w)
		for _, d := range open {
			assert.Assert(t, d.RecentOrder, "the order of %s was not stored before it was given", d.Machine)
			at, ordered := f.firstOrder[d.Machine][fence]
			assert.Assert(t, ordered, "the successor did not order %s", d.Machine)
			assert.Assert(t, at >= claimedAt+4500*time.Millisecond, "%s ordered %v after the takeover", d.Machine, at-claimedAt)
		}
	})
}

// A machine that the previous owner only opened can't have been ordered, for an order is stored before it is given. So
// the successor orders it at once: after a loss of all entries a pool would otherwise wait a whole peak for machines.
func TestSuccessorOrdersOpenedMachinesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f, w := newWaveOverSpares()
		open := startVanishingOwner(t, store, f, w, 90*time.Millisecond)
		fence, claimedAt := runSuccessor(t, store, f, w)
		for _, d := range open {
			assert.Assert(t, !d.RecentOrder && len(f.firstOrder[d.Machine]) == 1, "%s was ordered by the dead owner", d.Machine)
			assert.Assert(t, f.firstOrder[d.Machine][fence] <= claimedAt+500*time.Millisecond)
		}
	})
}

// machineOrder is an order that reached the platform.
type machineOrder struct {
	fence uint64
	at    time.Duration
}

// pausingMachines sends the orders of one owner, which is paused before some of them. An order reaches the platform only
// while the owner's permit is valid.
type pausingMachines struct {
	*fleet
	random    *rand.Rand
	startedAt time.Time
	permitEnd *atomic.Int64
	orders    map[apmachine.Name][]machineOrder
}

func (p pausingMachines) Execute(ctx context.Context, d apmachine.Disruption, fence uint64) error {
	p.mu.Lock()
	pause := time.Duration(p.random.Int64N(int64(20 * time.Millisecond)))
	if p.random.IntN(4) == 0 {
		pause = time.Duration(p.random.Int64N(int64(2 * time.Second)))
	}
	p.mu.Unlock()
	time.Sleep(pause)
	if end := p.permitEnd.Load(); end != 0 && time.Since(p.startedAt) > time.Duration(end) {
		return apcode.Errorf(apcode.PermitExpired, "permit")
	}
	p.mu.Lock()
	p.orders[d.Machine] = append(p.orders[d.Machine], machineOrder{fence, time.Since(p.startedAt)})
	p.mu.Unlock()
	return p.fleet.Execute(ctx, d, fence)
}

// Owners follow each other, some after a release, others after their lease was lost while they still act, paused before
// some of their orders and with lost responses. No machine may get a lower fence after a higher one, or orders of two
// owners within the minimum time between them, on a platform that doesn't check fences.
func TestOwnersNeverOrderAMachineWithinOneLease(t *testing.T) {
	for seed := range uint64(240) {
		synctest.Test(t, func(t *testing.T) { playOwners(t, seed) })
	}
}

func playOwners(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	store := memory.TransactionalStore{Store: memory.New()}
	f, w := newWaveOverSpares()
	f.loseEvery = 3
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: "waves/1", Data: []byte{1}}}})
	assert.NilError(t, err)
	orders := make(map[apmachine.Name][]machineOrder)
	group := &errgroup.Group{}
	for owner := range 8 {
		permitEnd := &atomic.Int64{}
		m := pausingMachines{fleet: f.fleet, random: random, startedAt: f.startedAt, permitEnd: permitEnd, orders: orders}
		ctx, stop := context.WithCancel(t.Context())
		_, controller := claimShard(t, ctx, store, m, w, apfleet.EntryName(rune('a'+owner)), 0)
		ended := make(chan struct{})
		group.Go(func() error {
			defer close(ended)
			_ = controller.Run(ctx)
			return nil
		})
		f.mu.Lock()
		lifetime, released := time.Duration(random.Int64N(int64(3*time.Second))), random.IntN(2) == 0
		remaining := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		f.mu.Unlock()
		time.Sleep(lifetime)
		if released {
			stop()
			<-ended
			continue
		}
		permitEnd.Store(int64(time.Since(f.startedAt) + remaining))
		_, err := store.Commit(t.Context(), apstore.Transaction{Removals: []apfleet.Key{apjournal.OwnerKey(apjournal.MachineShard)}})
		assert.NilError(t, err)
		time.AfterFunc(3*time.Second, stop)
	}
	assert.NilError(t, group.Wait())
	for name, list := range orders {
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			assert.Assert(t, after.fence >= before.fence, "seed %d: %s got fence %d after %d", seed, name, after.fence, before.fence)
			assert.Assert(t, after.fence == before.fence || after.at-before.at >= 3*time.Second,
				"seed %d: %s was ordered by two owners within %v", seed, name, after.at-before.at)
		}
	}
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
