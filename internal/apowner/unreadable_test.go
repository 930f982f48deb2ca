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

// startCount returns the number of runs started so far.
func (p *fakePool) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func TestJobWithUnreadableProgressIsNotRunAgain(t *testing.T) {
	for name, unreadable := range map[string][]byte{
		"not a record":      []byte("?"),
		"too few steps":     progressOf([]apjob.Task{{}, {}, {}}),
		"too many tasks":    progressOf([]apjob.Task{{}, {}, {}, {Run: 1, Worker: "i-0"}}, []apjob.Task{{}, {}}),
		"too many steps":    progressOf([]apjob.Task{{}, {}, {}}, []apjob.Task{{}, {}}, []apjob.Task{{Run: 1, Worker: "i-0"}}),
		"a negative number": apfleet.Encode(apjob.Progress{Occurrences: []apjob.Occurrence{{Number: -1, Steps: [][]apjob.Task{make([]apjob.Task, 3), make([]apjob.Task, 2)}}}}),
	} {
		t.Run(name, func(t *testing.T) { checkUnreadableProgress(t, unreadable) })
	}
}

// progressOf returns the record of a job whose only occurrence has these steps.
func progressOf(steps ...[]apjob.Task) []byte {
	return apfleet.Encode(apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: steps}}})
}

// checkUnreadableProgress checks that a job whose progress is unreadable isn't run again, and that others are run.
func checkUnreadableProgress(t *testing.T, unreadable []byte) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		id := submit(t, store, 1)
		group := &errgroup.Group{}
		first, stopFirst := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(first, t, store, pool, "first") })
		// By then the first step is done, and the tasks of the second run.
		time.Sleep(1300 * time.Millisecond)
		stopFirst()
		assert.NilError(t, group.Wait())
		started := pool.startCount()
		assert.Equal(t, started, 5)
		key := apjournal.ProgressKey(shard, id)
		_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: key, Data: unreadable}}})
		assert.NilError(t, err)

		second, stopSecond := context.WithCancel(t.Context())
		group.Go(func() error { return runOwner(second, t, store, pool, "second") })
		time.Sleep(20 * time.Second)
		assert.Equal(t, pool.startCount(), started, "tasks of the job were started again")
		value, err := store.Read(t.Context(), key)
		assert.NilError(t, err)
		assert.DeepEqual(t, value.Data, unreadable)
		waitUntilDone(t, store, submit(t, store, 2))
		stopSecond()
		assert.NilError(t, group.Wait())
	})
}
