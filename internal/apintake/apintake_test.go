package apintake_test

import (
	"context"
	"testing"
	"testing/synctest"
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

const id apjob.ID = "5c0e7a21d94b36f8"

var queue = apqueue.Queue{Name: "q", Service: "pool"}

func job() *apjob.Job {
	return &apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1}}, Submitted: time.Unix(1, 0).UTC()}
}

// flakyStore answers the next commits with errs. It executes these commits if execute is set.
type flakyStore struct {
	apstore.TransactionalStore
	errs    []error
	execute bool
}

func (f *flakyStore) Commit(ctx context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	if len(f.errs) == 0 {
		return f.TransactionalStore.Commit(ctx, t)
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	if f.execute {
		_, _ = f.TransactionalStore.Commit(ctx, t)
	}
	return apstore.TransactionResult{}, err
}

func intake(store apstore.TransactionalStore) *apintake.Intake {
	return apintake.New(store, apintake.DefaultOptions(), func(string, apjob.ID, error, map[string]any) {})
}

func stored(t *testing.T, store apstore.TransactionalStore) bool {
	t.Helper()
	value, err := store.Read(t.Context(), apjournal.JobKey("pool", id))
	assert.NilError(t, err)
	return value.Revision != 0
}

func TestSubmitIsIdempotent(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	in := intake(store)
	assert.NilError(t, in.Submit(t.Context(), queue, job()))
	assert.NilError(t, in.Submit(t.Context(), queue, job()))
	state, err := in.Status(t.Context(), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, state, apjob.Pending)
}

// A submission that arrives after its job has ended must not store the job again.
func TestLateSubmissionOfAnEndedJob(t *testing.T) {
	store := memory.TransactionalStore{Store: memory.New()}
	_, err := store.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{{
		Key: apjournal.ProgressKey("pool", id), Data: apfleet.Encode(apjob.Progress{State: apjob.Completed}),
	}}})
	assert.NilError(t, err)
	in := intake(store)
	assert.NilError(t, in.Submit(t.Context(), queue, job()))
	assert.Assert(t, !stored(t, store))
	assert.NilError(t, in.Cancel(t.Context(), queue, id))
	state, err := in.Status(t.Context(), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, state, apjob.Completed)
}

func TestRefusedMeansNotStored(t *testing.T) {
	store := &flakyStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, errs: []error{apcode.Errorf(apcode.StoreUnavailable, "down")}}
	err := intake(store).Submit(t.Context(), queue, job())
	assert.Equal(t, apcode.Of(err), apcode.StoreUnavailable)
	assert.Assert(t, !stored(t, store))
}

// After a write with an unknown outcome, a submission must not be reported as refused: it is retried until it
// is stored, or ends with JobUnsettled.
func TestUnknownOutcomeIsNeverARefusal(t *testing.T) {
	unknown := apcode.Errorf(apcode.StoreUnknown, "lost")
	down := apcode.Errorf(apcode.StoreUnavailable, "down")
	for name, execute := range map[string]bool{"carried out": true, "lost": false} {
		synctest.Test(t, func(t *testing.T) {
			store := &flakyStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, errs: []error{unknown, down, down}, execute: execute}
			assert.NilError(t, intake(store).Submit(t.Context(), queue, job()), name)
			assert.Assert(t, stored(t, store), name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}}
		for range 1000 {
			store.errs = append(store.errs, unknown)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := intake(store).Submit(ctx, queue, job())
		assert.Equal(t, apcode.Of(err), apcode.JobUnsettled)
		assert.Assert(t, !apcode.Describe(apcode.Of(err)).NotRun)
	})
}

func TestCancelOfAnUnknownJob(t *testing.T) {
	in := intake(memory.TransactionalStore{Store: memory.New()})
	assert.Equal(t, apcode.Of(in.Cancel(t.Context(), queue, id)), apcode.NoSuchJob)
	_, err := in.Status(t.Context(), queue, id)
	assert.Equal(t, apcode.Of(err), apcode.NoSuchJob)
}

func TestCancelRetriesAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flakyStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}}
		in := intake(store)
		assert.NilError(t, in.Submit(t.Context(), queue, job()))
		store.errs = []error{apcode.Errorf(apcode.StoreUnknown, "lost")}
		assert.NilError(t, in.Cancel(t.Context(), queue, id))
		value, err := store.Read(t.Context(), apjournal.CancelKey("pool", id))
		assert.NilError(t, err)
		assert.Assert(t, value.Revision != 0)
	})
}

// Settings are not used after they have gone unconfirmed for too long, and never replaced by older ones.
// Guards against a cancel that is said not to be done, though it is carried out, and against one that is sent again at once.
func TestCancelOfUnknownOutcomeIsNeverARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		assert.NilError(t, intake(store).Submit(t.Context(), queue, job()))
		lost, away := apcode.Errorf(apcode.StoreUnknown, "lost"), apcode.Errorf(apcode.StoreUnavailable, "away")
		flaky := &flakyStore{TransactionalStore: store, errs: []error{lost, away, lost, away}, execute: true}
		began := time.Now()
		assert.NilError(t, intake(flaky).Cancel(t.Context(), queue, id))
		assert.Equal(t, time.Since(began), 4*apintake.DefaultOptions().RetryDelay)
		assert.Assert(t, exists(t, store, apjournal.CancelKey("pool", id)))

		flaky.errs, flaky.execute = []error{away}, false
		assert.Equal(t, apcode.Of(intake(flaky).Cancel(t.Context(), queue, id)), apcode.StoreUnavailable, "nothing was done")
	})
}

func TestSettingsExpireAndNeverRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := intake(memory.TransactionalStore{Store: memory.New()})
		_, err := in.Queues()
		assert.Equal(t, apcode.Of(err), apcode.SettingsStale)
		assert.Assert(t, in.ApplySettings(&apqueue.Table{Version: 7}))
		in.ConfirmSettings(time.Now())
		assert.Assert(t, !in.ApplySettings(&apqueue.Table{Version: 6}))
		table, err := in.Queues()
		assert.NilError(t, err)
		assert.Equal(t, table.Version, uint64(7))
		assert.Assert(t, in.Ready())
		time.Sleep(2 * time.Second)
		_, err = in.Queues()
		assert.Equal(t, apcode.Of(err), apcode.SettingsStale)
		assert.Assert(t, !in.Ready())
		assert.Equal(t, in.RetryAfter(), 2*time.Second)
		time.Sleep(time.Minute)
		assert.Equal(t, in.RetryAfter(), 3*time.Second)
	})
}
