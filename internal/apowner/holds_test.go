package apowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

func storedCounts(t *testing.T, store apstore.TransactionalStore) apjournal.WaitingCounts {
	t.Helper()
	value, err := store.Read(t.Context(), apjournal.WaitingKey(shard))
	assert.NilError(t, err)
	var counts apjournal.WaitingCounts
	if value.Revision != 0 {
		assert.NilError(t, apfleet.Decode(value.Data, &counts))
	}
	return counts
}

// The counts of an earlier owner, which ended before it could correct them, don't stay.
func TestCountsTellWhetherTheShardHoldsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 5)
		pool.register(t, store)
		stale := apjournal.WaitingCounts{Queues: map[apjob.Queue]int{"q": 3}, HoldsJobs: true}
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.WaitingKey(shard), Data: apfleet.Encode(stale)}}})
		assert.NilError(t, err)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, pool, "owner") })
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, storedCounts(t, store), apjournal.WaitingCounts{Queues: map[apjob.Queue]int{}, HasWorkers: true})
		id := submit(t, store, 1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, storedCounts(t, store).HoldsJobs)
		waitUntilDone(t, store, id)
		time.Sleep(100 * time.Second)
		assert.Assert(t, storedCounts(t, store).HoldsJobs, "the end of the job is still kept")
		time.Sleep(60 * time.Second)
		assert.Assert(t, !storedCounts(t, store).HoldsJobs)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

func TestCountsTellWhetherTheShardHasWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, pool, "owner") })
		time.Sleep(3 * time.Second)
		assert.Assert(t, storedCounts(t, store).HasWorkers)
		var write apstore.Transaction
		for id := range pool.workers {
			write.Removals = append(write.Removals, registrationKey(id))
		}
		_, err := store.Commit(t.Context(), write)
		assert.NilError(t, err)
		time.Sleep(20 * time.Second)
		assert.Assert(t, !storedCounts(t, store).HasWorkers)
		cancel()
		assert.NilError(t, group.Wait())
	})
}
