package apjournal_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

const (
	shard             = apjournal.Shard("pool")
	id       apjob.ID = "5c0e7a21d94b36f8"
	noReport          = "not reported"
)

// faulty loses answers of transactions, and keeps copies of them to be carried out late.
type faulty struct {
	apstore.Ledger
	loseAnswers int
	loseCalls   int
	late        []apstore.Transaction
}

func (f *faulty) Commit(ctx context.Context, t apstore.Transaction) (apstore.Result, error) {
	if f.loseCalls > 0 {
		f.loseCalls--
		f.late = append(f.late, t)
		return apstore.Result{}, apcode.Errorf(apcode.StoreUnknown, "lost")
	}
	result, err := f.Ledger.Commit(ctx, t)
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return apstore.Result{}, apcode.Errorf(apcode.StoreUnknown, "lost")
	}
	return result, err
}

func progress(state apjob.State) apjournal.Write {
	return apjournal.Write{Puts: []apstore.Put{{
		Key: apjournal.ProgressKey(shard, id), Data: apfleet.Encode(apjob.Progress{State: state}),
	}}}
}

func claim(t *testing.T, ledger apstore.Ledger, holder apfleet.EntryName) *apjournal.Journal {
	t.Helper()
	lease, err := ledger.Grant(t.Context(), time.Second)
	assert.NilError(t, err)
	journal, err := apjournal.Claim(t.Context(), ledger, shard, holder, lease)
	assert.NilError(t, err)
	return journal
}

func state(t *testing.T, ledger apstore.Ledger) apjob.State {
	t.Helper()
	value, err := ledger.Read(t.Context(), apjournal.ProgressKey(shard, id))
	assert.NilError(t, err)
	var p apjob.Progress
	assert.NilError(t, apfleet.Decode(value.Data, &p))
	return p.State
}

func ignore(error) {}

func TestOneOwnerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := memory.Ledger{Store: memory.New()}
		first := claim(t, ledger, "a")
		_, err := apjournal.Claim(t.Context(), ledger, shard, "b", 0)
		assert.Equal(t, apcode.Of(err), apcode.StoreConflict)
		time.Sleep(2 * time.Second)
		second := claim(t, ledger, "b")
		assert.Assert(t, second.Fence() > first.Fence())
		assert.Equal(t, apcode.Of(first.Store(t.Context(), progress(apjob.Completed), ignore)), apcode.LeaseLost)
		assert.NilError(t, second.Store(t.Context(), progress(apjob.Running), ignore))
		assert.Equal(t, state(t, ledger), apjob.Running)
	})
}

func TestLostAnswerIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &faulty{Ledger: memory.Ledger{Store: memory.New()}}
		journal := claim(t, ledger, "a")
		ledger.loseAnswers = 2
		failures := 0
		assert.NilError(t, journal.Store(t.Context(), progress(apjob.Running), func(error) { failures++ }))
		assert.Assert(t, failures > 0, noReport)
		assert.NilError(t, journal.Store(t.Context(), progress(apjob.Completed), ignore))
		assert.Equal(t, state(t, ledger), apjob.Completed)
	})
}

// A write that was lost on its way and is carried out seconds later must not replace a newer one, also
// of the same owner.
func TestLateWriteHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &faulty{Ledger: memory.Ledger{Store: memory.New()}}
		journal := claim(t, ledger, "a")
		ledger.loseCalls = 1
		assert.NilError(t, journal.Store(t.Context(), progress(apjob.Running), ignore))
		assert.NilError(t, journal.Store(t.Context(), progress(apjob.Completed), ignore))
		_, err := ledger.Ledger.Commit(t.Context(), ledger.late[0])
		assert.Equal(t, apcode.Of(err), apcode.StoreConflict)
		assert.Equal(t, state(t, ledger), apjob.Completed)
	})
}

// A claim whose answer was lost is taken up by its own holder.
func TestLostClaimIsTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &faulty{Ledger: memory.Ledger{Store: memory.New()}, loseAnswers: 1}
		_, err := apjournal.Claim(t.Context(), ledger, shard, "a", 0)
		assert.Equal(t, apcode.Of(err), apcode.StoreUnknown)
		journal, err := apjournal.Claim(t.Context(), ledger, shard, "a", 0)
		assert.NilError(t, err)
		assert.Equal(t, journal.Epoch(), uint64(2))
	})
}

func TestLoadReadsWhatIsThere(t *testing.T) {
	ledger := memory.Ledger{Store: memory.New()}
	journal := claim(t, ledger, "a")
	job := apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1}}, Submitted: time.Unix(1, 0).UTC()}
	retired := apjob.ID("00000000000000aa")
	_, err := ledger.Commit(t.Context(), apstore.Transaction{Puts: []apstore.Put{
		{Key: apjournal.JobKey(shard, id), Data: apfleet.Encode(job)},
		{Key: apjournal.CancelKey(shard, id), Data: []byte{1}},
		{Key: apjournal.JobKey(shard, "broken"), Data: []byte("?")},
		{Key: apjournal.ProgressKey(shard, retired), Data: apfleet.Encode(apjob.Progress{State: apjob.Completed, Ended: 7})},
	}})
	assert.NilError(t, err)
	got, err := journal.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(got.Jobs), 1)
	assert.Assert(t, got.Jobs[id].Cancelled && !got.Jobs[id].Begun)
	assert.DeepEqual(t, got.Retired, map[apjob.ID]time.Time{retired: time.Unix(7, 0)})
	assert.DeepEqual(t, got.Broken, []apfleet.Key{apjournal.JobKey(shard, "broken")})
}
