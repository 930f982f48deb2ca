package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// ofKind returns a registration of w1 with a label, whose process started at a time.
func ofKind(label string, cpu int64, startedAt time.Time) apworker.Info {
	info := workerInfo("w1", cpu)
	info.Labels, info.StartedAt = []string{label, "r1"}, startedAt
	return info
}

func reportOf(startedAt time.Time, clock time.Duration, running ...apworker.RunStatus) apworker.Report {
	return apworker.Report{Clock: clock, StartedAt: startedAt, Running: running}
}

func TestWorkerRebornAsAnotherKindGetsNoTaskByItsEarlierRegistration(t *testing.T) {
	for name, c := range map[string]struct {
		step        apjob.Step
		newOwner    bool
		sinceBefore time.Duration
	}{
		"label":                 {step: apjob.Step{Count: 1, Label: "b"}, sinceBefore: time.Second},
		"capacity":              {step: apjob.Step{Count: 1, Need: apjob.Resources{CPU: 8000}}, sinceBefore: time.Second},
		"long-running":          {step: apjob.Step{Count: 1, Label: "b", LongRunning: true}, sinceBefore: time.Second},
		"clock went back":       {step: apjob.Step{Count: 1, Label: "b"}, sinceBefore: -time.Minute},
		"known by first report": {step: apjob.Step{Count: 1, Label: "b"}, sinceBefore: time.Second, newOwner: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := apscheduler.New(1)
			s.Register(ofKind("b", 8000, start), start)
			if !c.newOwner {
				s.ApplyReport("w1", reportOf(start, time.Second), start, start)
			}
			reborn, now := start.Add(c.sinceBefore), start.Add(time.Second)
			s.ApplyReport("w1", reportOf(reborn, 0), now, now)
			s.Submit(job(c.step, apjob.Step{Count: 1}), 0, now)
			assert.Equal(t, len(startsAfterPlan(s, now)), 0, "the worker's kind isn't known")
			assert.Equal(t, len(s.PoolLoad(now).ReservedCPU), 0)

			s.Register(ofKind("b", 8000, start), now)
			s.ApplyReport("w1", reportOf(reborn, 10*time.Millisecond), now, now)
			assert.Equal(t, len(startsAfterPlan(s, now)), 0, "a late write of the earlier registration")

			s.Register(ofKind("a", 4000, reborn), now)
			s.ApplyReport("w1", reportOf(reborn, 20*time.Millisecond), now, now)
			storeAll(s)
			assert.DeepEqual(t, startsAfterPlan(s, now), []apjob.RunKey{{Task: taskID(1, 0), Run: 1}})
		})
	}
}

// The runs that the next process lists are its own, whatever its registration says.
func TestRunsOfWorkerWithOutdatedRegistrationAreKept(t *testing.T) {
	s := apscheduler.New(2)
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{{Run: 3, Worker: "w1"}}}}}}
	s.RestoreJob(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), progress, 0, start)
	s.Register(ofKind("b", 8000, start.Add(-time.Minute)), start)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 3}
	s.ApplyReport("w1", reportOf(start, time.Second, apworker.RunStatus{Run: run}), start, start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 0)
	assert.Equal(t, len(stops(s.Orders(start))), 0)
	assert.Assert(t, s.WorkerHasRuns("w1"))
	assert.Equal(t, len(s.WorkersToPoll()), 1)
}

func TestUnsentStartIsNotSentToWorkerThatRegistersAsAnotherKind(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(ofKind("b", 8000, start), start)
	s.ApplyReport("w1", reportOf(start, time.Second), start, start)
	s.Submit(job(apjob.Step{Count: 1, Label: "b"}), 0, start)
	s.Plan(start, start)
	reborn := start.Add(time.Second)
	s.Register(ofKind("a", 8000, reborn), reborn)
	storeAll(s)
	assert.Equal(t, len(starts(s.Orders(reborn))), 0)
	s.ApplyReport("w1", reportOf(reborn, 0), reborn, reborn)
	assert.Equal(t, len(startsAfterPlan(s, reborn)), 0)
	s.Submit(&apjob.Job{ID: "00000000000000aa", Queue: "q", Steps: []apjob.Step{{Count: 1, Label: "a"}}, Submitted: start}, 0, reborn)
	assert.Equal(t, len(startsAfterPlan(s, reborn)), 1)
}

func TestWorkerWhoseRegistrationHasNoStartTimeGetsTasksAfterRestart(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(ofKind("a", 8000, time.Time{}), start)
	s.ApplyReport("w1", reportOf(start, time.Second), start, start)
	reborn := start.Add(time.Second)
	s.ApplyReport("w1", reportOf(reborn, 0), reborn, reborn)
	s.Submit(job(apjob.Step{Count: 1, Label: "a"}), 0, reborn)
	assert.Equal(t, len(startsAfterPlan(s, reborn)), 1)
}
