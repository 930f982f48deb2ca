package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// pool is a shard with workers of 4000 thousandths of a core, which report what runs on them.
type pool struct {
	shard *apscheduler.Shard
	infos []apworker.Info
	runs  map[apjob.WorkerID]map[apjob.RunKey]float64
	ends  map[apjob.WorkerID][]apworker.RunEnd
	now   time.Time
}

func newPool(workers int, queue apscheduler.Queue) *pool {
	p := &pool{shard: apscheduler.New(1), now: start, runs: make(map[apjob.WorkerID]map[apjob.RunKey]float64), ends: make(map[apjob.WorkerID][]apworker.RunEnd)}
	p.shard.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": queue, "lasting": {MaxAttempts: 9}})
	for n := range workers {
		id := apjob.WorkerID(fmt.Sprintf("w%d", n))
		p.infos = append(p.infos, workerInfo(id, 4000))
		p.runs[id] = make(map[apjob.RunKey]float64)
	}
	return p
}

// pass lets time pass and then returns the workers on which runs of a job were started.
func (p *pool) pass(d time.Duration, id apjob.ID) []apjob.WorkerID {
	var started []apjob.WorkerID
	for end := p.now.Add(d); !p.now.After(end); p.now = p.now.Add(100 * time.Millisecond) {
		for _, info := range p.infos {
			report := apworker.Report{Clock: p.now.Sub(start) + time.Second, StartedAt: start, Ends: p.ends[info.ID]}
			for run, usage := range p.runs[info.ID] {
				report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 100, Usage: usage})
			}
			p.shard.Register(info, p.now)
			p.shard.ApplyReport(info.ID, report, p.now, p.now)
		}
		p.shard.Plan(p.now, p.now)
		storeAll(p.shard)
		for _, order := range p.shard.Orders(p.now) {
			if o, ok := order.(apscheduler.Start); ok {
				p.shard.OrderAnswered(o.To.ID, o.Order.Run, false, nil, p.now)
				p.runs[o.To.ID][o.Order.Run] = 0
				if o.Order.Run.Task.Job == id {
					started = append(started, o.To.ID)
				}
			}
		}
	}
	return started
}

// end ends all runs of a job.
func (p *pool) end(id apjob.ID, reason apworker.EndReason) {
	for on, runs := range p.runs {
		for run := range runs {
			if run.Task.Job == id {
				delete(runs, run)
				p.ends[on] = append(p.ends[on], apworker.RunEnd{Number: uint64(len(p.ends[on]) + 1), Run: run, Reason: reason})
			}
		}
	}
}

const lastingID apjob.ID = "00000000000000cc"

// serve submits a long-running job with a task on each of a number of workers.
func (p *pool) serve(workers int, need int64, target time.Duration) {
	step := apjob.Step{Count: workers, Need: apjob.Resources{CPU: need}, LongRunning: true, MaxPerWorker: 1, LatencyTarget: target}
	p.shard.Submit(&apjob.Job{ID: lastingID, Queue: "lasting", Steps: []apjob.Step{step}, Submitted: p.now}, 0, p.now)
}

func TestTaskThatFailedOnOnlyWorkerWithItsLabelIsPlacedThereAgain(t *testing.T) {
	p := newPool(6, apscheduler.Queue{MaxAttempts: 4})
	p.infos[2].Labels = []string{"b", "r1"}
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Label: "b"}), 0, start)
	assert.DeepEqual(t, p.pass(0, jobID), []apjob.WorkerID{"w2"})
	p.end(jobID, apworker.EndFailed)
	assert.DeepEqual(t, p.pass(time.Second, jobID), []apjob.WorkerID{"w2"})
}

func TestTaskThatFailedWhereOnlyRoomIsIsPlacedThereAgain(t *testing.T) {
	p := newPool(3, apscheduler.Queue{MaxAttempts: 4})
	p.serve(2, 4000, 0)
	p.pass(0, "")
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, p.now)
	first := p.pass(0, jobID)
	assert.Equal(t, len(first), 1)
	p.end(jobID, apworker.EndFailed)
	assert.DeepEqual(t, p.pass(time.Second, jobID), first)
}

// The other worker is full, but its tasks end soon.
func TestTaskThatFailedWaitsForAnotherWorkerForAWhile(t *testing.T) {
	p := newPool(2, apscheduler.Queue{MaxAttempts: 4})
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}}), 0, start)
	failedOn := p.pass(0, jobID)
	other := &apjob.Job{ID: "00000000000000aa", Queue: "q", Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 4000}}}, Submitted: start}
	p.shard.Submit(other, 0, p.now)
	p.pass(0, "")
	p.end(jobID, apworker.EndFailed)
	assert.Equal(t, len(p.pass(500*time.Millisecond, jobID)), 0)
	p.end(other.ID, apworker.EndDone)
	again := p.pass(0, jobID)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0] != failedOn[0])
}

func TestBackfillIsPlacedBesideServingTasksWhenNoOtherWorkerIsLeft(t *testing.T) {
	p := newPool(3, apscheduler.Queue{MaxAttempts: 4})
	p.serve(2, 1000, 100*time.Millisecond)
	p.pass(0, "")
	p.shard.Submit(job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 4000, Memory: 1000}, Backfill: true}), 0, p.now)
	first := p.pass(0, jobID)
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0], first[1], "only one worker has no serving task")
	for n := range p.infos {
		p.infos[n].Draining = p.infos[n].ID == first[0]
	}
	p.end(jobID, apworker.EndLapsed)
	again := p.pass(time.Second, jobID)
	assert.Equal(t, len(again), 2)
	assert.Assert(t, again[0] != again[1], "the backfill tasks are spread over the serving ones")
}

// A long-running job takes the room on the workers that the advisor was asked about first.
func TestAdvisorIsAskedAboutWorkersThatHaveRoom(t *testing.T) {
	p := newPool(7, apscheduler.Queue{MaxAttempts: 4, NeedsTicket: true})
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}}), 0, start)
	p.pass(0, jobID)
	asked := p.shard.TakeQuestions()
	assert.Equal(t, len(asked), 1)
	for n := range p.infos {
		for _, id := range asked[0].Workers {
			p.infos[n].Draining = p.infos[n].Draining || p.infos[n].ID == id
		}
		p.infos[n].Draining = !p.infos[n].Draining
	}
	p.serve(len(asked[0].Workers), 3000, 0)
	p.pass(0, "")
	for n := range p.infos {
		p.infos[n].Draining = false
	}
	advice := apworker.Advice{Tickets: make(map[apjob.WorkerID]string), ValidFor: 3 * time.Second}
	for _, id := range asked[0].Workers {
		advice.Tickets[id] = "ticket"
	}
	p.shard.ApplyAdvice(asked[0], advice, nil, p.now)
	assert.Equal(t, len(p.pass(0, jobID)), 0, "the workers with tickets are full")
	next := p.shard.TakeQuestions()
	assert.Equal(t, len(next), 1)
	for _, id := range next[0].Workers {
		_, full := advice.Tickets[id]
		assert.Assert(t, !full, "%s is full", id)
		advice.Tickets[id] = "ticket"
	}
	p.shard.ApplyAdvice(next[0], advice, nil, p.now)
	assert.Equal(t, len(p.pass(0, jobID)), 1)
}

// The advisor denies most workers, and each question costs time.
func TestQuestionsGrowWhileAdvisorDeniesAll(t *testing.T) {
	p := newPool(40, apscheduler.Queue{MaxAttempts: 4, NeedsTicket: true})
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}}), 0, start)
	var sizes []int
	seen := make(map[apjob.WorkerID]bool)
	for range 8 {
		p.pass(0, jobID)
		for _, question := range p.shard.TakeQuestions() {
			sizes = append(sizes, len(question.Workers))
			for _, id := range question.Workers {
				assert.Assert(t, !seen[id], "%s was denied", id)
				seen[id] = true
			}
			p.shard.ApplyAdvice(question, apworker.Advice{}, nil, p.now)
		}
	}
	assert.DeepEqual(t, sizes, []int{3, 6, 12, 19})
}

func TestDenialsEndWithAdvisorOfQueue(t *testing.T) {
	p := newPool(1, apscheduler.Queue{MaxAttempts: 4, NeedsTicket: true})
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}}), 0, start)
	p.pass(0, jobID)
	p.shard.ApplyAdvice(p.shard.TakeQuestions()[0], apworker.Advice{}, nil, p.now)
	assert.Equal(t, len(p.pass(time.Second, jobID)), 0)
	p.shard.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 4}})
	assert.Equal(t, len(p.pass(0, jobID)), 1)
}

// A question about many workers may take the advisor longer than an entry waits.
func TestQuestionsShrinkWhileAdvisorDoesNotAnswer(t *testing.T) {
	p := newPool(40, apscheduler.Queue{MaxAttempts: 4, NeedsTicket: true})
	p.shard.Submit(job(apjob.Step{Count: 20, Need: apjob.Resources{CPU: 4000}}), 0, start)
	var sizes []int
	for _, err := range []error{
		apcode.Errorf(apcode.WorkerSilent, "late"), apcode.Errorf(apcode.WorkerSilent, "late"), apcode.Errorf(apcode.WorkerRefused, "busy"), nil, nil, nil,
	} {
		p.pass(0, jobID)
		question := p.shard.TakeQuestions()[0]
		sizes = append(sizes, len(question.Workers))
		p.shard.ApplyAdvice(question, apworker.Advice{}, err, p.now)
	}
	assert.DeepEqual(t, sizes, []int{30, 15, 7, 7, 15, 18})
}

func TestTicketThatWorkerRefusedIsNotUsedAgain(t *testing.T) {
	p := newPool(1, apscheduler.Queue{MaxAttempts: 4, NeedsTicket: true})
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000}}), 0, start)
	p.pass(0, jobID)
	question := p.shard.TakeQuestions()[0]
	p.shard.ApplyAdvice(question, apworker.Advice{Tickets: map[apjob.WorkerID]string{"w0": "old"}, ValidFor: time.Hour}, nil, p.now)
	p.shard.Plan(p.now, p.now)
	storeAll(p.shard)
	runs := starts(p.shard.Orders(p.now))
	assert.Equal(t, len(runs), 1)
	p.shard.OrderAnswered("w0", runs[0], false, apcode.Errorf(apcode.BadTicket, "of an earlier life"), p.now)
	assert.Equal(t, len(p.pass(time.Second, jobID)), 0)
	assert.Equal(t, len(p.shard.TakeQuestions()), 1)
}

// Two long-running jobs wait for room that never comes, each on a worker reserved for it.
func TestReservedWorkerGetsTaskThatCanRunNowhereElse(t *testing.T) {
	p := newPool(2, apscheduler.Queue{MaxAttempts: 4})
	p.infos[0].Labels, p.infos[1].Labels = []string{"b", "r1"}, []string{"c", "r1"}
	blocking := &apjob.Job{ID: "00000000000000aa", Queue: "q", Steps: []apjob.Step{
		{Count: 1, Need: apjob.Resources{CPU: 2000}, Label: "b"}, {Count: 1, Need: apjob.Resources{CPU: 2000}, Label: "c"},
	}, Submitted: start}
	p.shard.Submit(blocking, 0, start)
	assert.Equal(t, len(p.pass(0, blocking.ID)), 2)
	p.serve(2, 4000, 0)
	p.pass(500*time.Millisecond, "")
	p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, Label: "b"}), 0, p.now)
	assert.Equal(t, len(p.pass(time.Second, jobID)), 0, "the worker is reserved")
	assert.DeepEqual(t, p.pass(time.Second, jobID), []apjob.WorkerID{"w0"})
}

func TestQuarantinedWorkerGetsTaskThatCanRunNowhereElse(t *testing.T) {
	p := newPool(2, apscheduler.Queue{MaxAttempts: 9})
	p.infos[1].Labels = []string{"b", "r1"}
	p.shard.Submit(job(apjob.Step{Count: 4, Need: apjob.Resources{CPU: 1000}, Label: "b"}), 0, start)
	assert.Equal(t, len(p.pass(0, jobID)), 4)
	p.end(jobID, apworker.EndFailed)
	assert.Equal(t, len(p.pass(time.Second, jobID)), 0, "four failures quarantine a worker")
	assert.Equal(t, len(p.pass(time.Second, jobID)), 4)
}

// The estimate of such a task asks for no machine, and no room comes by itself.
func TestPoolLoadTellsOfStepsThatLongRunningTasksCrowdOut(t *testing.T) {
	for name, c := range map[string]struct {
		lasting, need int64
		want          int
	}{
		"crowded out":            {lasting: 3000, need: 2000, want: 1},
		"fits on no machine":     {lasting: 3000, need: 5000, want: 0},
		"room beside long tasks": {lasting: 1000, need: 2000, want: 0},
	} {
		p := newPool(2, apscheduler.Queue{MaxAttempts: 4})
		p.serve(2, c.lasting, 0)
		p.pass(0, "")
		p.shard.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: c.need}}), 0, p.now)
		p.pass(time.Second, jobID)
		assert.Equal(t, p.shard.PoolLoad(p.now).Unplaced, c.want, name)
	}
}

// Guards against a pool that doesn't know which labels its jobs need.
func TestPoolLoadTellsOfLabels(t *testing.T) {
	p := newPool(2, apscheduler.Queue{MaxAttempts: 4})
	p.pass(0, "")
	need := apjob.Resources{CPU: 1000}
	p.shard.Submit(job(
		apjob.Step{Count: 1, Need: need, Label: "z"}, apjob.Step{Count: 1, Need: need, Label: "a"},
		apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1_000_000}, Label: "a"}, apjob.Step{Count: 1, Need: need, Label: "later", After: []int{0}}, apjob.Step{Count: 1, Need: need},
	), 0, p.now)
	p.shard.Plan(p.now, p.now)
	load := p.shard.PoolLoad(p.now)
	assert.DeepEqual(t, load.Labels, []string{"a", "later", "z"})
	assert.DeepEqual(t, load.MissingLabels, []string{"z"})
	p.shard.Cancel(jobID, p.now)
	assert.Equal(t, len(p.shard.PoolLoad(p.now).Labels), 0)
}
