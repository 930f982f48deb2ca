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

// Nobody sent calls to an earlier process of a worker that is new to a settled owner, so its tasks need not wait for its longest
// lease.
func TestTasksOfNewWorkerWaitForLongestLeaseOnlyWhereCallsMayBeLate(t *testing.T) {
	const maxLease, longestLease = 5 * time.Second, 10 * time.Second
	settled := start.Add(30 * time.Second)
	for _, c := range []struct {
		name      string
		joinsAt   time.Time
		forgotten bool
		restartAt time.Duration
	}{
		{name: "new to a settled owner", joinsAt: settled, restartAt: maxLease + 2*time.Second},
		{name: "meets a new owner", joinsAt: start, restartAt: longestLease + 2*time.Second},
		{name: "was forgotten shortly before", joinsAt: settled, forgotten: true, restartAt: longestLease + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := apscheduler.New(1, apscheduler.WithOptions(func(o *apscheduler.Options) { o.MaxLease, o.LongestLease = maxLease, longestLease }))
			s.Plan(start, start)
			if c.forgotten {
				s.Register(workerInfo("w1", 1000), start)
				s.ApplyReport("w1", apworker.Report{Clock: time.Minute}, start, start)
				s.Unregister("w1")
				s.Plan(c.joinsAt, c.joinsAt)
			}
			s.Register(workerInfo("w1", 1000), c.joinsAt)
			s.ApplyReport("w1", apworker.Report{Clock: time.Second}, c.joinsAt, c.joinsAt)
			s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, c.joinsAt)
			run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
			assert.DeepEqual(t, startsAfterPlan(s, c.joinsAt), []apjob.RunKey{run})
			s.OrderAnswered("w1", run, false, nil, c.joinsAt)
			s.Register(workerInfo("w2", 1000), c.joinsAt)
			for passed := time.Second; passed <= c.restartAt; passed += time.Second {
				now := c.joinsAt.Add(passed)
				s.ApplyReport("w2", apworker.Report{Clock: time.Minute}, now, now)
				waits := passed < c.restartAt-time.Second
				assert.Equal(t, len(startsAfterPlan(s, now)) == 0, waits, "%v after the last report", passed)
				if !waits {
					break
				}
			}
		})
	}
}
