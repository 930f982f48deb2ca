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

// longRunningPair starts a step of two long-running tasks, at most one per worker, on three workers. It returns
// the run on each worker.
func longRunningPair(t *testing.T) (*apscheduler.Shard, map[apjob.WorkerID]apjob.RunKey) {
	t.Helper()
	s := apscheduler.New(1)
	for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
		s.Register(workerInfo(id, 4000), start)
		s.ApplyReport(id, apworker.Report{Clock: time.Second}, start, start)
	}
	s.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}), 0, start)
	s.Plan(start, start)
	runs := make(map[apjob.WorkerID]apjob.RunKey)
	for run, id := range startPlanned(s) {
		runs[id] = run
	}
	assert.Equal(t, len(runs), 2)
	return s, runs
}

// reportReady reports a long-running task as up and working.
func reportReady(s *apscheduler.Shard, id apjob.WorkerID, run apjob.RunKey, now time.Time) {
	s.ApplyReport(id, apworker.Report{Clock: time.Second + now.Sub(start), Running: []apworker.RunStatus{{Run: run, Percent: 100}}}, now, now)
}

// A task of a cordoned worker is not stopped while another task of its step may be unavailable.
func TestEvacuationWaitsForUnavailableTasks(t *testing.T) {
	s, runs := longRunningPair(t)
	var ids []apjob.WorkerID
	for id := range runs {
		ids = append(ids, id)
	}
	now := start.Add(time.Second)
	for id, run := range runs {
		reportReady(s, id, run, now)
	}
	s.ApplyReport("w3", apworker.Report{Clock: 2 * time.Second}, now, now)
	// The other task's worker stops responding; the shard can't tell yet whether it is down.
	now = now.Add(2 * time.Second)
	reportReady(s, ids[0], runs[ids[0]], now)
	for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
		if runs[id].Run == 0 {
			s.ApplyReport(id, apworker.Report{Clock: 4 * time.Second}, now, now)
		}
	}
	s.SetCordoned(map[apjob.WorkerID]bool{ids[0]: true})
	s.Plan(now, now)
	storeAll(s)
	assert.Equal(t, len(stops(s.Orders(now))), 0, "a task was stopped while another was unavailable")

	reportReady(s, ids[1], runs[ids[1]], now)
	s.Plan(now, now)
	assert.DeepEqual(t, stops(s.Orders(now)), []apjob.RunKey{runs[ids[0]]})
	assert.Assert(t, !s.WorkerEmpty(ids[0]))
}

// The task on a draining worker is about to become unavailable, so a task of the same step on a healthy worker
// must not be stopped at the same time, regardless of the order in which workers are visited.
func TestEvacuationCountsTasksOnDrainingWorkers(t *testing.T) {
	for range 20 {
		s, runs := longRunningPair(t)
		now := start.Add(2 * time.Second)
		var ids []apjob.WorkerID
		for id, run := range runs {
			ids = append(ids, id)
			reportReady(s, id, run, now)
		}
		for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
			if runs[id].Run == 0 {
				s.ApplyReport(id, apworker.Report{Clock: 2 * time.Second}, now, now)
			}
		}
		s.Register(workerInfo("w4", 4000), now)
		s.ApplyReport("w4", apworker.Report{Clock: time.Second}, now, now)
		draining := workerInfo(ids[1], 4000)
		draining.Draining = true
		s.Register(draining, now)
		s.SetCordoned(map[apjob.WorkerID]bool{ids[0]: true})
		s.Plan(now, now)
		assert.DeepEqual(t, stops(s.Orders(now)), []apjob.RunKey{runs[ids[1]]})
	}
}

// A run that the previous owner is stopping looks like one that keeps working. A new owner must not stop another
// task of the step until the end of such a run must have been reported.
func TestNewOwnerWaitsForPredecessorStops(t *testing.T) {
	s, runs := longRunningPair(t)
	for _, passed := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		now := start.Add(passed)
		for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
			if run, ok := runs[id]; ok {
				reportReady(s, id, run, now)
				s.SetCordoned(map[apjob.WorkerID]bool{id: true})
				continue
			}
			s.ApplyReport(id, apworker.Report{Clock: time.Second + passed}, now, now)
		}
		s.Plan(now, now)
		want := 0
		if passed > time.Second {
			want = 1
		}
		assert.Equal(t, len(stops(s.Orders(now))), want)
	}
}

// During a burst there is no room for a task that must be moved, and smaller tasks take each piece of capacity
// that becomes free. The task must still be moved within the time in which a few of those tasks end.
func TestEvacuationCompletesDuringBurst(t *testing.T) {
	s := apscheduler.New(1)
	ids := []apjob.WorkerID{"w1", "w2"}
	for _, id := range ids {
		s.Register(workerInfo(id, 8000), start)
		s.ApplyReport(id, apworker.Report{Clock: time.Second}, start, start)
	}
	longRunning := apjob.RunKey{Task: apjob.TaskID{Job: jobID}, Run: 1}
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}, LongRunning: true, MaxUnavailable: 1}), 0, start)
	running := map[apjob.WorkerID]map[apjob.RunKey]time.Time{"w1": {}, "w2": {}}
	lastEnd := map[apjob.WorkerID]uint64{}
	var current apjob.WorkerID
	for passed := time.Duration(0); passed < 6*time.Second; passed += 100 * time.Millisecond {
		now := start.Add(passed)
		s.Submit(&apjob.Job{
			ID: apjob.ID(fmt.Sprintf("%016x", passed)), Queue: "q", Submitted: now,
			Steps: []apjob.Step{{Count: 4, Need: apjob.Resources{CPU: 2000}, Estimate: time.Second}},
		}, 0, now)
		for _, id := range ids {
			report := apworker.Report{Clock: time.Second + passed}
			for run, until := range running[id] {
				if now.Before(until) {
					report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 100})
					continue
				}
				lastEnd[id]++
				report.Ends = append(report.Ends, apworker.RunEnd{Number: lastEnd[id], Run: run, Reason: apworker.EndDone})
				delete(running[id], run)
			}
			s.ApplyReport(id, report, now, now)
		}
		if passed == 2*time.Second {
			s.SetCordoned(map[apjob.WorkerID]bool{current: true})
		}
		s.Plan(now, now)
		storeAll(s)
		for _, order := range s.Orders(now) {
			switch o := order.(type) {
			case apscheduler.Start:
				if o.Order.Run == longRunning {
					current = o.To.ID
				}
				// The ends are staggered so that room for at most one task is free at a time.
				running[o.To.ID][o.Order.Run] = now.Add(time.Second + time.Duration(len(running[o.To.ID]))*200*time.Millisecond)
				if o.Order.Run.Task.Job == jobID {
					running[o.To.ID][o.Order.Run] = now.Add(time.Hour)
				}
				s.OrderAnswered(o.To.ID, o.Order.Run, false, nil, now)
			case apscheduler.Stop:
				assert.Equal(t, o.Order.Run, longRunning)
				return
			}
		}
	}
	t.Fatal("the long-running task was not moved within 4 s of the cordon")
}

// An evacuated task is not placed on a worker that will be evacuated soon.
func TestEvacuatedTaskAvoidsWorkersDueForEvacuation(t *testing.T) {
	s, runs := longRunningPair(t)
	now := start.Add(2 * time.Second)
	idle := apjob.WorkerID("")
	for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
		if run, ok := runs[id]; ok {
			reportReady(s, id, run, now)
			continue
		}
		idle = id
		s.ApplyReport(id, apworker.Report{Clock: 3 * time.Second}, now, now)
	}
	s.Register(workerInfo("w0", 4000), now)
	s.ApplyReport("w0", apworker.Report{Clock: time.Second}, now, now)
	s.Register(workerInfo("w9", 4000), now)
	s.ApplyReport("w9", apworker.Report{Clock: time.Second}, now, now)
	s.SetAvoided([]apjob.WorkerID{idle, "w0"})
	var current apjob.WorkerID
	for id := range runs {
		current = id
	}
	s.SetCordoned(map[apjob.WorkerID]bool{current: true})
	s.Plan(now, now)
	storeAll(s)
	assert.DeepEqual(t, stops(s.Orders(now)), []apjob.RunKey{runs[current]})
	s.ApplyReport(current, apworker.Report{Clock: 3 * time.Second, Ends: []apworker.RunEnd{{Number: 1, Run: runs[current], Reason: apworker.EndStopped}}}, now, now)
	s.Plan(now, now)
	storeAll(s)
	for _, order := range s.Orders(now) {
		if o, ok := order.(apscheduler.Start); ok {
			assert.Equal(t, o.To.ID, apjob.WorkerID("w9"))
			return
		}
	}
	t.Fatal("the task was not started again")
}

// A worker is reserved for a long-running task only if enough of it can become free: not the worker with the most
// idle CPU if another long-running task holds its memory permanently.
func TestReservesWorkerWhoseResourcesCanBecomeFree(t *testing.T) {
	s := apscheduler.New(1)
	submit := func(id apjob.ID, step apjob.Step) {
		step.Count = 1
		s.Submit(&apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{step}, Submitted: start}, 0, start)
	}
	place := func() map[apjob.ID]apjob.WorkerID {
		s.Plan(start, start)
		placed := make(map[apjob.ID]apjob.WorkerID)
		for run, id := range startPlanned(s) {
			placed[run.Task.Job] = id
		}
		return placed
	}
	s.Register(workerInfo("full", 9000), start)
	s.ApplyReport("full", apworker.Report{Clock: time.Second}, start, start)
	submit("00000000000000f1", apjob.Step{Need: apjob.Resources{CPU: 500, Memory: 60_000}, LongRunning: true})
	assert.Equal(t, place()["00000000000000f1"], apjob.WorkerID("full"))
	s.Register(workerInfo("other", 4000), start)
	s.ApplyReport("other", apworker.Report{Clock: time.Second}, start, start)
	submit("00000000000000f2", apjob.Step{Need: apjob.Resources{CPU: 3000, Memory: 9000}, Estimate: time.Second})
	assert.Equal(t, place()["00000000000000f2"], apjob.WorkerID("other"))
	submit(jobID, apjob.Step{Need: apjob.Resources{CPU: 4000, Memory: 20_000}, LongRunning: true})
	submit("00000000000000f3", apjob.Step{Need: apjob.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second})
	placed := place()
	assert.Equal(t, placed[jobID], apjob.WorkerID(""), "no worker has room yet")
	assert.Equal(t, placed["00000000000000f3"], apjob.WorkerID("full"), "the other worker is reserved")
}
