package apowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// runOnSlowStore runs an owner of a pool of workers, and play beside it. Each call of the store takes 4 ms.
func runOnSlowStore(t *testing.T, workers int, play func(t *testing.T, store apstore.TransactionalStore, pool *fakePool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, workers)
		pool.register(t, store)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		delay := &atomic.Int64{}
		delay.Store(int64(4 * time.Millisecond))
		group.Go(func() error {
			return runOwner(ctx, t, slowStore{TransactionalStore: store, delay: delay}, pool, "owner")
		})
		play(t, store, pool)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

// The leases of workers without runs aren't extended, so they have ended by the time of the first job.
func TestTasksStartAtOnceOnPoolThatWasIdle(t *testing.T) {
	runOnSlowStore(t, 2, func(t *testing.T, store apstore.TransactionalStore, pool *fakePool) {
		time.Sleep(20 * time.Second)
		submitted := time.Now()
		id := submit(t, store, 1)
		for pool.startCount() < 3 {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, time.Since(submitted) < 100*time.Millisecond, "the first step starts after %v", time.Since(submitted))
		waitUntilDone(t, store, id)
	})
}

// Guards against a job that waits for the owner's next tick because it came while no write could start.
func TestTasksStartSoonAfterAnotherWrite(t *testing.T) {
	runOnSlowStore(t, 20, func(t *testing.T, store apstore.TransactionalStore, pool *fakePool) {
		time.Sleep(5 * time.Second)
		starts := 0
		for n := range 20 {
			submitted := time.Now()
			submit(t, store, n+1)
			for starts += 3; pool.startCount() < starts; {
				time.Sleep(500 * time.Microsecond)
			}
			assert.Assert(t, time.Since(submitted) < 30*time.Millisecond, "job %d starts after %v", n, time.Since(submitted))
			time.Sleep(time.Duration(n) * 500 * time.Microsecond)
		}
	})
}
