package apowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// submitJob stores a job as an entry does.
func submitJob(t *testing.T, store apstore.TransactionalStore, job apjob.Job) {
	t.Helper()
	job.Queue, job.Submitted = "q", time.Now()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: apjournal.JobKey(shard, job.ID), Data: apfleet.Encode(job)}}})
	assert.NilError(t, err)
}

func TestScheduleWhoseTimesHaveAllComeLeavesTheOthersRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		pool := newFakePool(t, 1, 2)
		pool.register(t, store)
		const times = 1440
		submitJob(t, store, apjob.Job{
			ID: "00000000000000ff", Repeat: times, First: time.Now().Add(-times * time.Minute), Every: time.Minute,
			Steps: []apjob.Step{{Count: 125, Need: apjob.Resources{CPU: taskCPU}, Label: "none"}},
		})
		group := &errgroup.Group{}
		for _, name := range []apfleet.EntryName{"first", "second"} {
			ctx, stop := context.WithCancel(t.Context())
			group.Go(func() error { return runOwner(ctx, t, store, pool, name) })
			waitUntilDone(t, store, submit(t, store, len(name)))
			stop()
			assert.NilError(t, group.Wait())
		}
	})
}

// pickyStore refuses records of one job that are larger than limit.
type pickyStore struct {
	apstore.TransactionalStore
	key   apfleet.Key
	limit int
}

func (p pickyStore) Commit(ctx context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	for _, put := range t.Puts {
		if put.Key == p.key && len(put.Data) > p.limit {
			return apstore.TransactionResult{}, apcode.Errorf(apcode.BadMessage, "%s is refused", put.Key)
		}
	}
	return p.TransactionalStore.Commit(ctx, t)
}

func TestRefusedRecordStopsItsJobAlone(t *testing.T) {
	for name, limit := range map[string]int{"as too large": 20, "always": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const odd apjob.ID = "00000000000000ff"
				backing := memory.TransactionalStore{Store: memory.New()}
				store := pickyStore{TransactionalStore: backing, key: apjournal.ProgressKey(shard, odd), limit: limit}
				pool := newFakePool(t, 1, 2)
				pool.register(t, store)
				submitJob(t, store, apjob.Job{ID: odd, Steps: []apjob.Step{{Count: 2, Need: apjob.Resources{CPU: taskCPU}}}})
				group := &errgroup.Group{}
				for _, owner := range []apfleet.EntryName{"first", "second"} {
					ctx, stop := context.WithCancel(t.Context())
					group.Go(func() error { return runOwner(ctx, t, store, pool, owner) })
					waitUntilDone(t, store, submit(t, store, len(owner)))
					stop()
					assert.NilError(t, group.Wait())
				}
				for task := range pool.startedAt {
					assert.Assert(t, task.Job != odd, "a run was started whose assignment isn't stored")
				}
				value, err := store.Read(t.Context(), store.key)
				assert.NilError(t, err)
				var progress apjob.Progress
				if value.Revision != 0 {
					assert.NilError(t, apfleet.Decode(value.Data, &progress))
				}
				assert.Equal(t, progress.State == apjob.Failed, limit > 0)
			})
		})
	}
}
