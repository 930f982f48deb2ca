package apscheduler

import (
	"cmp"
	"math"
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
	// urgencyStarved is the oldest gang that will soon be lost: it needs all its room at once, which others
	// take bit by bit.
	urgencyStarved
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
	if s.since.IsZero() {
		s.since = now
	}
	s.expire(now)
	s.enqueueDeferred(now)
	s.throttle()
	s.beginDue(wall)
	open := s.openWorkers(now)
	open = s.evacuate(open, now)
	var full shortage
	candidates := s.candidates(open, &full, now)
	if len(candidates) == 0 {
		return
	}
	promoteGang(candidates)
	slices.SortFunc(candidates, compareCandidates)
	for i := range candidates {
		if len(open) == 0 {
			return
		}
		c := &candidates[i]
		if s.placeStep(c, open, &full, now) {
			continue
		}
		switch c.urgency {
		case urgencyLasting:
			open = s.reserve(open, c)
		case urgencyStarved:
			open = s.reserveGang(open, c)
		default:
		}
	}
}

// gangChance is the laxity below which a late gang goes first: the time until enough short tasks have left
// the workers that are kept for it.
const gangChance = 2500 * time.Millisecond

// promoteGang lets the oldest late gang go first that would be lost otherwise. One at a time does, so that
// room is kept for one gang and not for all. Gangs that still have time wait for room like others: keeping
// room for all late ones served fewer jobs.
func promoteGang(candidates []candidate) {
	var oldest *candidate
	for i := range candidates {
		c := &candidates[i]
		late := c.urgency == urgencyLate || c.urgency == urgencyLastChance
		if !late || c.laxity >= gangChance || !c.job.def.Steps[c.step].Gang {
			continue
		}
		if oldest == nil || cmp.Or(c.job.seen.Compare(oldest.job.seen), cmp.Compare(c.job.def.ID, oldest.job.def.ID)) < 0 {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.urgency = urgencyStarved
	}
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
		-apfleet.CompareBool(a.begun, b.begun),
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

// candidates returns the steps that may start now, less those that find no room at all: on a full pool with
// a backlog those are most. Long-running steps and gangs are among them in any case, for room is kept for them.
func (s *Shard) candidates(open []*worker, full *shortage, now time.Time) []candidate {
	var candidates []candidate
	for _, j := range s.active {
		if j.waiting == 0 || !mayFit(j, open, full) {
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

// mayFit reports whether a step of the job finds room on a worker, or gets room kept.
func mayFit(j *job, open []*worker, full *shortage) bool {
	for n := range j.def.Steps {
		step := &j.def.Steps[n]
		if step.LongRunning || step.Gang || full.anyFits(open, step.Booked()) {
			return true
		}
	}
	return false
}

// openWorkers returns the workers that may get new runs now.
func (s *Shard) openWorkers(now time.Time) []*worker {
	all := s.ordered()
	open := make([]*worker, 0, len(all))
	for _, w := range all {
		if s.usable(w, now) && w.foreign == 0 && !now.Before(w.retryAt) {
			open = append(open, w)
		}
	}
	return open
}

// usable reports whether a worker is sound and not on its way out.
func (s *Shard) usable(w *worker, now time.Time) bool {
	return w.registered && w.reached && !s.leaving(w) &&
		now.Sub(w.lastOK) <= s.options.MaxSilence && !w.health.quarantined(now)
}

// Weights of the placement of long-running tasks, each above the next one's sum.
const (
	// crowdWeight keeps a step's tasks on at least lastingSpread workers.
	crowdWeight = 8
	// leavingWeight keeps long-running tasks from workers that will be emptied soon.
	leavingWeight = 5
	// shareWeight brings long-running tasks together on few workers, so that the others can be moved.
	shareWeight = 3
	// lastingSpread is how many workers share the tasks of a long-running step.
	lastingSpread = 3
)

// scheduledSlack is the time within which a scheduled occurrence is taken to be due, as its own time
// has come already.
const scheduledSlack = time.Minute

// Orders returns all orders that are due now.
func (s *Shard) Orders(now time.Time) []Order { return s.NextOrders(now, math.MaxInt) }

// NextOrders returns at most limit orders that are due now: starts of stored runs, stops, and those that
// went without an answer. Those that are left over stay due, and count as not sent.
func (s *Shard) NextOrders(now time.Time, limit int) []Order {
	n := min(limit, len(s.paces))
	orders := s.paces[:n:n]
	s.paces = s.paces[n:]
	for _, w := range s.workers {
		if w.unsettled == 0 || !w.info.Address.IsValid() {
			continue
		}
		for run, o := range w.occupants {
			if len(orders) >= limit {
				return orders
			}
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
