package apowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore/memory"
)

// The next process takes the deadline of an earlier owner's late poll for its longest lease. It is cut off after it has
// reported to the new owner.
func TestTasksRunOnceWhenNewOwnerLosesRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.taskDuration = 20 * time.Second
		registerWorker(t, store, "i-0")
		// The clock of the first process is far ahead of that of the second.
		time.Sleep(time.Minute)
		id := submit(t, store, 1)
		group := &errgroup.Group{}
		ctx, cancel := context.WithCancel(t.Context())
		late := latePollClient{fakePool: pool, armed: &atomic.Bool{}, late: make(chan struct{}), worker: "i-0", delay: time.Second}
		group.Go(func() error { return runOwner(ctx, t, store, late, "first") })
		time.Sleep(2 * time.Second)
		late.armed.Store(true)
		<-late.late
		pool.restart("i-0")
		cancel()
		assert.NilError(t, group.Wait())
		time.Sleep(late.delay)
		cutOff := &atomic.Bool{}
		client := cutOffClient{fakePool: pool, code: apcode.WorkerSilent, timeout: startTimeout, isCutOff: func(worker apjob.WorkerID) bool {
			return worker == "i-0" && cutOff.Load()
		}}
		next, stopNext := context.WithCancel(t.Context())
		started := pool.startCount()
		group.Go(func() error { return runOwner(next, t, store, client, "next") })
		for pool.startCount() == started {
			time.Sleep(10 * time.Millisecond)
		}
		cutOff.Store(true)
		registerWorker(t, store, "i-1")
		waitUntilDone(t, store, id)
		stopNext()
		assert.NilError(t, group.Wait())
	})
}
