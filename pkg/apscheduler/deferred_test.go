package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// runWideStep starts a step of eight tasks on a pool of workers, and returns the worker of each run.
func runWideStep(t *testing.T, workers int) (*apscheduler.Shard, map[apjob.RunKey]apjob.WorkerID) {
	t.Helper()
	s := emptyPool(workers, 4000)
	s.Submit(job(apjob.Step{Count: 8, Need: apjob.Resources{CPU: 4000}}, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1}, After: []int{0}}), 0, start)
	s.Plan(start, start)
	assigned := startPlanned(s)
	assert.Equal(t, len(assigned), 8)
	return s, assigned
}

// reportEnd reports the first run end of a worker.
func reportEnd(s *apscheduler.Shard, run apjob.RunKey, on apjob.WorkerID, reason apworker.EndReason, now time.Time) {
	s.ApplyReport(on, apworker.Report{Clock: time.Second, Ends: []apworker.RunEnd{{Number: 1, Run: run, Reason: reason}}}, now, now)
}

// During a burst, the tasks on a large pool end one by one. A record for each end would make the owner's
// writes the bottleneck. Ends that nothing depends on share a record, and are not acknowledged to the worker until it
// is stored.
func TestRunEndsShareARecordOnLargePool(t *testing.T) {
	s, workers := runWideStep(t, 100)
	now, remaining := start, len(workers)
	for run, on := range workers {
		now = now.Add(2 * time.Millisecond)
		reportEnd(s, run, on, apworker.EndDone, now)
		remaining--
		s.Plan(now, now)
		assert.Equal(t, s.HasBatch(), remaining == 0, "%d tasks have not ended yet", remaining)
		order, _ := s.Poll(on, now)
		assert.Equal(t, order.AckedEnd, uint64(0), "a run end was acknowledged before it was stored")
	}
	assert.Equal(t, len(s.NextBatch().Records), 1)
}

// A deferred record is stored after its delay, or at once if a run fails.
func TestDeferredRunEndsAreStored(t *testing.T) {
	s, workers := runWideStep(t, 100)
	now := start.Add(time.Second)
	reason := apworker.EndDone
	for run, on := range workers {
		reportEnd(s, run, on, reason, now)
		s.Plan(now, now)
		if reason == apworker.EndFailed {
			assert.Assert(t, s.HasBatch(), "the record of a failure is deferred")
			break
		}
		assert.Assert(t, !s.HasBatch())
		now = now.Add(31 * time.Millisecond)
		s.Plan(now, now)
		assert.Assert(t, s.HasBatch(), "the record is still deferred")
		storeAll(s)
		order, _ := s.Poll(on, now)
		assert.Equal(t, order.AckedEnd, uint64(1))
		reason = apworker.EndFailed
	}
}
