package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// lastingStep returns a step of long-running tasks, of which a worker of workerInfo(id, 1000) has room for one.
func lastingStep(tasks int) apjob.Step {
	return apjob.Step{Count: tasks, Need: apjob.Resources{CPU: 1000}, LongRunning: true}
}

// runLasting submits a job of one long-running task, which w1 starts.
func runLasting(t *testing.T, s *apscheduler.Shard) apjob.RunKey {
	t.Helper()
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	s.Submit(job(lastingStep(1), apjob.Step{Count: 1, After: []int{0}}), 0, start)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{run})
	s.OrderAnswered("w1", run, false, nil, start)
	return run
}

// Guards against a long-running task that stays away once a run of it has ended done.
func TestLongRunningTaskThatEndsDoneIsRestarted(t *testing.T) {
	s := apscheduler.New(1)
	run := runLasting(t, s)
	for n := range 6 {
		now := start.Add(time.Duration(n+1) * time.Second)
		end := apworker.RunEnd{Number: uint64(n + 1), Run: run, Reason: apworker.EndDone}
		s.ApplyReport("w1", apworker.Report{Clock: time.Duration(n+2) * time.Second, StartedAt: start, Ends: []apworker.RunEnd{end}}, now, now)
		assert.Equal(t, ackedEnd(t, s, now), uint64(n), "the end isn't stored")
		s.Plan(now, now)
		record := storeAll(s)[jobID]
		assert.Equal(t, record.Progress.State, apjob.Running)
		assert.Equal(t, ackedEnd(t, s, now), uint64(n+1))
		run.Run++
		assert.DeepEqual(t, starts(s.Orders(now)), []apjob.RunKey{run})
		s.OrderAnswered("w1", run, false, nil, now)
	}
}

func TestLongRunningGangThatEndsDoneIsRestarted(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 2000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	gang := lastingStep(2)
	gang.Gang = true
	s.Submit(job(gang), 0, start)
	runs := startsAfterPlan(s, start)
	assert.Equal(t, len(runs), 2)
	report := apworker.Report{Clock: 2 * time.Second, StartedAt: start}
	for n, run := range runs {
		s.OrderAnswered("w1", run, false, nil, start)
		report.Ends = append(report.Ends, apworker.RunEnd{Number: uint64(n + 1), Run: run, Reason: apworker.EndDone})
	}
	later := start.Add(time.Second)
	s.ApplyReport("w1", report, later, later)
	restarted := startsAfterPlan(s, later)
	assert.Equal(t, len(restarted), 2)
	for _, run := range restarted {
		assert.Equal(t, run.Run, 2)
	}
	s.ApplyReport("w1", report, later, later)
	assert.Equal(t, len(startsAfterPlan(s, later)), 0, "the ends were reported twice")
	assert.Equal(t, s.Backlog(), 1)
}

// The worker is forgotten between the two reports, as its lease lapses.
func TestLongRunningTaskWhoseEndIsReportedTwiceIsRestartedOnce(t *testing.T) {
	s := apscheduler.New(1)
	run := runLasting(t, s)
	later := start.Add(time.Second)
	report := doneReport(start, run)
	s.ApplyReport("w1", report, later, later)
	storeAll(s)
	s.ApplyReport("w1", report, later, later)
	s.Unregister("w1")
	later = later.Add(leaseOver)
	s.Plan(later, later)
	s.Register(workerInfo("w1", 1000), later)
	s.ApplyReport("w1", report, later, later)
	run.Run++
	assert.DeepEqual(t, startsAfterPlan(s, later), []apjob.RunKey{run})
	s.ApplyReport("w1", report, later, later)
	assert.Equal(t, len(startsAfterPlan(s, later)), 0)
}

func TestLongRunningTaskThatEarlierBuildStoredAsDoneIsRestarted(t *testing.T) {
	s := apscheduler.New(2)
	s.Register(workerInfo("w1", 9000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{
		{Steps: [][]apjob.Task{{{Done: true, Run: 3}}, {{Done: true, Run: 1}}, {{}}}},
	}}
	finite := apjob.Step{Count: 1}
	s.RestoreJob(job(lastingStep(1), finite, apjob.Step{Count: 1, After: []int{0, 1}}), progress, 0, start)
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{{Task: taskID(0, 0), Run: 4}})
}

// How long a long-running task lasted says nothing about the other tasks of its queue or the worker.
func TestDurationOfLongRunningTaskIsNoEstimate(t *testing.T) {
	s := apscheduler.New(1)
	run := runLasting(t, s)
	later := start.Add(time.Hour)
	s.ApplyReport("w1", doneReport(start, run), later, later)
	s.Cancel(jobID, later)
	s.Submit(&apjob.Job{ID: "00000000000000bb", Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 2000}}}, Submitted: later}, 0, later)
	s.Plan(later, later)
	assert.Equal(t, s.PoolLoad(later).QueuedWork, int64(0))
}

// Guards against a long-running task that ends at once, done or failed, being restarted in a loop that fills the store's writes.
func TestLongRunningTaskThatEndsAtOnceIsRestartedWithDelays(t *testing.T) {
	// After four failures in a row, the worker is quarantined besides.
	for reason, ends := range map[apworker.EndReason]int{apworker.EndDone: 9, apworker.EndFailed: 3} {
		s := apscheduler.New(1)
		run := runLasting(t, s)
		report := apworker.Report{Clock: time.Second, StartedAt: start}
		var gaps []time.Duration
		restartedAt := start
		now := start
		for number := 1; number <= ends; number++ {
			now = now.Add(10 * time.Millisecond)
			report.Clock += 10 * time.Millisecond
			report.Ends = []apworker.RunEnd{{Number: uint64(number), Run: run, Reason: reason}}
			s.ApplyReport("w1", report, now, now)
			run.Run++
			for len(startsAfterPlan(s, now)) == 0 {
				assert.Assert(t, s.PoolLoad(now).Unplaced == 0, "the pool grows for a task that is only delayed")
				now = now.Add(10 * time.Millisecond)
				report.Clock += 10 * time.Millisecond
				s.ApplyReport("w1", report, now, now)
			}
			s.OrderAnswered("w1", run, false, nil, now)
			gaps = append(gaps, now.Sub(restartedAt))
			restartedAt = now
		}
		const ms = time.Millisecond
		want := []time.Duration{10 * ms, 110 * ms, 210 * ms, 410 * ms, 810 * ms, 1610 * ms, 2010 * ms, 2010 * ms, 2010 * ms}
		assert.DeepEqual(t, gaps, want[:ends])

		now = now.Add(time.Second)
		report.Clock += time.Second
		report.Ends = []apworker.RunEnd{{Number: uint64(ends + 1), Run: run, Reason: apworker.EndDone}}
		s.ApplyReport("w1", report, now, now)
		run.Run++
		// It was up for a second.
		assert.DeepEqual(t, startsAfterPlan(s, now), []apjob.RunKey{run})
	}
}

// Guards against a gang of which some members start while another is delayed, and against workers reserved for one that is. Another member
// reports its end first each time, and the end of each counts once.
func TestLongRunningGangIsDelayedAsAWhole(t *testing.T) {
	for _, reason := range []apworker.EndReason{apworker.EndDone, apworker.EndFailed} {
		s := apscheduler.New(1)
		s.Register(workerInfo("w1", 2000), start)
		report := apworker.Report{Clock: time.Second, StartedAt: start}
		s.ApplyReport("w1", report, start, start)
		gang := lastingStep(2)
		gang.Gang = true
		s.Submit(job(gang), 0, start)
		assert.Equal(t, len(startsAfterPlan(s, start)), 2)
		now, number := start, uint64(0)
		end := func(run int, members ...int) {
			now = now.Add(10 * time.Millisecond)
			report.Clock += 10 * time.Millisecond
			report.Ends = nil
			for _, member := range members {
				number++
				report.Ends = append(report.Ends, apworker.RunEnd{Number: number, Run: apjob.RunKey{Task: taskID(0, member), Run: run}, Reason: reason})
			}
			s.ApplyReport("w1", report, now, now)
		}
		end(1, 0, 1)
		assert.Equal(t, len(startsAfterPlan(s, now)), 2, "the first end has no delay")
		end(2, 1, 0)
		assert.Equal(t, len(startsAfterPlan(s, now)), 0, "delayed")
		if reason == apworker.EndFailed {
			// The worker is quarantined after four failures.
			continue
		}
		now = now.Add(100 * time.Millisecond)
		report.Clock += 100 * time.Millisecond
		s.ApplyReport("w1", report, now, now)
		assert.Equal(t, len(startsAfterPlan(s, now)), 2)
		end(3, 0, 1)
		other := &apjob.Job{ID: "00000000000000bb", Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}}}, Submitted: now}
		s.Submit(other, 0, now)
		assert.DeepEqual(t, startsAfterPlan(s, now), []apjob.RunKey{{Task: apjob.TaskID{Job: other.ID}, Run: 1}})
	}
}

// Guards against a service that stays away for the delay of its restart and then for the time in which a quarantined worker is withheld.
func TestRestartDelayCountsAsWaitingForQuarantinedWorker(t *testing.T) {
	p := newPool(1, apscheduler.Queue{MaxAttempts: 9})
	p.serve(1, 500, 0)
	for range 8 {
		for n := 0; n < 40 && len(p.pass(0, lastingID)) == 0; n++ {
		}
		p.end(lastingID, apworker.EndDone)
	}
	assert.Equal(t, len(p.pass(0, lastingID)), 0, "the restart is delayed")
	p.shard.Submit(job(apjob.Step{Count: 4, Need: apjob.Resources{CPU: 500}}), 0, p.now)
	assert.Equal(t, len(p.pass(0, jobID)), 4)
	p.end(jobID, apworker.EndFailed)
	assert.Equal(t, len(p.pass(2*time.Second, lastingID)), 1)
}
