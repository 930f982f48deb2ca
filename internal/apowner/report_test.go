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
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

func putReport(t *testing.T, store apstore.TransactionalStore, report apmachine.PoolReport) {
	t.Helper()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.PrefixPools + apfleet.Key(shard), Data: apfleet.Encode(report)}}})
	assert.NilError(t, err)
}

func storedReport(t *testing.T, store apstore.TransactionalStore) apmachine.PoolReport {
	t.Helper()
	value, err := store.Read(t.Context(), apjournal.PrefixPools+apfleet.Key(shard))
	assert.NilError(t, err)
	var report apmachine.PoolReport
	assert.NilError(t, apfleet.Decode(value.Data, &report))
	return report
}

// The report asks for machines although the work is gone, and so are the workers.
func TestReportOfAnEarlierOwnerDoesNotStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		stale := apmachine.PoolReport{QueuedWork: 128_000, Unplaced: 2, ReservedCPU: map[apjob.WorkerID]int64{"gone": 4000}}
		putReport(t, store, stale)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, newFakePool(t, 1, 0), "owner") })
		time.Sleep(2 * time.Second)
		assert.Assert(t, storedReport(t, store).Equal(stale), "workers may not have reported yet")
		time.Sleep(2 * time.Second)
		assert.Assert(t, storedReport(t, store).Equal(apmachine.PoolReport{}))
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// Whoever moves machines must know that tasks are still to come although none runs or waits.
func TestReportTellsOfUnfinishedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, pool, "owner") })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !storedReport(t, store).HasJobs)
		id := submit(t, store, 1)
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, storedReport(t, store).HasJobs)
		waitUntilDone(t, store, id)
		time.Sleep(time.Second)
		assert.Assert(t, !storedReport(t, store).HasJobs)
		cancel()
		assert.NilError(t, group.Wait())
	})
}
