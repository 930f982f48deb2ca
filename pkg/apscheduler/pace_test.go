package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// pacedWorker runs a backfill task beside a serving task whose latency target is 100 ms.
type pacedWorker struct {
	shard             *apscheduler.Shard
	now               time.Time
	backfill, serving apjob.RunKey
}

func newPacedWorker(t *testing.T) *pacedWorker {
	t.Helper()
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 4000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	p := &pacedWorker{shard: s, now: start}
	p.serving = p.run(t, "00000000000000aa", apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond})
	p.now = p.now.Add(2 * time.Second)
	p.report(60, 0)
	p.now = p.now.Add(2 * time.Second)
	p.report(60, 0)
	p.backfill = p.run(t, "00000000000000bb", apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Backfill: true})
	return p
}

func (p *pacedWorker) run(t *testing.T, id apjob.ID, step apjob.Step) apjob.RunKey {
	t.Helper()
	p.shard.Submit(&apjob.Job{ID: id, Queue: "q", Submitted: start, Steps: []apjob.Step{step}}, 0, p.now)
	for range 3 {
		if started := startsAfterPlan(p.shard, p.now); len(started) == 1 {
			p.shard.OrderAnswered("w1", started[0], false, nil, p.now)
			return started[0]
		}
		p.now = p.now.Add(time.Second)
		p.report(60, 0)
	}
	t.Fatalf("job %s did not start", id)
	return apjob.RunKey{}
}

// report reports the latency of the serving task and the CPU that the backfill task uses, and returns the paces ordered.
func (p *pacedWorker) report(latency, usage float64) []int {
	running := []apworker.RunStatus{{Run: p.serving, Percent: 100, Usage: latency}}
	if p.backfill.Run > 0 {
		running = append(running, apworker.RunStatus{Run: p.backfill, Percent: 10, Usage: usage})
	}
	p.shard.ApplyReport("w1", apworker.Report{Clock: time.Second + p.now.Sub(start), Running: running}, p.now, p.now)
	p.shard.Plan(p.now, p.now)
	return pacePercents(p.shard.Orders(p.now))
}

// The latency stays between the thresholds without the backfill task, and reaches its target at more than a given pace.
func TestBackfillGoesOnBesideServingTaskThatIsNeverIdle(t *testing.T) {
	for own, harmless := range map[float64]int{50: 60, 70: 20, 79: 0} {
		p := newPacedWorker(t)
		percent, worked := 100, 0
		for range 600 {
			p.now = p.now.Add(100 * time.Millisecond)
			latency := own
			if percent > harmless {
				latency = 95
			}
			for _, ordered := range p.report(latency, float64(10*percent)) {
				percent = ordered
			}
			worked += percent
		}
		assert.Assert(t, worked > 0 && worked > 600*harmless/2, "latency %g: %d hundredths of 100 ms worked in a minute", own, worked)
	}
}

// The first order is lost, or an earlier one is carried out after it.
func TestPaceIsOrderedAgainUntilReportsShowIt(t *testing.T) {
	p := newPacedWorker(t)
	p.now = p.now.Add(time.Second)
	assert.DeepEqual(t, p.report(85, 900), []int{0})
	p.now = p.now.Add(time.Second)
	assert.Equal(t, len(p.report(85, 900)), 0, "the order may take that long")
	p.now = p.now.Add(time.Second)
	assert.DeepEqual(t, p.report(85, 900), []int{0})
	p.now = p.now.Add(time.Second)
	assert.DeepEqual(t, p.report(30, 0), []int{100})
	p.now = p.now.Add(2 * time.Second)
	assert.DeepEqual(t, p.report(30, 0), []int{100})
	p.now = p.now.Add(2 * time.Second)
	assert.Equal(t, len(p.report(30, 900)), 0)
}

func TestNewOwnerOrdersPaceOfBackfillThatEarlierOwnerPaused(t *testing.T) {
	s := apscheduler.New(2)
	def := job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Backfill: true})
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{{Run: 1, Worker: "w1"}}}}}}
	s.RestoreJob(def, progress, 0, start)
	s.Register(workerInfo("w1", 4000), start)
	run := apjob.RunKey{Task: taskID(0, 0), Run: 1}
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, Running: []apworker.RunStatus{{Run: run, Percent: 10}}}, start, start)
	s.Plan(start, start)
	assert.DeepEqual(t, pacePercents(s.Orders(start)), []int{100})
}
