package apscheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

const (
	worldTick   = 100 * time.Millisecond
	worldLength = 22 * time.Second
	advised     = apjob.Queue("advised")
)

// world is a drawn pool with a drawn load, on a fake clock. It keeps its own books of what runs where.
type world struct {
	random  *rand.Rand
	shard   *apscheduler.Shard
	now     time.Time
	workers []*drawnWorker
	jobs    []*drawnJob
	pending []drawnAnswer
	// revision is that of the last write.
	revision apstore.Revision
	// log holds the shard's events.
	log []string
	// problem tells of a run on a worker that isn't of its kind, "" while there is none.
	problem string
	// cordoned is the worker that is cordoned from cordonFrom to cordonTo.
	cordoned             apjob.WorkerID
	cordonFrom, cordonTo time.Time
}

// drawnWorker is a worker as it is, not as the shard knows it.
type drawnWorker struct {
	info    apworker.Info
	runs    map[apjob.RunKey]*drawnRun
	ends    []apworker.RunEnd
	lastEnd uint64
	// failing is the share of runs that fail.
	failing float64
	// The worker is silent from silentFrom to silentTo, and draining from drainFrom on.
	silentFrom, silentTo, drainFrom time.Time
	quarantinedUntil                time.Time
	// rebornAt is when the worker crashes and starts again under its ID as another kind, next. Its registration stays that of the
	// earlier life until registeredAt.
	rebornAt, registeredAt time.Time
	next, registered       apworker.Info
}

// drawnRun is a run that holds room on a worker, from its placement to the report of its end.
type drawnRun struct {
	began  bool
	endsAt time.Time
	reason apworker.EndReason
}

// drawnJob is a job with the state of its tasks: the worker of each, or done.
type drawnJob struct {
	def       *apjob.Job
	submitAt  time.Time
	submitted bool
	// denied are the workers that the advisor denies each step.
	denied map[apjob.WorkerID]bool
	onTask map[apjob.TaskID]apjob.WorkerID
	done   map[apjob.TaskID]bool
	// waiting is since when a task has had to be placed, waitingFree since when it has had to be within placeBound.
	waiting, waitingFree map[apjob.TaskID]time.Time
	// lastFor is how long a run takes that doesn't last.
	lastFor time.Duration
}

// drawnAnswer is an answer of the advisor that is under way.
type drawnAnswer struct {
	at       time.Time
	question apscheduler.Question
}

// revive lets a worker crash and start again, at a time at which its next report tells of that.
func (w *world) revive(d *drawnWorker) {
	for run := range d.runs {
		w.release(d, run)
	}
	d.registered, d.info, d.rebornAt = d.info, d.next, time.Time{}
	d.registeredAt = w.now.Add(w.between(0, time.Second))
	d.ends, d.lastEnd = nil, 0
}

// tick moves the clock, and lets everything happen that is due.
func (w *world) tick() {
	w.now = w.now.Add(worldTick)
	for _, d := range w.workers {
		w.report(d)
	}
	w.shard.SetCordoned(map[apjob.WorkerID]bool{})
	if w.isCordoned(w.cordoned) {
		w.shard.SetCordoned(map[apjob.WorkerID]bool{w.cordoned: true})
	}
	for _, j := range w.jobs {
		if !j.submitted && !w.now.Before(j.submitAt) {
			j.submitted = true
			w.shard.Submit(j.def, 0, w.now)
		}
	}
	w.advise()
	w.shard.Plan(w.now, w.now)
	for w.shard.HasBatch() {
		w.revision++
		w.shard.BatchStored(w.shard.NextBatch(), w.revision)
	}
	w.note()
	for _, question := range w.shard.TakeQuestions() {
		w.pending = append(w.pending, drawnAnswer{at: w.now.Add(w.between(0, 300*time.Millisecond)), question: question})
	}
	orders := w.shard.Orders(w.now)
	slices.SortFunc(orders, func(a, b apscheduler.Order) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, order := range orders {
		w.carryOut(order)
	}
}

func (w *world) isCordoned(id apjob.WorkerID) bool {
	return id != "" && id == w.cordoned && !w.now.Before(w.cordonFrom) && w.now.Before(w.cordonTo)
}

func (w *world) advise() {
	w.pending = slices.DeleteFunc(w.pending, func(a drawnAnswer) bool {
		if w.now.Before(a.at) {
			return false
		}
		if w.chance(0.1) {
			w.shard.ApplyAdvice(a.question, apworker.Advice{}, apcode.Errorf(apcode.WorkerRefused, "busy"), w.now)
			return true
		}
		answer := apworker.Advice{Tickets: make(map[apjob.WorkerID]string), ValidFor: 2 * time.Second}
		for _, id := range a.question.Workers {
			if !w.job(a.question.Step.Job).denied[id] {
				answer.Tickets[id] = w.ticket(id)
			}
		}
		w.shard.ApplyAdvice(a.question, answer, nil, w.now)
		return true
	})
}

// ticket returns a ticket, which is valid for one life of a worker.
func (w *world) ticket(id apjob.WorkerID) string { return w.worker(id).info.StartedAt.String() }

func (w *world) job(id apjob.ID) *drawnJob {
	for _, j := range w.jobs {
		if j.def.ID == id {
			return j
		}
	}
	return nil
}

func (w *world) worker(id apjob.WorkerID) *drawnWorker {
	for _, d := range w.workers {
		if d.info.ID == id {
			return d
		}
	}
	return nil
}

// report ends the runs that are over, and passes the worker's report to the shard.
func (w *world) report(d *drawnWorker) {
	d.info.Draining = !d.drainFrom.IsZero() && !w.now.Before(d.drainFrom)
	if !d.rebornAt.IsZero() && !w.now.Before(d.rebornAt) && !w.isSilent(d) {
		w.revive(d)
	}
	if !w.now.Before(d.registeredAt) {
		d.registered = d.info
	}
	w.shard.Register(d.registered, w.now)
	if w.isSilent(d) {
		return
	}
	back := w.now.Sub(d.silentTo)
	lapsed := back >= 0 && back < worldTick && d.silentTo.Sub(d.silentFrom) > 5*time.Second
	report := apworker.Report{Clock: w.now.Sub(d.info.StartedAt) + time.Second, StartedAt: d.info.StartedAt}
	for _, run := range sortedRuns(d) {
		r := d.runs[run]
		switch {
		case !r.began:
		case lapsed:
			w.end(d, run, apworker.EndLapsed)
		case !r.endsAt.IsZero() && !w.now.Before(r.endsAt):
			w.end(d, run, r.reason)
		default:
			report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 100, Usage: 20})
		}
	}
	report.Ends = d.ends
	d.ends = nil
	w.shard.ApplyReport(d.info.ID, report, w.now, w.now)
}

func (w *world) isSilent(d *drawnWorker) bool {
	return !w.now.Before(d.silentFrom) && w.now.Before(d.silentTo)
}

func sortedRuns(d *drawnWorker) []apjob.RunKey {
	var runs []apjob.RunKey
	for run := range d.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b apjob.RunKey) int {
		return cmp.Or(
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run),
		)
	})
	return runs
}

// end lists the end of a run. A gang ends with its first member.
func (w *world) end(d *drawnWorker, run apjob.RunKey, reason apworker.EndReason) {
	d.lastEnd++
	d.ends = append(d.ends, apworker.RunEnd{Number: d.lastEnd, Run: run, Reason: reason})
	w.release(d, run)
	step := w.step(run.Task)
	if reason == apworker.EndDone && !step.LongRunning {
		w.job(run.Task.Job).done[run.Task] = true
	}
	if !step.Gang {
		return
	}
	others := apworker.EndBroken
	if reason == apworker.EndDone {
		others = apworker.EndDone
	}
	for _, other := range w.workers {
		for member, r := range other.runs {
			if member.Task.StepID() == run.Task.StepID() && member.Run == run.Run && (r.endsAt.IsZero() || r.endsAt.After(w.now)) {
				r.endsAt, r.reason = w.now, others
			}
		}
	}
}

func (w *world) step(id apjob.TaskID) *apjob.Step { return &w.job(id.Job).def.Steps[id.Step] }

func (w *world) release(d *drawnWorker, run apjob.RunKey) {
	delete(d.runs, run)
	if j := w.job(run.Task.Job); j.onTask[run.Task] == d.info.ID {
		delete(j.onTask, run.Task)
	}
}

// note takes over into the books what the shard has decided.
func (w *world) note() {
	for _, event := range w.shard.TakeEvents() {
		d := w.worker(event.Worker)
		w.log = append(w.log, fmt.Sprintf("%v %s %v %s %v\n", w.now.Sub(start), event.Name, event.Run, event.Worker, event.Fields))
		switch event.Name {
		case "TaskPlaced":
			d.runs[event.Run] = &drawnRun{}
			j := w.job(event.Run.Task.Job)
			j.onTask[event.Run.Task] = event.Worker
			delete(j.waiting, event.Run.Task)
			delete(j.waitingFree, event.Run.Task)
		case "RunLost":
			w.release(d, event.Run)
		case "WorkerQuarantined":
			d.quarantinedUntil = w.now.Add(5 * time.Second)
		default:
		}
	}
}

func (w *world) carryOut(order apscheduler.Order) {
	switch o := order.(type) {
	case apscheduler.Start:
		w.startRun(w.worker(o.To.ID), o.Order)
	case apscheduler.Stop:
		d := w.worker(o.To.ID)
		if w.isSilent(d) {
			w.shard.OrderAnswered(d.info.ID, o.Order.Run, true, apcode.Errorf(apcode.WorkerSilent, "silent"), w.now)
			return
		}
		if r := d.runs[o.Order.Run]; r != nil && r.began {
			r.endsAt, r.reason = w.now, apworker.EndStopped
		}
		w.shard.OrderAnswered(d.info.ID, o.Order.Run, true, nil, w.now)
	default:
	}
}

func (w *world) startRun(d *drawnWorker, order apworker.StartOrder) {
	run := order.Run
	r, step := d.runs[run], w.step(run.Task)
	if r == nil || w.isSilent(d) {
		w.shard.OrderAnswered(d.info.ID, run, false, apcode.Errorf(apcode.WorkerSilent, "silent"), w.now)
		return
	}
	if code := w.refusal(d, order); !r.began && code != apcode.OK {
		w.release(d, run)
		w.shard.OrderAnswered(d.info.ID, run, false, apcode.Errorf(code, "refused"), w.now)
		return
	}
	w.shard.OrderAnswered(d.info.ID, run, false, nil, w.now)
	r.began = true
	if step.Label != "" && step.Label != d.info.Labels[0] || !w.freeRoom(d, false).Fits(apjob.Resources{}) {
		w.problem = fmt.Sprintf("%v starts on %+v, which runs %v", run, d.info, sortedRuns(d))
	}
	switch {
	case w.chance(d.failing):
		r.endsAt, r.reason = w.now.Add(w.between(0, w.job(run.Task.Job).lastFor)), apworker.EndFailed
	case !step.LongRunning || w.chance(0.1):
		r.endsAt, r.reason = w.now.Add(w.job(run.Task.Job).lastFor), apworker.EndDone
	default:
	}
}

// refusal returns the code with which a worker refuses a start, OK if it doesn't.
func (w *world) refusal(d *drawnWorker, order apworker.StartOrder) apcode.Code {
	switch {
	case w.job(order.Run.Task.Job).def.Queue == advised && order.Ticket != w.ticket(d.info.ID):
		return apcode.BadTicket
	case w.chance(0.03):
		return apcode.TaskDoesNotFit
	default:
		return apcode.OK
	}
}
