package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// candidate is a step with tasks that may start now.
type candidate struct {
	job        *job
	occurrence int
	step       int
	urgency    urgency
	begun      bool
	// laxity is the time left beyond the estimated work until the job earns nothing more.
	laxity time.Duration
	// work is the estimated processor time left in the job, in core-seconds.
	work float64
	// priority is that of the queue.
	priority int
}

// urgency is the class in which a step waits for room.
type urgency uint8

const (
	// urgencyLasting steps serve their users all the time.
	urgencyLasting urgency = iota
	// urgencyLastChance jobs are late and earn nothing unless they start now.
	urgencyLastChance
	// urgencyOnTime jobs can still be done in time.
	urgencyOnTime
	// urgencyLate jobs can't be done in time any more, but are still worth something later.
	urgencyLate
	// urgencyHopeless jobs will be too late whatever is done.
	urgencyHopeless
)

// lastChance is the laxity below which a late job goes first: about the time until room is free on a
// full pool.
const lastChance = 700 * time.Millisecond

// urgencyOf classifies by the time left until a job is late, and until it earns nothing.
func urgencyOf(lasting bool, slack, laxity time.Duration) urgency {
	switch {
	case lasting:
		return urgencyLasting
	case slack >= 0:
		return urgencyOnTime
	case laxity < 0:
		return urgencyHopeless
	case laxity < lastChance:
		return urgencyLastChance
	default:
		return urgencyLate
	}
}

// Plan assigns tasks that may start to workers with room. The assignments are part of the next
// batches; the orders go out when those are stored. wall is the time of day for schedules.
func (s *Shard) Plan(now, wall time.Time) {
	s.expire(now)
	s.throttle()
	s.beginDue(wall)
	open := s.openWorkers(now)
	s.evacuate(open, now)
	candidates := s.candidates(now)
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, compareCandidates)
	for i := range candidates {
		if len(open) == 0 {
			return
		}
		c := &candidates[i]
		if complete := s.placeStep(c, open, now); !complete && c.urgency == urgencyLasting {
			open = s.reserve(open, c)
		}
	}
}

// reserve takes the worker with the most room out of those that are open, so that a long-running task
// finds room there soon, which smaller tasks would take bit by bit.
func (s *Shard) reserve(open []*worker, c *candidate) []*worker {
	step := &c.job.def.Steps[c.step]
	use := s.stepUse(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])
	best := -1
	for i, w := range open {
		if !w.info.Capacity.Fits(step.Booked()) || !allows(step, use, w) {
			continue
		}
		if best < 0 || w.info.Capacity.CPU-w.used.CPU > open[best].info.Capacity.CPU-open[best].used.CPU {
			best = i
		}
	}
	if best < 0 {
		return open
	}
	return slices.Concat(open[:best], open[best+1:])
}

// allows reports whether a step's label and its bound for one worker let a task run there.
func allows(step *apjob.Step, use *stepUse, w *worker) bool {
	if step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
		return false
	}
	return step.MaxPerWorker == 0 || use.workers[w.info.ID] < step.MaxPerWorker
}

// beginDue begins the occurrences whose time has come.
func (s *Shard) beginDue(wall time.Time) {
	for _, j := range s.active {
		if j.def.Repeat == 0 {
			if j.nextOccurrence == 0 {
				j.begin(0)
				j.recount()
			}
			continue
		}
		for j.nextOccurrence < j.def.Repeat && !wall.Before(j.def.Due(j.nextOccurrence)) {
			j.begin(j.nextOccurrence)
			j.recount()
			s.markDirty(j)
		}
	}
}

// compareCandidates orders steps for the load of short bursts above the pool's capacity. A late job
// that would be lost goes first, for it has been accepted and waits longest. Of the jobs that can be
// done in time those with little work follow, so that most jobs of a burst are on time. Late jobs wait
// for the end of the burst, and those that can't be saved come last, in order of age.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.priority, b.priority),
		-compareBool(a.begun, b.begun),
		compareWithin(a, b),
		a.job.seen.Compare(b.job.seen),
		cmp.Compare(a.job.def.ID, b.job.def.ID),
		cmp.Compare(a.occurrence, b.occurrence),
		cmp.Compare(a.step, b.step),
	)
}

func compareWithin(a, b candidate) int {
	switch a.urgency {
	case urgencyOnTime:
		return cmp.Compare(a.work, b.work)
	case urgencyLate, urgencyLastChance:
		return cmp.Compare(a.laxity, b.laxity)
	default:
		return 0
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (s *Shard) candidates(now time.Time) []candidate {
	var candidates []candidate
	for _, j := range s.active {
		if j.waiting == 0 {
			continue
		}
		for i := range j.progress.Occurrences {
			occurrence := &j.progress.Occurrences[i]
			due, lateBy := j.due, j.lateBy
			if j.def.Repeat > 0 {
				// A scheduled occurrence is due when its work is done.
				due, lateBy = now.Add(scheduledSlack), now.Add(lateFactor*scheduledSlack)
			}
			chain, work := s.left(j, occurrence)
			for n := range occurrence.Steps {
				if !occurrence.Ready(j.def, n) {
					continue
				}
				laxity := lateBy.Sub(now) - chain
				candidates = append(candidates, candidate{
					job: j, occurrence: occurrence.Number, step: n,
					urgency: urgencyOf(j.def.Steps[n].LongRunning, due.Sub(now)-chain, laxity),
					begun:   j.state() != apjob.Pending, laxity: laxity, work: work,
					priority: s.queues[j.def.Queue].Priority,
				})
			}
		}
	}
	return candidates
}

// openWorkers returns the workers that may get new runs now.
func (s *Shard) openWorkers(now time.Time) []*worker {
	var open []*worker
	for _, w := range s.workers {
		if s.usable(w, now) && w.foreign == 0 && !now.Before(w.retryAt) {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return open
}

// usable reports whether a worker is sound and not on its way out.
func (s *Shard) usable(w *worker, now time.Time) bool {
	return w.registered && w.reached && !w.info.Draining && !s.cordoned[w.info.ID] &&
		now.Sub(w.lastOK) <= s.options.MaxSilence && !w.health.quarantined(now)
}

// placeStep assigns the waiting tasks of a step, all of them when it is a gang, and reports whether none
// is left waiting.
func (s *Shard) placeStep(c *candidate, open []*worker, now time.Time) bool {
	j := c.job
	step := &j.def.Steps[c.step]
	if !anyFits(open, step.Booked()) {
		return false
	}
	tasks := j.occurrence(c.occurrence).Steps[c.step]
	if s.queues[j.def.Queue].Advised {
		id := apjob.StepID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step}
		open = s.advised(id, waitingTasks(tasks), open, now)
	}
	chosen, complete := s.pick(c, step, tasks, open)
	if step.Gang {
		if !complete || len(chosen) < len(tasks) {
			return false
		}
		levelGang(tasks)
	}
	for _, p := range chosen {
		id := apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: p.index}
		s.assign(j, id, &tasks[p.index], step, p.on, now)
	}
	return complete
}

func waitingTasks(tasks []apjob.Task) int {
	n := 0
	for k := range tasks {
		if !tasks[k].Done && tasks[k].Worker == "" {
			n++
		}
	}
	return n
}

// choice is a worker for a task.
type choice struct {
	index int
	on    *worker
}

// pick returns workers for the waiting tasks of a step, and whether there is one for each.
func (s *Shard) pick(c *candidate, step *apjob.Step, tasks []apjob.Task, open []*worker) ([]choice, bool) {
	j := c.job
	use := s.stepUse(j, c.occurrence, c.step, tasks)
	var chosen []choice
	complete := true
	for k := range tasks {
		if tasks[k].Done || tasks[k].Worker != "" {
			continue
		}
		on := s.choose(step, use, open, j.triedOn[apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: k}])
		if on == nil {
			complete = false
			if len(j.triedOn) == 0 {
				break
			}
			continue
		}
		on.used = on.used.Add(step.Booked())
		use.add(on)
		chosen = append(chosen, choice{index: k, on: on})
	}
	for _, p := range chosen {
		p.on.used = p.on.used.Sub(step.Booked())
	}
	return chosen, complete
}

// levelGang gives all members of a gang the same run and the same checkpoint.
func levelGang(tasks []apjob.Task) {
	run, checkpoint := 0, ""
	for k := range tasks {
		run = max(run, tasks[k].Run)
		checkpoint = cmp.Or(checkpoint, tasks[k].Checkpoint)
	}
	for k := range tasks {
		tasks[k].Run, tasks[k].Checkpoint = run, checkpoint
	}
}

func anyFits(open []*worker, need apjob.Resources) bool {
	return slices.ContainsFunc(open, func(w *worker) bool { return w.info.Capacity.Sub(w.used).Fits(need) })
}

func (s *Shard) assign(j *job, id apjob.TaskID, t *apjob.Task, step *apjob.Step, on *worker, now time.Time) {
	t.Run++
	t.Worker = on.info.ID
	run := apjob.RunKey{Task: id, Run: t.Run}
	on.book(run, &occupant{need: step.Booked(), phase: phasePlanned, checkpoint: t.Checkpoint, ticket: s.ticketFor(id.Of(), on.info.ID)})
	j.waiting--
	j.running++
	if j.progress.State == apjob.Pending {
		j.progress.State = apjob.Running
	}
	j.planned = append(j.planned, planned{run: run, worker: on.info.ID})
	s.markDirty(j)
	s.log("TaskPlaced", run, on.info.ID, map[string]any{
		"WaitedMs": now.Sub(j.seen).Milliseconds(), "ReportAgeMs": now.Sub(on.lastOK).Milliseconds(),
		"FreeCPU": on.info.Capacity.CPU - on.used.CPU,
	})
}

// stepUse is where the tasks of a step are.
type stepUse struct {
	workers map[apjob.WorkerID]int
	racks   map[apfleet.Rack]int
}

func (u *stepUse) add(w *worker) {
	u.workers[w.info.ID]++
	u.racks[w.info.Rack]++
}

func (s *Shard) stepUse(j *job, occurrence, step int, tasks []apjob.Task) *stepUse {
	use := &stepUse{workers: make(map[apjob.WorkerID]int), racks: make(map[apfleet.Rack]int)}
	for k := range tasks {
		if w := s.workers[tasks[k].Worker]; w != nil && tasks[k].Worker != "" {
			use.add(w)
		}
	}
	if j.def.Steps[step].MaxPerWorker > 0 {
		s.countStopping(j.def.ID, occurrence, step, use)
	}
	return use
}

// countStopping adds runs of the step that are no task's present run but still on a worker.
func (s *Shard) countStopping(id apjob.ID, occurrence, step int, use *stepUse) {
	for _, w := range s.workers {
		for run, o := range w.occupants {
			if run.Task.Job == id && run.Task.Occurrence == occurrence && run.Task.Step == step && o.phase == phaseStopping {
				if t, _ := s.task(run.Task); t == nil || t.Run != run.Run {
					use.add(w)
				}
			}
		}
	}
}

// choose returns the best worker for a task, or nil. Tasks fill up workers, so that wide holes stay
// for large tasks; long-running tasks spread over racks, so that one rack takes few of them away.
func (s *Shard) choose(step *apjob.Step, use *stepUse, open []*worker, avoid []apjob.WorkerID) *worker {
	var best *worker
	var bestScore float64
	need := step.Booked()
	for _, w := range open {
		if !w.info.Capacity.Sub(w.used).Fits(need) || !allows(step, use, w) {
			continue
		}
		score := s.score(step, use, w)
		if s.disturbs(step, w) {
			if step.Backfill {
				continue
			}
			score -= avoidWeight
		}
		if slices.Contains(avoid, w.info.ID) {
			// A long-running task fails by itself now and then, and may have no other place.
			if !step.LongRunning && len(open) > len(avoid) {
				continue
			}
			score -= avoidWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *Shard) score(step *apjob.Step, use *stepUse, w *worker) float64 {
	full := 0.0
	if w.info.Capacity.CPU > 0 {
		full = float64(w.used.CPU) / float64(w.info.Capacity.CPU)
	}
	score := full - w.health.slowness()
	if step.LongRunning {
		score = s.lastingScore(step, use, w) - full
	}
	if step.SameRack && use.racks[w.info.Rack] > 0 {
		score += rackWeight
	}
	if step.DataRack != "" && step.DataRack == string(w.info.Rack) {
		score += rackWeight
	}
	return score
}

// Weights of the placement of long-running tasks, each above the next one's sum.
const (
	// crowdWeight keeps a step's tasks on at least lastingSpread workers.
	crowdWeight = 8
	// shareWeight brings long-running tasks together on few workers, so that the others can be moved.
	shareWeight = 3
	// lastingSpread is how many workers share the tasks of a long-running step.
	lastingSpread = 3
)

// lastingScore rates a worker for a long-running task.
func (s *Shard) lastingScore(step *apjob.Step, use *stepUse, w *worker) float64 {
	score := -float64(use.racks[w.info.Rack])
	if use.workers[w.info.ID] >= (step.Count+lastingSpread-1)/lastingSpread {
		score -= crowdWeight
	}
	if s.hasLasting(w) {
		score += shareWeight
	}
	return score
}

func (s *Shard) hasLasting(w *worker) bool {
	for run := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.LongRunning {
			return true
		}
	}
	return false
}

// scheduledSlack is the time within which a scheduled occurrence is taken to be due, as its own time
// has come already.
const scheduledSlack = time.Minute

// avoidWeight puts a worker on which the task failed after all others.
const avoidWeight = 100

// rackWeight puts a wanted rack before any difference in load.
const rackWeight = 10

// Orders returns the orders that are due now: starts of stored runs, stops, and those that went
// without an answer.
func (s *Shard) Orders(now time.Time) []Order {
	orders := s.paces
	s.paces = nil
	for _, w := range s.workers {
		if !w.info.Address.IsValid() {
			continue
		}
		for run, o := range w.occupants {
			if o.phase == phasePlanned || o.phase == phaseRunning || !o.dueAt(s.options).Before(now) {
				continue
			}
			if order := s.orderFor(w, run, o, now); order != nil {
				o.sentAt = now
				o.attempts++
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// dueAt returns when the next order about a run is due.
func (o *occupant) dueAt(options Options) time.Time {
	if o.sentAt.IsZero() {
		return time.Time{}
	}
	wait := options.ResendAfter << min(max(o.attempts-1, 0), 4)
	return o.sentAt.Add(min(wait, options.MaxResend))
}

func (s *Shard) orderFor(w *worker, run apjob.RunKey, o *occupant, now time.Time) Order {
	if o.phase == phaseStopping {
		if o.stopAnswered {
			return nil
		}
		return Stop{To: w.target(), Order: apworker.StopOrder{Run: run, Fence: s.fence}}
	}
	j := s.jobs[run.Task.Job]
	if j == nil || !w.reached || o.attempts > 0 && s.suspect(w, now) {
		return nil
	}
	return Start{To: w.target(), Order: apworker.StartOrder{
		Run: run, Spec: j.def.Spec, Deadline: s.deadline(w, now), Fence: s.fence,
		Checkpoint: o.checkpoint, Ticket: o.ticket,
	}}
}
