package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// During a burst of small tasks, capacity becomes free piece by piece. A long-running task that needs more than
// one such piece must still start within 3 s.
func TestLongRunningTaskStartsDuringBurst(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 4000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	for n := range 40 {
		id := apjob.ID(fmt.Sprintf("%016x", n))
		s.Submit(&apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}, Estimate: time.Second}}, Submitted: start}, 0, start)
	}
	running := make(map[apjob.RunKey]time.Time)
	number := uint64(0)
	for passed := time.Duration(0); passed < 3*time.Second; passed += 250 * time.Millisecond {
		now := start.Add(passed)
		report := apworker.Report{Clock: time.Second + passed}
		for run, began := range running {
			if now.Sub(began) >= time.Second {
				number++
				report.Ends = append(report.Ends, apworker.RunEnd{Number: number, Run: run, Reason: apworker.EndDone})
				delete(running, run)
			} else {
				report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 50})
			}
		}
		s.ApplyReport("w1", report, now, now)
		if passed == 500*time.Millisecond {
			s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 3000}, LongRunning: true}), 0, now)
		}
		s.Plan(now, now)
		storeAll(s)
		for _, run := range starts(s.Orders(now)) {
			if run.Task.Job == jobID {
				return
			}
			running[run] = now
			s.OrderAnswered("w1", run, false, nil, now)
			// The ends are staggered so that room for at most one task is free at a time.
			running[run] = now.Add(time.Duration(len(running)) * 200 * time.Millisecond)
		}
	}
	t.Fatal("the long-running task did not start")
}

// The worker reserved for a waiting task must be one that it may run on: not one that already has its step's
// MaxPerWorker.
func TestReservedWorkerCanRunTheTask(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("roomy", 9000), start)
	s.ApplyReport("roomy", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 3000}, LongRunning: true, MaxPerWorker: 1}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	assert.Equal(t, len(starts(s.Orders(start))), 1)
	s.Register(workerInfo("other", 4000), start)
	s.ApplyReport("other", apworker.Report{Clock: time.Second}, start, start)
	small := func(n int) {
		id := apjob.ID(fmt.Sprintf("%016x", n))
		s.Submit(&apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 2000}}}, Submitted: start}, 0, start)
	}
	small(1)
	s.Plan(start, start)
	storeAll(s)
	for _, run := range starts(s.Orders(start)) {
		if run.Task.Job == jobID {
			return
		}
	}
	t.Fatal("the long-running task did not get the worker that it may run on")
}

// A worker on which every run fails is quarantined, and a task that failed there is retried elsewhere, so that one
// bad worker doesn't fail a job.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	s := apscheduler.New(1)
	s.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 3}})
	for _, id := range []apjob.WorkerID{"bad", "good"} {
		s.Register(workerInfo(id, 4000), start)
		s.ApplyReport(id, apworker.Report{Clock: time.Second}, start, start)
	}
	for n := range 8 {
		id := apjob.ID(fmt.Sprintf("%016x", n))
		s.Submit(&apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}}}, Submitted: start}, 0, start)
	}
	number := uint64(0)
	last := 0
	for round := range 20 {
		now := start.Add(time.Duration(round) * 100 * time.Millisecond)
		s.Plan(now, now)
		storeAll(s)
		reports := map[apjob.WorkerID]*apworker.Report{"bad": {Clock: time.Second}, "good": {Clock: time.Second}}
		for _, order := range s.Orders(now) {
			o, ok := order.(apscheduler.Start)
			assert.Assert(t, ok)
			s.OrderAnswered(o.To.ID, o.Order.Run, false, nil, now)
			number++
			reason := apworker.EndDone
			if o.To.ID == "bad" {
				reason, last = apworker.EndFailed, round
			}
			reports[o.To.ID].Ends = append(reports[o.To.ID].Ends, apworker.RunEnd{Number: number, Run: o.Order.Run, Reason: reason})
		}
		later := now.Add(50 * time.Millisecond)
		for id, report := range reports {
			s.ApplyReport(id, *report, later, later)
		}
	}
	assert.Equal(t, s.Backlog(), 0)
	assert.Assert(t, last < 5, "the bad worker got a run in round %d", last)
	for _, event := range s.TakeEvents() {
		assert.Assert(t, event.Name != "JobFailed", "%s failed because of a bad worker", event.Run.Task.Job)
	}
}

// The tasks on a worker never exceed its capacity, however many are waiting.
func TestCapacityIsNotExceeded(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 3500), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 10, Need: apjob.Resources{CPU: 1000, Memory: 30_000}}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	assert.Equal(t, len(starts(s.Orders(start))), 2, "the memory is enough for two tasks")
}

// A step starts only when all tasks of the steps before it are done, and a job completes when all tasks are done.
func TestStepsRunInOrder(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 9000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1}}, apjob.Step{Count: 1, After: []int{0}, Need: apjob.Resources{CPU: 1}}), 0, start)
	now := start
	number := uint64(0)
	for _, want := range [][]apjob.TaskID{{taskID(0, 0), taskID(0, 1)}, {taskID(1, 0)}} {
		s.Plan(now, now)
		storeAll(s)
		runs := starts(s.Orders(now))
		assert.Equal(t, len(runs), len(want))
		for i, run := range runs {
			s.OrderAnswered("w1", run, false, nil, now)
			now = now.Add(100 * time.Millisecond)
			number++
			s.ApplyReport("w1", apworker.Report{Clock: time.Second, Ends: []apworker.RunEnd{{Number: number, Run: run, Reason: apworker.EndDone}}, Running: nil}, start, now)
			s.Plan(now, now)
			if i < len(runs)-1 {
				assert.Equal(t, len(starts(s.Orders(now))), 0)
			}
		}
	}
	record := storeAll(s)[jobID]
	assert.Equal(t, record.Progress.State, apjob.Completed)
	assert.Assert(t, record.Retired)
}

// The end of a run is acknowledged to the worker only after it is stored.
func TestRunEndsAreAcknowledgedAfterStoring(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 9000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 1}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	run := starts(s.Orders(start))[0]
	s.OrderAnswered("w1", run, false, nil, start)
	now := start.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 2 * time.Second, Ends: []apworker.RunEnd{{Number: 7, Run: run, Reason: apworker.EndDone}}}, now, now)
	order, _ := s.Poll("w1", now)
	assert.Equal(t, order.AckedEnd, uint64(6))
	storeAll(s)
	order, _ = s.Poll("w1", now)
	assert.Equal(t, order.AckedEnd, uint64(7))
}

// A long-running task that fails on the only worker with room for it restarts there.
func TestLongRunningTaskRestartsOnOnlyWorker(t *testing.T) {
	s := apscheduler.New(1)
	for _, id := range []apjob.WorkerID{"w1", "w2"} {
		s.Register(workerInfo(id, 4000), start)
		s.ApplyReport(id, apworker.Report{Clock: time.Second}, start, start)
	}
	s.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1000}, LongRunning: true, MaxPerWorker: 1}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	var failed apjob.RunKey
	for _, order := range s.Orders(start) {
		o, ok := order.(apscheduler.Start)
		assert.Assert(t, ok)
		s.OrderAnswered(o.To.ID, o.Order.Run, false, nil, start)
		if o.To.ID == "w1" {
			failed = o.Order.Run
		}
	}
	now := start.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 2 * time.Second, Ends: []apworker.RunEnd{{Number: 1, Run: failed, Reason: apworker.EndFailed}}}, now, now)
	s.Plan(now, now)
	storeAll(s)
	assert.DeepEqual(t, starts(s.Orders(now)), []apjob.RunKey{{Task: failed.Task, Run: 2}})
}
