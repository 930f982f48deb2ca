package apscheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// A job with assigned tasks counts as waiting until a worker confirms a start, as the worker may be gone.
// Otherwise callers would be told that no job is waiting while assigned jobs have not started.
func TestPlacedJobWaitsUntilItsStartIsConfirmed(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 4000), start)
	s.ApplyReport("w1", apworker.Report{}, start, start)
	s.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1000}}), 0, start)
	s.Plan(start, start)
	storeAll(s)
	runs := starts(s.Orders(start))
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, s.WaitingJobs()["q"], 1)
	s.OrderAnswered("w1", runs[0], false, nil, start)
	assert.Equal(t, s.WaitingJobs()["q"], 0)
}

// A new owner counts a job as waiting unless a run of one of its tasks has ended or a worker reports one.
func TestNewOwnerCountsWaitingJobs(t *testing.T) {
	steps := []apjob.Step{{Count: 2, Need: apjob.Resources{CPU: 1000}}}
	for name, tc := range map[string]struct {
		task apjob.Task
		want int
	}{
		"placed": {apjob.Task{Run: 1, Worker: "w1"}, 1},
		"done":   {apjob.Task{Run: 1, Done: true}, 0},
		"failed": {apjob.Task{Run: 1, Failed: 1}, 0},
	} {
		s := apscheduler.New(2)
		progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{tc.task, {}}}}}}
		s.RestoreJob(job(steps...), progress, 0, start)
		assert.Equal(t, s.WaitingJobs()["q"], tc.want, name)
	}
}
