package apjob_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

func validJob() apjob.Job {
	return apjob.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []apjob.Step{{Count: 2}, {Count: 1, After: []int{0}}}, Submitted: time.Unix(1, 0).UTC()}
}

func TestProgressRoundTrips(t *testing.T) {
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{
		Number: 1, Steps: [][]apjob.Task{{{Run: 2, Worker: "i-1", Failed: 1, Checkpoint: "c"}, {Done: true, Run: 1}}, {{}}},
	}}, Finished: apjob.NumberSet{{First: 0, Last: 0}}}
	var got apjob.Progress
	assert.NilError(t, apfleet.Decode(apfleet.Encode(progress), &got))
	assert.DeepEqual(t, got.Occurrences[0].Steps, progress.Occurrences[0].Steps)
	assert.DeepEqual(t, got.Finished, progress.Finished)
	assert.Equal(t, got.State, apjob.Running)
}

func TestInvalidJobsReturnBadJob(t *testing.T) {
	valid := validJob()
	assert.NilError(t, valid.Check())
	for name, invalidate := range map[string]func(*apjob.Job){
		"short id":          func(j *apjob.Job) { j.ID = "5c0e" },
		"id not hex":        func(j *apjob.Job) { j.ID = "zzzzzzzzzzzzzzzz" },
		"no steps":          func(j *apjob.Job) { j.Steps = nil },
		"no tasks":          func(j *apjob.Job) { j.Steps[0].Count = 0 },
		"too many tasks":    func(j *apjob.Job) { j.Steps[0].Count = apjob.MaxTasks; j.Steps[1].Count = 1 },
		"after itself":      func(j *apjob.Job) { j.Steps[1].After = []int{1} },
		"after a later one": func(j *apjob.Job) { j.Steps[0].After = []int{1} },
		"negative need":     func(j *apjob.Job) { j.Steps[0].Need.CPU = -1 },
		"oversize spec":     func(j *apjob.Job) { j.Spec = string(make([]byte, apjob.MaxSpecBytes+1)) },
		"negative repeat":   func(j *apjob.Job) { j.Repeat = -1 },
	} {
		job := validJob()
		job.Steps = append([]apjob.Step(nil), valid.Steps...)
		invalidate(&job)
		assert.Equal(t, apcode.Of(job.Check()), apcode.BadJob, name)
	}
}

func TestTaskIDsRoundTrip(t *testing.T) {
	id := apjob.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1, Index: 17}
	got, err := apjob.ParseTaskID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, got, id)
	for _, bad := range []string{"", "a.b.c.d", "a.1.2", "a.1.2.-3"} {
		_, err := apjob.ParseTaskID(bad)
		assert.Equal(t, apcode.Of(err), apcode.BadMessage, bad)
	}
}
