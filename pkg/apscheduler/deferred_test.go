package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// wide returns a pool of many workers on which a step of eight tasks runs, and where each task is.
func wide(t *testing.T, workers int) (*apscheduler.Shard, map[apjob.RunKey]apjob.WorkerID) {
	t.Helper()
	s := emptyPool(workers, 4000)
	s.Submit(job(apjob.Step{Count: 8, Need: apjob.Resources{CPU: 4000}}, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1}, After: []int{0}}), 0, start)
	s.Plan(start, start)
	at := startPlanned(s)
	assert.Equal(t, len(at), 8)
	return s, at
}

func ended(s *apscheduler.Shard, run apjob.RunKey, on apjob.WorkerID, how apworker.How, now time.Time) {
	s.Report(on, apworker.Report{Clock: time.Second, Ended: []apworker.Ended{{Number: 1, Run: run, How: how}}}, now, now)
}

// In a turn a large pool's tasks end one by one, and each end rewrote its job's record: the owner's writes were
// the bound. Ends that unlock nothing share a record; the worker keeps them until then.
func TestEndsOfAStepShareARecordOnALargePool(t *testing.T) {
	s, at := wide(t, 100)
	now, left := start, len(at)
	for run, on := range at {
		now = now.Add(2 * time.Millisecond)
		ended(s, run, on, apworker.EndDone, now)
		left--
		s.Plan(now, now)
		assert.Equal(t, s.BatchDue(), left == 0, "%d tasks are left", left)
		order, _ := s.Hold(on, now)
		assert.Equal(t, order.Seen, uint64(0), "an end is acknowledged before it is stored")
	}
	assert.Equal(t, len(s.NextBatch().Records), 1)
}

// A record that waits is written in the end, and at once where the task failed.
func TestDeferredEndsAreStored(t *testing.T) {
	s, at := wide(t, 100)
	now := start.Add(time.Second)
	how := apworker.EndDone
	for run, on := range at {
		ended(s, run, on, how, now)
		s.Plan(now, now)
		if how == apworker.EndFailed {
			assert.Assert(t, s.BatchDue(), "a failure waits")
			break
		}
		assert.Assert(t, !s.BatchDue())
		now = now.Add(31 * time.Millisecond)
		s.Plan(now, now)
		assert.Assert(t, s.BatchDue(), "the record still waits")
		storeAll(s)
		order, _ := s.Hold(on, now)
		assert.Equal(t, order.Seen, uint64(1))
		how = apworker.EndFailed
	}
}
