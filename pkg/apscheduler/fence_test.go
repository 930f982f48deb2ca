package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// pollFence returns the fencing token of polls to a worker.
func pollFence(t *testing.T, s *apscheduler.Shard, id apjob.WorkerID, now time.Time) uint64 {
	t.Helper()
	order, ok := s.Poll(id, now)
	assert.Assert(t, ok)
	return order.Fence
}

func TestRestartedWorkerIsOrderedUnderHigherFence(t *testing.T) {
	s := apscheduler.New(1)
	run := runFirstTask(t, s, 1)
	s.Register(workerInfo("w2", 1000), start)
	later := start.Add(time.Second)
	earlier := pollFence(t, s, "w1", start)
	// Two restarts: each process is told apart from the one before.
	for n := range 2 {
		s.ApplyReport("w1", apworker.Report{StartedAt: later.Add(time.Duration(n) * time.Second)}, later, later)
		s.Plan(later, later)
		for _, order := range s.Orders(later) {
			_, isStart := order.(apscheduler.Start)
			assert.Assert(t, !isStart, "the assignment isn't stored")
		}
		run.Run++
		storeAll(s)
		for _, order := range s.Orders(later) {
			assert.Equal(t, order.(apscheduler.Start).Order.Run, run)
			assert.Assert(t, order.(apscheduler.Start).Order.Fence > earlier)
		}
		assert.Assert(t, pollFence(t, s, "w1", later) > earlier)
		earlier = pollFence(t, s, "w1", later)
	}
	assert.Equal(t, pollFence(t, s, "w2", later), uint64(1))
}

func TestRaisedFenceOutlivesRegistration(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{StartedAt: start}, start, start)
	s.ApplyReport("w1", apworker.Report{StartedAt: start.Add(time.Second)}, start, start)
	s.BatchStored(apscheduler.Batch{}, nextRevision())
	raised := pollFence(t, s, "w1", start)
	assert.Assert(t, raised > 1)
	s.Unregister("w1")
	later := start.Add(leaseOver)
	s.Plan(later, later)
	_, known := s.Poll("w1", start)
	assert.Assert(t, !known)
	s.Register(workerInfo("w1", 1000), later)
	assert.Equal(t, pollFence(t, s, "w1", later), raised)
}

func TestStartOvertakenByRaisedFenceIsSentAgain(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{StartedAt: start}, start, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	assert.Equal(t, len(starts(s.Orders(start))), 1)
	s.OrderAnswered("w1", apjob.RunKey{Task: taskID(0, 0), Run: 1}, false, apcode.Errorf(apcode.StaleFence, "fence"), start)
	later := start.Add(time.Second)
	assert.Equal(t, len(starts(s.Orders(later))), 1)
}

// A late poll of before may reach the process that registers after the worker was forgotten.
func TestFenceRaiseThatIsDueOutlivesRegistration(t *testing.T) {
	for name, failsWhileKnown := range map[string]bool{"poll fails before worker is forgotten": true, "poll fails after worker is forgotten": false} {
		t.Run(name, func(t *testing.T) {
			s := apscheduler.New(1)
			s.Register(workerInfo("w1", 1000), start)
			s.ApplyReport("w1", apworker.Report{StartedAt: start}, start, start)
			earlier := pollFence(t, s, "w1", start)
			if failsWhileKnown {
				s.PollFailed("w1")
			}
			s.Unregister("w1")
			later := start.Add(leaseOver)
			s.Plan(later, later)
			_, known := s.Poll("w1", later)
			assert.Assert(t, !known)
			if !failsWhileKnown {
				s.PollFailed("w1")
			}
			s.Register(workerInfo("w1", 1000), later)
			s.ApplyReport("w1", apworker.Report{StartedAt: later}, later, later)
			s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, later)
			s.Plan(later, later)
			storeAll(s)
			orders := s.Orders(later)
			assert.Equal(t, len(orders), 1)
			assert.Assert(t, orders[0].(apscheduler.Start).Order.Fence > earlier)
		})
	}
}
