package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// pacePercents returns the percentages of the Pace orders.
func pacePercents(orders []apscheduler.Order) []int {
	var percents []int
	for _, order := range orders {
		if p, ok := order.(apscheduler.Pace); ok {
			percents = append(percents, p.Order.Percent)
		}
	}
	return percents
}

// A backfill task is placed on a worker with a serving task only if no other can run it. It is paused before the
// latency reaches its target, and resumed once it has dropped.
func TestBackfillYieldsToServingTasks(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 4000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	fill := &apjob.Job{ID: "00000000000000aa", Queue: "q", Submitted: start, Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}, Backfill: true}}}
	s.Submit(fill, 0, start)
	s.Plan(start, start)
	storeAll(s)
	fills := starts(s.Orders(start))
	assert.Equal(t, len(fills), 1)
	s.OrderAnswered("w1", fills[0], false, nil, start)

	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	serving := starts(s.Orders(start))
	assert.Equal(t, len(serving), 1, "a serving task is placed beside a backfill task if there is no other room")
	s.OrderAnswered("w1", serving[0], false, nil, start)
	now := start
	for _, c := range []struct {
		latency float64
		want    []int
	}{{60, nil}, {85, []int{0}}, {90, nil}, {60, nil}, {30, []int{100}}} {
		now = now.Add(time.Millisecond)
		s.ApplyReport("w1", apworker.Report{Clock: time.Second, Running: []apworker.RunStatus{
			{Run: fills[0], Percent: 10}, {Run: serving[0], Percent: 100, Usage: c.latency},
		}}, now, now)
		s.Plan(now, now)
		assert.DeepEqual(t, pacePercents(s.Orders(now)), c.want)
	}

	s.Register(workerInfo("w2", 1000), now)
	s.ApplyReport("w2", apworker.Report{Clock: time.Second}, now, now)
	submit := func(id apjob.ID) apjob.WorkerID {
		s.Submit(&apjob.Job{ID: id, Queue: "q", Submitted: start, Steps: fill.Steps}, 0, now)
		s.Plan(now, now)
		storeAll(s)
		for _, order := range s.Orders(now) {
			if o, ok := order.(apscheduler.Start); ok {
				assert.Equal(t, o.Order.Run.Task.Job, id)
				s.OrderAnswered(o.To.ID, o.Order.Run, false, nil, now)
				return o.To.ID
			}
		}
		return ""
	}
	assert.Equal(t, submit("00000000000000bb"), apjob.WorkerID("w2"), "w2 has no serving task")
	s.Unregister("w2")
	assert.Equal(t, submit("00000000000000dd"), apjob.WorkerID("w1"), "w1 is the only worker left")
	now = now.Add(time.Millisecond)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, Running: []apworker.RunStatus{
		{Run: fills[0], Percent: 10},
		{Run: serving[0], Percent: 100, Usage: 85},
		{Run: apjob.RunKey{Task: apjob.TaskID{Job: "00000000000000dd"}, Run: 1}, Percent: 10},
	}}, now, now)
	s.Plan(now, now)
	assert.DeepEqual(t, pacePercents(s.Orders(now)), []int{0, 0})
}

// Either all members of a gang start, with the same run number, or none does.
func TestGangsStartTogether(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 2000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 3, Gang: true, Need: apjob.Resources{CPU: 1000}}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	assert.Equal(t, len(starts(s.Orders(start))), 0)
	s.Register(workerInfo("w2", 2000), start)
	s.ApplyReport("w2", apworker.Report{Clock: time.Second}, start, start)
	s.Plan(start, start)
	storeAll(s)
	runs := starts(s.Orders(start))
	assert.Equal(t, len(runs), 3)
	for _, run := range runs {
		assert.Equal(t, run.Run, 1)
	}
}
