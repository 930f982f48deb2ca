package apintake_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apintake"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// movedQueue is the queue in a later version of the settings.
var movedQueue = apqueue.Queue{Name: "q", Service: "other"}

func put(t *testing.T, store apstore.TransactionalStore, key apfleet.Key, value any) {
	t.Helper()
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{Key: key, Data: apfleet.Encode(value)}}})
	assert.NilError(t, err)
}

func exists(t *testing.T, store apstore.TransactionalStore, key apfleet.Key) bool {
	t.Helper()
	value, err := store.Read(t.Context(), key)
	assert.NilError(t, err)
	return value.Revision != 0
}

// Guards against a second copy of a job, and a job that is said to be unknown, after its queue was sent to another service: one entry
// knows a version of the settings in which it was.
func TestJobIsStoredOnceAndFoundWhenItsQueueMoves(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	first, second := intake(store), intake(store)
	assert.NilError(t, first.Submit(t.Context(), queue, job()))
	assert.NilError(t, second.Submit(t.Context(), movedQueue, job()))
	assert.Assert(t, !exists(t, store, apjournal.JobKey("other", id)), "a second copy is stored")

	state, err := second.Status(t.Context(), movedQueue, id)
	assert.NilError(t, err)
	assert.Equal(t, state, apjob.Pending)
	assert.NilError(t, second.Cancel(t.Context(), movedQueue, id))
	assert.Assert(t, exists(t, store, apjournal.CancelKey("pool", id)))

	put(t, store, apjournal.ProgressKey("pool", id), apjob.Progress{State: apjob.Completed})
	state, err = second.Status(t.Context(), movedQueue, id)
	assert.NilError(t, err)
	assert.Equal(t, state, apjob.Completed)
}

// retiringStore retires the job just before the job's definition is read for the first time.
type retiringStore struct {
	apstore.TransactionalStore
	retired bool
}

func (r *retiringStore) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if jobKey := apjournal.JobKey("pool", id); key == jobKey && !r.retired {
		r.retired = true
		_, err := r.Commit(ctx, apstore.Transaction{
			Puts:     []apstore.Put{{Key: apjournal.ProgressKey("pool", id), Data: apfleet.Encode(apjob.Progress{State: apjob.Cancelled})}},
			Removals: []apfleet.Key{jobKey},
		})
		if err != nil {
			return apstore.Value{}, err
		}
	}
	return r.TransactionalStore.Read(ctx, key)
}

func TestJobIsFoundThatIsRetiredBetweenTwoReads(t *testing.T) {
	for _, q := range []apqueue.Queue{queue, movedQueue} {
		store := &retiringStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}}
		in := intake(store)
		assert.NilError(t, in.Submit(t.Context(), queue, job()))
		state, err := in.Status(t.Context(), q, id)
		assert.NilError(t, err)
		assert.Equal(t, state, apjob.Cancelled)
	}
}

// The older jobs of a queue are in the shard of its earlier service.
func TestWaitingJobsAreCountedInAllShards(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	put(t, store, apjournal.WaitingKey("pool"), apjournal.WaitingCounts{Queues: map[apjob.Queue]int{"q": 3, "else": 7}})
	put(t, store, apjournal.WaitingKey("other"), apjournal.WaitingCounts{Queues: map[apjob.Queue]int{"q": 2}})
	in := intake(store)
	n, err := in.WaitingJobs(t.Context(), movedQueue)
	assert.NilError(t, err)
	assert.Equal(t, n, 5)
	_, err = in.WaitingJobs(t.Context(), queue)
	assert.NilError(t, err)
	assert.Equal(t, store.Calls().Reads, uint64(1), "the counts are cached")
}

func TestJobOfRemovedQueueIsFoundUnderItsOwnPathOnly(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	in := intake(store)
	accepted := apqueue.Queue{Name: "q", Service: "pool", Host: "pule25.example", Prefix: "/jobs/"}
	assert.NilError(t, in.Submit(t.Context(), accepted, job()))
	found, foundID, err := in.FindAccepted(t.Context(), "pule25.example:8080", "/jobs/"+string(id))
	assert.NilError(t, err)
	assert.Equal(t, foundID, id)
	assert.DeepEqual(t, found, accepted)
	for _, c := range []struct{ host, path string }{
		{"pule26.example", "/jobs/" + string(id)},
		{"pule25.example", "/others/" + string(id)},
		{"pule25.example", "/jobs/more/" + string(id)},
		{"pule25.example", "/jobs/5c0e7a21d94b36f9"},
		{"pule25.example", "/jobs/"},
	} {
		_, _, err := in.FindAccepted(t.Context(), c.host, c.path)
		assert.Equal(t, apcode.Of(err), apcode.NoSuchQueue, c.path)
	}
}

func TestJobTakesOneWriteAndItsUsualPathNoFurtherRead(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	in := apintake.New(store, apintake.DefaultOptions(), func(string, apjob.ID, error, map[string]any) {})
	assert.NilError(t, in.Submit(t.Context(), queue, job()))
	assert.Equal(t, store.Calls(), memory.Calls{Writes: 1})
	_, err := in.Status(t.Context(), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, store.Calls(), memory.Calls{Writes: 1, Reads: 2})
	assert.NilError(t, in.Cancel(t.Context(), queue, id))
	assert.Equal(t, store.Calls(), memory.Calls{Writes: 2, Reads: 3})
	put(t, store, apjournal.ProgressKey("pool", id), apjob.Progress{State: apjob.Running, Ended: time.Now().Unix()})
	_, err = in.Status(t.Context(), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, store.Calls(), memory.Calls{Writes: 3, Reads: 4})
}
