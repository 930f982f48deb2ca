package apintake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apintake"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// lateStore loses the answers of the first writes and carries them out after lateBy.
type lateStore struct {
	apstore.TransactionalStore
	lose   int
	lateBy time.Duration
}

func (l *lateStore) Commit(ctx context.Context, transaction apstore.Transaction) (apstore.TransactionResult, error) {
	if l.lose == 0 {
		return l.TransactionalStore.Commit(ctx, transaction)
	}
	l.lose--
	time.AfterFunc(l.lateBy, func() { _, _ = l.TransactionalStore.Commit(context.WithoutCancel(ctx), transaction) })
	return apstore.TransactionResult{}, apcode.Errorf(apcode.StoreUnknown, "lost")
}

// Guards against a job that runs after its cancel was acknowledged, since the write of its submission is carried out after that.
func TestCancelledJobIsNotStoredByALateWriteOfItsSubmission(t *testing.T) {
	for _, q := range []apqueue.Queue{queue, movedQueue} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.TransactionalStore{Store: memory.New()}
			caller, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer leave()
			late := &lateStore{TransactionalStore: store, lose: 100, lateBy: 6 * time.Second}
			assert.Equal(t, apcode.Of(intake(late).Submit(caller, queue, job())), apcode.JobUnsettled)
			in := intake(store)
			assert.Equal(t, apcode.Of(in.Cancel(t.Context(), q, id)), apcode.NoSuchJob)
			time.Sleep(25 * time.Second)
			assert.Assert(t, !stored(t, store), "the cancelled job is stored")
			assert.Equal(t, apcode.Of(intake(store).Submit(t.Context(), queue, job())), apcode.JobCancelled)
			assert.Assert(t, !stored(t, store), "the cancelled job is stored")
		})
	}
}

func TestTombstoneShowsNoJobAndCostsOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		first, second := intake(store), intake(store)
		assert.Equal(t, apcode.Of(first.Cancel(t.Context(), queue, id)), apcode.NoSuchJob)
		assert.Equal(t, store.Calls(), memory.Calls{Reads: 3, Writes: 1, Leases: 1})
		for _, in := range []*apintake.Intake{first, second} {
			assert.Equal(t, apcode.Describe(apcode.Of(in.Cancel(t.Context(), queue, id))).Status, 410)
			_, err := in.Status(t.Context(), queue, id)
			assert.Equal(t, apcode.Describe(apcode.Of(err)).Status, 410)
			_, _, err = in.FindAccepted(t.Context(), "pule25.example", "/jobs/"+string(id))
			assert.Equal(t, apcode.Of(err), apcode.NoSuchQueue)
		}
		assert.Equal(t, store.Calls().Writes, uint64(1))
		assert.Equal(t, store.Calls().Leases, uint64(1))
		// The ID is free again when the store has removed the record.
		time.Sleep(time.Minute)
		assert.NilError(t, first.Submit(t.Context(), queue, job()))
		assert.Assert(t, stored(t, store))
	})
}

// The answers to the first writes of the cancel are lost; in one case the job's own late write comes before them.
func TestCancelIsAnsweredOnlyOnceItsTombstoneIsKnown(t *testing.T) {
	for name, jobFirst := range map[string]bool{"not stored": false, "stored meanwhile": true} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.TransactionalStore{Store: memory.New()}
			late := &lateStore{TransactionalStore: store, lose: 3, lateBy: 40 * time.Millisecond}
			if jobFirst {
				late.lateBy = time.Hour
				time.AfterFunc(20*time.Millisecond, func() { assert.Check(t, intake(store).Submit(t.Context(), queue, job())) })
			}
			err := intake(late).Cancel(t.Context(), queue, id)
			cancelled := exists(t, store, apjournal.CancelKey("pool", id))
			if jobFirst {
				assert.NilError(t, err, name)
				assert.Assert(t, cancelled, name)
				return
			}
			assert.Equal(t, apcode.Of(err), apcode.NoSuchJob, name)
			assert.Assert(t, exists(t, store, apjournal.LocationKey(id)), name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		late := &lateStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, lose: 1000, lateBy: time.Hour}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, apcode.Of(intake(late).Cancel(ctx, queue, id)), apcode.StoreUnknown)
	})
}

// The store may end a lease early.
func TestCancelTakesAnotherLeaseWhenItsOwnIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		in := intake(store)
		assert.Equal(t, apcode.Of(in.Cancel(t.Context(), queue, id)), apcode.NoSuchJob)
		assert.NilError(t, store.Revoke(t.Context(), 1))
		assert.Equal(t, apcode.Of(in.Cancel(t.Context(), queue, id)), apcode.NoSuchJob)
		assert.Assert(t, exists(t, store, apjournal.LocationKey(id)))
	})
}

// A client cancels unknown IDs in a loop. Other requests on the same entry don't wait.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.TransactionalStore{Store: memory.New()}
		options := apintake.DefaultOptions()
		in := intake(store)
		known := job()
		known.ID = "ffffffffffffffff"
		assert.NilError(t, in.Submit(t.Context(), queue, known))
		bound := options.UnknownCancelBurst + int(options.UnknownCancelRate*options.TombstoneTTL.Seconds())
		refused, most := 0, 0
		for n := range 20_000 {
			err := in.Cancel(t.Context(), queue, apjob.ID(fmt.Sprintf("%016x", n)))
			if !apcode.Is(err, apcode.NoSuchJob) {
				assert.Equal(t, apcode.Of(err), apcode.CancelsLimited)
				assert.Equal(t, apcode.Describe(apcode.Of(err)).Status, 429)
				assert.Assert(t, !exists(t, store, apjournal.LocationKey(apjob.ID(fmt.Sprintf("%016x", n)))))
				refused++
			}
			if n%100 == 0 {
				page, err := store.Scan(t.Context(), apjournal.LocationKey(""))
				assert.NilError(t, err)
				most = max(most, len(page.Values)-1)
			}
			if n%1000 == 0 {
				began := time.Now()
				assert.NilError(t, in.Cancel(t.Context(), queue, known.ID))
				_, err := in.Status(t.Context(), queue, known.ID)
				assert.NilError(t, err)
				assert.NilError(t, in.Submit(t.Context(), queue, known))
				assert.Equal(t, time.Since(began), time.Duration(0))
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, most <= bound, "%d tombstones, at most %d may be stored", most, bound)
		assert.Assert(t, most > bound/2, "%d tombstones", most)
		assert.Assert(t, refused > 15_000, "%d refused", refused)
		assert.Assert(t, store.Calls().Leases <= 8, "%d leases", store.Calls().Leases)
		time.Sleep(options.TombstoneTTL)
		page, err := store.Scan(t.Context(), apjournal.LocationKey(""))
		assert.NilError(t, err)
		assert.Equal(t, len(page.Values), 1, "only the location of the stored job stays")
	})
}
