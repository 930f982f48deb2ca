package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// callersWait is how long callers expect a task to wait for a worker that has room.
const callersWait = 3 * time.Second

// fillsWorker returns a job that fills one of a pool's workers with a label.
func fillsWorker(id apjob.ID, step apjob.Step) *apjob.Job {
	step.Count, step.Need.CPU, step.Estimate = 1, 4000, 25*time.Second
	return &apjob.Job{ID: id, Queue: "q", Steps: []apjob.Step{step}, Submitted: start}
}

// newPoolOfTwo returns a pool in which two workers only can run a step, which has a label or needs an accelerator.
func newPoolOfTwo(workers int, step apjob.Step) *pool {
	p := newPool(workers, apscheduler.Queue{MaxAttempts: 9})
	for n := range 2 {
		if step.Label != "" {
			p.infos[n].Labels = []string{step.Label, "r1"}
		}
		p.infos[n].Capacity.GPU = 8
	}
	return p
}

// quarantineOne fills one of the two workers that can run a step, and lets four tasks fail on the other.
func (p *pool) quarantineOne(t *testing.T, step apjob.Step) apjob.WorkerID {
	t.Helper()
	long := fillsWorker("00000000000000aa", step)
	p.shard.Submit(long, 0, p.now)
	full := p.pass(0, long.ID)
	assert.Equal(t, len(full), 1)
	step.Count, step.Need.CPU = 4, 500
	p.shard.Submit(job(step), 0, p.now)
	failing := p.pass(0, jobID)
	assert.Equal(t, len(failing), 4)
	assert.Assert(t, failing[0] != full[0])
	p.end(jobID, apworker.EndFailed)
	return failing[0]
}

// Guards against a job that waits for the end of a quarantine while its worker is idle and the pool nearly so: the other workers that
// could run it are full for longer.
func TestQuarantinedWorkerGetsTaskWhileOthersAreFullForLong(t *testing.T) {
	const laterID apjob.ID = "00000000000000bb"
	for name, step := range map[string]apjob.Step{"label": {Label: "b"}, "accelerator": {Need: apjob.Resources{GPU: 1}}} {
		p := newPoolOfTwo(12, step)
		quarantined := p.quarantineOne(t, step)
		step.Count, step.Need.CPU = 1, 500
		p.shard.Submit(&apjob.Job{ID: laterID, Queue: "q", Steps: []apjob.Step{step}, Submitted: p.now}, 0, p.now)
		assert.Equal(t, len(p.pass(time.Second, laterID)), 0, "%s: a worker is quarantined for some time", name)
		assert.DeepEqual(t, p.pass(callersWait-time.Second, laterID), []apjob.WorkerID{quarantined})
		assert.Equal(t, len(p.runs[quarantined]), 5, "%s: the tasks that failed don't wait longer", name)
	}
}

// Guards against a service whose task stays away for as long as a quarantine because other workers are full of short work.
func TestQuarantinedWorkerGetsLongRunningTaskWhilePoolIsFull(t *testing.T) {
	step := apjob.Step{Label: "b"}
	p := newPoolOfTwo(2, step)
	quarantined := p.quarantineOne(t, step)
	p.shard.Cancel(jobID, p.now)
	p.serve(1, 500, 0)
	assert.DeepEqual(t, p.pass(callersWait, lastingID), []apjob.WorkerID{quarantined})
}

// Guards against a quarantine that a burst voids: in a contended pool, room comes soon.
func TestQuarantineHoldsWhilePoolIsContended(t *testing.T) {
	step := apjob.Step{Label: "b"}
	p := newPoolOfTwo(2, step)
	p.quarantineOne(t, step)
	assert.Equal(t, len(p.pass(4*time.Second, jobID)), 0)
	assert.Equal(t, len(p.pass(2*time.Second, jobID)), 4)
}

// Guards against a job that waits for the end of a reservation (10 s) for a long-running task.
func TestReservedWorkerGetsTaskWhileOthersAreFullForLong(t *testing.T) {
	p := newPoolOfTwo(12, apjob.Step{Label: "b"})
	long := fillsWorker("00000000000000aa", apjob.Step{Label: "b"})
	p.shard.Submit(long, 0, p.now)
	assert.Equal(t, len(p.pass(0, long.ID)), 1)
	small := &apjob.Job{ID: "00000000000000bb", Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 1000}, Label: "b"}}, Submitted: start}
	p.shard.Submit(small, 0, p.now)
	reserved := p.pass(0, small.ID)
	assert.Equal(t, len(reserved), 1)
	lasting := apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}, LongRunning: true, Label: "b"}
	p.shard.Submit(&apjob.Job{ID: lastingID, Queue: "lasting", Steps: []apjob.Step{lasting}, Submitted: p.now}, 0, p.now)
	p.pass(500*time.Millisecond, "")
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Label: "b"}), 0, p.now)
	assert.Equal(t, len(p.pass(time.Second, jobID)), 0, "the worker is reserved")
	assert.DeepEqual(t, p.pass(callersWait-time.Second, jobID), reserved)
}
