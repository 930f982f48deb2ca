package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

func TestNothingStartsAndNoLeaseIsExtendedWhileShardMayBeLost(t *testing.T) {
	owned := false
	s := apscheduler.New(1, apscheduler.WithOptions(func(o *apscheduler.Options) { o.MayExtend = func() bool { return owned } }))
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	assert.Equal(t, len(s.Orders(start)), 0)
	order, ok := s.Poll("w1", start)
	assert.Assert(t, ok)
	assert.Equal(t, order.Deadline, time.Duration(0))
	owned = true
	assert.Equal(t, len(starts(s.Orders(start))), 1)
	order, _ = s.Poll("w1", start)
	assert.Equal(t, order.Deadline, 5*time.Second)
}

// The worker's clock may be slow, so its lease must not be extended by the time that passed on the local clock.
func TestLeaseIsNoLongerThanGrantedOnSlowClock(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	order, _ := s.Poll("w1", start.Add(time.Second))
	slowClock := time.Second + 980*time.Millisecond
	assert.Equal(t, order.Deadline, slowClock+4*time.Second)
}

// A restarted worker may hold its longest lease. Its registration lapses, and it is back at once.
func TestLeaseOfRestartedWorkerOutlivesItsRegistration(t *testing.T) {
	s := apscheduler.New(1, apscheduler.WithOptions(func(o *apscheduler.Options) { o.LongestLease = 10 * time.Second }))
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Minute, StartedAt: start.Add(-time.Minute)}, start, start)
	s.ApplyReport("w1", apworker.Report{StartedAt: start}, start, start)
	s.Unregister("w1")
	s.Plan(start, start)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{StartedAt: start}, start, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{run})
	s.OrderAnswered("w1", run, false, nil, start)
	s.Register(workerInfo("w2", 1000), start)
	for passed := time.Second; passed < 10*time.Second; passed += time.Second {
		now := start.Add(passed)
		s.ApplyReport("w2", apworker.Report{Clock: passed, StartedAt: start}, now, now)
		assert.Equal(t, len(startsAfterPlan(s, now)), 0, "the run may go on for 10 s, started again after %v", passed)
	}
}

// An earlier owner's late poll has given the worker a longer lease than a new owner counts on.
func TestRunThatIsListedAfterItsLeaseKeepsItsRoom(t *testing.T) {
	s := apscheduler.New(1)
	run := runFirstTask(t, s, 1)
	later := start.Add(7 * time.Second)
	s.Plan(later, later)
	s.ApplyReport("w1", apworker.Report{Clock: 8 * time.Second, StartedAt: start, Running: []apworker.RunStatus{{Run: run}}}, later, later)
	s.Plan(later, later)
	storeAll(s)
	orders := s.Orders(later)
	assert.Equal(t, len(starts(orders)), 0, "w1 has no room while %v goes on", run)
	assert.DeepEqual(t, stops(orders), []apjob.RunKey{run})
}

// secondsUntilSecondStart returns how long after the first start of a task, on w1 whose process is a second old, it starts on w2.
func secondsUntilSecondStart(t *testing.T, s *apscheduler.Shard, began time.Time) time.Duration {
	t.Helper()
	s.Register(workerInfo("w1", 1000), began)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: began}, began, began)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, began)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
	assert.DeepEqual(t, startsAfterPlan(s, began), []apjob.RunKey{run})
	s.OrderAnswered("w1", run, false, nil, began)
	s.Register(workerInfo("w2", 1000), began)
	for passed := time.Second; ; passed += time.Second {
		now := began.Add(passed)
		s.ApplyReport("w2", apworker.Report{Clock: passed, StartedAt: began}, now, now)
		if len(startsAfterPlan(s, now)) > 0 {
			return passed
		}
	}
}

func TestYoungWorkerMayHoldLongestLeaseIfCalledBefore(t *testing.T) {
	newShard := func() *apscheduler.Shard {
		return apscheduler.New(1, apscheduler.WithOptions(func(o *apscheduler.Options) { o.LongestLease = 10 * time.Second }))
	}
	longAfter := start.Add(time.Minute)
	t.Run("a previous owner may have called it", func(t *testing.T) {
		assert.Equal(t, secondsUntilSecondStart(t, newShard(), start), 11*time.Second)
	})
	t.Run("called before it was forgotten", func(t *testing.T) {
		s := newShard()
		s.Plan(start, start)
		s.Register(workerInfo("w1", 1000), longAfter.Add(-leaseOver))
		s.ApplyReport("w1", apworker.Report{Clock: time.Hour, StartedAt: start}, longAfter.Add(-leaseOver), longAfter.Add(-leaseOver))
		s.Unregister("w1")
		s.Plan(longAfter, longAfter)
		assert.Equal(t, secondsUntilSecondStart(t, s, longAfter), 11*time.Second)
	})
	t.Run("never called before", func(t *testing.T) {
		s := newShard()
		s.Plan(start, start)
		assert.Equal(t, secondsUntilSecondStart(t, s, longAfter), 6*time.Second)
	})
}
