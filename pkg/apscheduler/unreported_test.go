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

// Guards against a second run while a worker that never answers the new owner still runs the first: another process of the
// worker may have carried out the earlier owner's last start, and taken its deadline for its longest lease. A long-running task
// waits only for the lease that was granted.
func TestRunOnUnreportedWorkerIsKeptForItsLongestLease(t *testing.T) {
	for name, c := range map[string]struct {
		lasting bool
		longest time.Duration
		want    time.Duration
	}{
		"finite":                          {false, 10 * time.Second, 12 * time.Second},
		"long-running":                    {true, 10 * time.Second, 6 * time.Second},
		"longest lease shorter than ours": {false, 2 * time.Second, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := apscheduler.New(2, apscheduler.WithOptions(func(o *apscheduler.Options) { o.LongestLease = c.longest }))
			progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{{Run: 1, Worker: "w1"}}}}}}
			s.RestoreJob(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: c.lasting}), progress, 0, start)
			s.Register(workerInfo("w1", 1000), start)
			s.Register(workerInfo("w2", 1000), start)
			for passed := time.Duration(0); ; passed += time.Second {
				now := start.Add(passed)
				s.ApplyReport("w2", apworker.Report{Clock: time.Hour + passed, StartedAt: start}, now, now)
				if again := startsAfterPlan(s, now); len(again) > 0 {
					assert.DeepEqual(t, again, []apjob.RunKey{{Task: taskID(0, 0), Run: 2}})
					assert.Equal(t, passed, c.want)
					return
				}
				assert.Assert(t, passed < time.Minute, "the task never runs again")
			}
		})
	}
}

// Guards against a second run while the first goes on: a start wasn't answered, or one of two copies wasn't, and may have been carried
// out by another process of the worker under its longest lease, counted from the last copy. A long-running task waits for 6.6 s of it
// at most.
func TestRunWithUnansweredStartIsKeptForItsLongestLease(t *testing.T) {
	silent := apcode.Errorf(apcode.WorkerSilent, "no answer")
	for name, c := range map[string]struct {
		lasting bool
		answers []error
		listed  bool
		want    time.Duration
	}{
		"answered":                 {answers: []error{nil}, want: 6 * time.Second},
		"not answered":             {answers: []error{silent}, want: 12 * time.Second},
		"second copy answered":     {answers: []error{silent, nil}, want: 12 * time.Second},
		"not answered, but listed": {answers: []error{silent}, listed: true, want: 6 * time.Second},
		"long-running":             {lasting: true, answers: []error{silent}, want: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := apscheduler.New(2, apscheduler.WithOptions(func(o *apscheduler.Options) { o.LongestLease = 10 * time.Second }))
			s.Plan(start.Add(-time.Minute), start.Add(-time.Minute))
			s.Register(workerInfo("w1", 1000), start)
			idle := apworker.Report{Clock: time.Hour, StartedAt: start}
			s.ApplyReport("w1", idle, start, start)
			s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: c.lasting}), 0, start)
			run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
			s.Plan(start, start)
			storeAll(s)
			for n, answer := range c.answers {
				at := start.Add(time.Duration(n) * 400 * time.Millisecond)
				assert.DeepEqual(t, starts(s.Orders(at)), []apjob.RunKey{run})
				s.OrderAnswered("w1", run, false, answer, at)
			}
			if c.listed {
				s.ApplyReport("w1", apworker.Report{Clock: time.Hour, StartedAt: start, Running: []apworker.RunStatus{{Run: run}}}, start, start)
			}
			s.Register(workerInfo("w2", 1000), start)
			for passed := time.Second; ; passed += time.Second {
				now := start.Add(passed)
				s.ApplyReport("w2", idle, now, now)
				if again := startsAfterPlan(s, now); len(again) > 0 && again[0].Run == 2 {
					assert.Equal(t, passed, c.want)
					return
				}
				assert.Assert(t, passed < time.Minute, "the task never runs again")
			}
		})
	}
}
