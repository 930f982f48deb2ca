package apcontroller_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apcontroller"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

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
