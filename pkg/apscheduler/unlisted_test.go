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

// incompleteReport returns a report of 500 ends that lacks number 501.
func incompleteReport(clock time.Duration) apworker.Report {
	report := apworker.Report{Clock: clock, StartedAt: start, EndsIncomplete: true}
	for n := range 500 {
		other := apjob.RunKey{Task: apjob.TaskID{Job: "00000000000000cc", Index: n}, Run: 1}
		report.Ends = append(report.Ends, apworker.RunEnd{Number: uint64(n + 1), Run: other, Reason: apworker.EndStopped})
	}
	return report
}

// restoredTask returns a new owner of a job whose only task has run 1 on w1; w2 is free.
func restoredTask() (*apscheduler.Shard, apjob.RunKey) {
	s := apscheduler.New(2)
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{{Run: 1, Worker: "w1"}}}}}}
	s.RestoreJob(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), progress, 0, start)
	s.Register(workerInfo("w1", 2000), start)
	s.Register(workerInfo("w2", 1000), start)
	s.ApplyReport("w2", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	return s, apjob.RunKey{Task: taskID(0, 0), Run: 1}
}

// startsAfterPlan plans, stores the result and returns the runs that are started.
func startsAfterPlan(s *apscheduler.Shard, now time.Time) []apjob.RunKey {
	s.Plan(now, now)
	storeAll(s)
	return starts(s.Orders(now.Add(time.Millisecond)))
}

// assertCompletedByEnd applies the report with the end 501 and checks that it completes the job.
func assertCompletedByEnd(t *testing.T, s *apscheduler.Shard, run apjob.RunKey, now time.Time) {
	t.Helper()
	report := apworker.Report{Clock: 3 * time.Second, StartedAt: start}
	report.Ends = []apworker.RunEnd{{Number: 501, Run: run, Reason: apworker.EndDone}}
	s.ApplyReport("w1", report, now, now)
	s.Plan(now, now)
	assert.Equal(t, storeAll(s)[jobID].Progress.State, apjob.Completed)
}

func TestTaskWhoseEndIsNotListedYetDoesNotRunAgain(t *testing.T) {
	s := apscheduler.New(1)
	run := runFirstTask(t, s, 1)
	s.Register(workerInfo("w2", 1000), start)
	later := start.Add(time.Second)
	s.ApplyReport("w1", incompleteReport(2*time.Second), later, later)
	s.ApplyReport("w2", apworker.Report{Clock: 2 * time.Second, StartedAt: start}, later, later)
	assert.Equal(t, len(startsAfterPlan(s, later)), 0, "%v is done, and its task starts again", run)
	assertCompletedByEnd(t, s, run, later.Add(time.Second))
}

func TestNewOwnerDoesNotRestartTaskWhoseEndIsNotListedYet(t *testing.T) {
	s, run := restoredTask()
	later := start.Add(time.Second)
	s.ApplyReport("w1", incompleteReport(2*time.Second), later, later)
	s.ApplyReport("w2", apworker.Report{Clock: 2 * time.Second, StartedAt: start}, later, later)
	assert.Equal(t, len(startsAfterPlan(s, later)), 0, "%v is done, and its task starts again", run)
	assertCompletedByEnd(t, s, run, later.Add(time.Second))
}

func TestNewOwnerRestartsTaskMissingInFirstCompleteReport(t *testing.T) {
	s, run := restoredTask()
	later := start.Add(time.Second)
	s.ApplyReport("w1", incompleteReport(2*time.Second), later, later)
	startsAfterPlan(s, later)
	later = later.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 3 * time.Second, StartedAt: start}, later, later)
	s.ApplyReport("w2", apworker.Report{Clock: 3 * time.Second, StartedAt: start}, later, later)
	assert.DeepEqual(t, startsAfterPlan(s, later), []apjob.RunKey{{Task: run.Task, Run: 2}})
}

func TestStartUnderWayIsNotLostByFirstCompleteReport(t *testing.T) {
	s := apscheduler.New(2)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", incompleteReport(time.Second), start, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{{Task: taskID(0, 0), Run: 1}})
	s.TakeEvents()
	later := start.Add(10 * time.Millisecond)
	s.ApplyReport("w1", apworker.Report{Clock: 2 * time.Second, StartedAt: start}, later, later)
	assert.Assert(t, eventFields(s.TakeEvents(), "RunLost") == nil, "the start isn't answered yet")
}

// The start was unanswered, a report listed the run, and its end was lost.
func TestRunThatIsNoLongerListedAfterUnansweredStartRunsAgain(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 1000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{run})
	s.OrderAnswered("w1", run, false, apcode.Errorf(apcode.WorkerSilent, "no answer"), start)
	now := start.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 2 * time.Second, StartedAt: start, Running: []apworker.RunStatus{{Run: run}}}, now, now)
	now = now.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 3 * time.Second, StartedAt: start}, now, now)
	assert.DeepEqual(t, stops(s.Orders(now)), []apjob.RunKey{run})
	s.OrderAnswered("w1", run, true, nil, now)
	now = now.Add(time.Second)
	s.ApplyReport("w1", apworker.Report{Clock: 4 * time.Second, StartedAt: start}, now, now)
	run.Run++
	assert.DeepEqual(t, startsAfterPlan(s, now), []apjob.RunKey{run})
}

func TestReportedRunOfUnknownStepEndsWithoutPanic(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 4000), start)
	def := job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}})
	s.Submit(def, 0, start)
	ends := uint64(0)
	for _, task := range []apjob.TaskID{{Job: def.ID, Step: 99}, {Job: def.ID, Index: 99}, {Job: def.ID, Occurrence: 99}} {
		run := apjob.RunKey{Task: task, Run: 1}
		s.ApplyReport("w1", apworker.Report{Running: []apworker.RunStatus{{Run: run}}}, start, start)
		for _, reason := range []apworker.EndReason{apworker.EndDone, apworker.EndFailed} {
			ends++
			s.ApplyReport("w1", apworker.Report{Ends: []apworker.RunEnd{{Number: ends, Run: run, Reason: reason}}}, start, start)
		}
		s.Plan(start, start)
	}
	assert.Assert(t, s.HasJob(def.ID))
}
