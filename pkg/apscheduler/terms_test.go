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

// failingPool is a pool in which every run ends for the same reason as soon as it is started.
type failingPool struct {
	*apscheduler.Shard
	now    time.Time
	reason apworker.EndReason
	ends   map[apjob.WorkerID]uint64
	// starts counts the starts of all tasks.
	starts int
}

func newFailingPool() *failingPool {
	return &failingPool{Shard: emptyPool(8, 4000), now: start, reason: apworker.EndFailed, ends: make(map[apjob.WorkerID]uint64)}
}

func (p *failingPool) run(rounds int) {
	for range rounds {
		p.now = p.now.Add(50 * time.Millisecond)
		p.Plan(p.now, p.now)
		storeAll(p.Shard)
		reports := make(map[apjob.WorkerID]*apworker.Report)
		for _, target := range p.WorkersToPoll() {
			reports[target.ID] = &apworker.Report{Clock: time.Second + p.now.Sub(start)}
		}
		for _, order := range p.Orders(p.now) {
			if o, ok := order.(apscheduler.Start); ok {
				p.starts++
				p.OrderAnswered(o.To.ID, o.Order.Run, false, nil, p.now)
				p.ends[o.To.ID]++
				reports[o.To.ID].Ends = append(reports[o.To.ID].Ends, apworker.RunEnd{Number: p.ends[o.To.ID], Run: o.Order.Run, Reason: p.reason})
			}
		}
		p.now = p.now.Add(50 * time.Millisecond)
		for id, report := range reports {
			p.ApplyReport(id, *report, p.now, p.now)
		}
	}
}

// jobWith returns a job with settings of its queue as of its acceptance.
func jobWith(terms apjob.Terms) *apjob.Job {
	def := job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Estimate: time.Second})
	def.Terms = terms
	return def
}

// Guards against a job that fails after one attempt since its queue was removed for a while.
func TestJobHasTheAttemptsOfItsAcceptance(t *testing.T) {
	for name, queues := range map[string]map[apjob.Queue]apscheduler.Queue{"removed": {}, "fewer": {"q": {MaxAttempts: 1}}, "more": {"q": {MaxAttempts: 9}}} {
		p := newFailingPool()
		p.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 3}})
		p.Submit(jobWith(apjob.Terms{MaxAttempts: 3}), 0, start)
		p.SetQueues(queues)
		p.run(40)
		assert.Equal(t, p.starts, 3, name)
		assert.Equal(t, p.Backlog(), 0, name)
	}
}

func TestJobWithoutTermsKeepsWhatWasLastKnownOfItsQueue(t *testing.T) {
	p := newFailingPool()
	p.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 3}})
	p.Submit(jobWith(apjob.Terms{}), 0, start)
	p.SetQueues(nil)
	p.SetQueues(map[apjob.Queue]apscheduler.Queue{"other": {MaxAttempts: 1}})
	p.run(40)
	assert.Equal(t, p.starts, 3)
	assert.Equal(t, p.Backlog(), 0)
}

// It neither fails nor takes an attempt that it may not have.
func TestJobWithoutKnownAttemptsWaitsAfterItsFirstFailure(t *testing.T) {
	for attempts, want := range map[int]int{1: 1, 3: 3} {
		p := newFailingPool()
		p.Submit(jobWith(apjob.Terms{}), 0, start)
		p.run(40)
		assert.Equal(t, p.starts, 1)
		assert.Equal(t, p.Backlog(), 1, "the job failed")
		p.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: attempts}})
		p.run(40)
		assert.Equal(t, p.starts, want)
		assert.Equal(t, p.Backlog(), 0)
	}
}

func TestDeadlineDoesNotDependOnQueuesThatWereRemoved(t *testing.T) {
	for name, terms := range map[string]apjob.Terms{"accepted": {MaxAttempts: 1, Stretch: 2, Slack: 10 * time.Second}, "unknown": {}} {
		p := newFailingPool()
		p.reason = apworker.EndDone
		p.Submit(jobWith(terms), 0, start)
		p.run(10)
		slack, ok := eventFields(p.TakeEvents(), "JobCompleted")["SlackMs"].(int64)
		assert.Assert(t, ok && slack > 9000, "%s: %d", name, slack)
	}
}

func TestPriorityIsTheNewestOneAndThatOfTheAcceptanceOnceTheQueueIsRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		queues map[apjob.Queue]apscheduler.Queue
		want   apjob.ID
	}{
		"newest":  {map[apjob.Queue]apscheduler.Queue{"q0": {Priority: 9}, "q1": {Priority: 1}}, "0000000000000001"},
		"removed": {nil, "0000000000000000"},
		"one":     {map[apjob.Queue]apscheduler.Queue{"q1": {Priority: 3}}, "0000000000000000"},
	} {
		s := emptyPool(1, 1000)
		s.SetQueues(c.queues)
		for n := range 2 {
			def := jobWith(apjob.Terms{MaxAttempts: 1, Stretch: 2, Slack: time.Minute, Priority: 1 + 4*n})
			def.ID, def.Queue = apjob.ID(fmt.Sprintf("%016x", n)), apjob.Queue(fmt.Sprintf("q%d", n))
			if n == 0 {
				// Among jobs of equal priority, the one with less work goes first.
				def.Steps[0].Estimate = 10 * time.Second
			}
			s.Submit(def, 0, start)
		}
		s.Plan(start, start)
		storeAll(s)
		runs := starts(s.Orders(start))
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].Task.Job, c.want, name)
	}
}

func TestTicketsAreNeededWhileTheQueueIsRemoved(t *testing.T) {
	p := newFailingPool()
	p.Submit(jobWith(apjob.Terms{MaxAttempts: 1, NeedsTicket: true}), 0, start)
	p.run(5)
	assert.Equal(t, p.starts, 0)
	assert.Equal(t, len(p.TakeQuestions()), 1)
}
