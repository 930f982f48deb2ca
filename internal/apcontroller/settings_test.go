package apcontroller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apcontroller"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// movingFleet counts the moves by target.
type movingFleet struct {
	*fleet
	moves map[apfleet.ServiceName]int
}

func (f movingFleet) Execute(_ context.Context, d apmachine.Disruption, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moves[d.Target]++
	for i := range f.machines {
		if f.machines[i].Name == d.Machine {
			f.machines[i].Pool, f.machines[i].State = d.Target, apmachine.StateMoving
			f.upAt[d.Machine] = time.Now().Add(downtime)
		}
	}
	return nil
}

func (f movingFleet) movesTo(pool apfleet.ServiceName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves[pool]
}

// A pool's report stays in the store when the settings no longer name the pool, or have no spare pool any more.
func TestControllerFollowsThePoolsOfTheNewestSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f := movingFleet{newFleet(40), make(map[apfleet.ServiceName]int)}
		table := &atomic.Pointer[apqueue.Table]{}
		table.Store(&apqueue.Table{Version: 1, Services: []apqueue.Service{{Name: "spare", Spare: true}, {Name: "a"}, {Name: "b"}}})
		journal, err := apjournal.Claim(t.Context(), store, apjournal.MachineShard, "owner", 0)
		assert.NilError(t, err)
		controller := apcontroller.New(apcontroller.Config{
			Store: store, Journal: journal, Machines: f, Waves: waves{}, Queues: table.Load,
			Log: func(string, map[string]any) {}, OrderLease: 3 * time.Second, PermitTTL: 1500 * time.Millisecond, MinDowntime: downtime,
		})
		ctx, stop := context.WithCancel(t.Context())
		group := &errgroup.Group{}
		group.Go(func() error { return controller.Run(ctx) })
		report := func(pool apfleet.ServiceName, queued int64) {
			data := apfleet.Encode(apmachine.PoolReport{QueuedWork: queued})
			_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.PrefixPools + apfleet.Key(pool), Data: data}}})
			assert.NilError(t, err)
		}
		report("a", 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, f.movesTo("a"), 3, "a pool in force gets its minimum")

		table.Store(&apqueue.Table{Version: 2, Services: []apqueue.Service{{Name: "spare", Spare: true}, {Name: "b"}}})
		report("a", 128_000)
		report("b", 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, f.movesTo("a"), 3, "the settings don't name the pool")
		assert.Equal(t, f.movesTo("b"), 3)

		table.Store(&apqueue.Table{Version: 3, Services: []apqueue.Service{{Name: "b"}}})
		report("b", 128_000)
		time.Sleep(4 * time.Second)
		assert.Equal(t, f.movesTo("b"), 3, "the settings name no spare pool")

		table.Store(&apqueue.Table{Version: 4, Services: []apqueue.Service{{Name: "spare", Spare: true}, {Name: "b"}}})
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.movesTo("b") > 3)
		stop()
		assert.NilError(t, group.Wait())
	})
}

// Without settings no target of a move is known to be in force, which must not end the moves that a previous owner opened.
func TestControllerWithoutSettingsKeepsOpenMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		f := movingFleet{newFleet(4), make(map[apfleet.ServiceName]int)}
		f.machines[0].Pool, f.machines[0].Worker = "a", "i-0"
		key := apjournal.PrefixDisruptions + apfleet.Key(f.machines[0].Name)
		open := apmachine.Disruption{Machine: f.machines[0].Name, Worker: "i-0", Pool: "a", Kind: apmachine.KindMove, Target: "b"}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: key, Data: apfleet.Encode(open)}}})
		assert.NilError(t, err)
		journal, err := apjournal.Claim(t.Context(), store, apjournal.MachineShard, "owner", 0)
		assert.NilError(t, err)
		ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
		defer stop()
		assert.NilError(t, apcontroller.New(apcontroller.Config{
			Store: store, Journal: journal, Machines: f, Waves: waves{}, Queues: func() *apqueue.Table { return nil },
			Log: func(string, map[string]any) {}, OrderLease: 3 * time.Second, PermitTTL: 1500 * time.Millisecond, MinDowntime: downtime,
		}).Run(ctx))
		value, err := store.Read(t.Context(), key)
		assert.NilError(t, err)
		var stored apmachine.Disruption
		assert.Assert(t, value.Revision != 0, "the move was closed")
		assert.NilError(t, apfleet.Decode(value.Data, &stored))
		assert.Equal(t, stored.Target, open.Target)
		assert.Assert(t, !stored.Ordered)
	})
}
