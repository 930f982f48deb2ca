package apowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

func TestWorkerWithUnreadableRegistrationGetsNoNewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		group := &errgroup.Group{}
		ctx, stop := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(ctx, t, store, pool, "owner") })
		time.Sleep(3 * time.Second)
		const odd apjob.WorkerID = "i-0"
		put := func(value string) {
			_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: registrationKey(odd), Data: []byte(value)}}})
			assert.NilError(t, err)
			time.Sleep(3 * time.Second)
		}
		put("127.0.0.1:9 unreadable")
		waitUntilDone(t, store, submit(t, store, 1))
		assert.Equal(t, len(pool.workers[odd].highestRun), 0, "runs on a worker that no registration names")
		put("usual")
		for n := 2; n < 6; n++ {
			submit(t, store, n)
		}
		waitUntilDone(t, store, submit(t, store, 6))
		assert.Assert(t, len(pool.workers[odd].highestRun) > 0, "no runs on a worker that is registered again")
		stop()
		assert.NilError(t, group.Wait())
	})
}
