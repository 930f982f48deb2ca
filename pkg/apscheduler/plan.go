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

// candidate is a step with tasks that are ready to start.
type candidate struct {
	job        *job
	occurrence int
	step       int
	urgency    urgency
	jobRunning bool
	// laxity is the time until the hard deadline minus the estimated duration of the remaining critical path.
	laxity time.Duration
	// work is the estimated remaining work of the occurrence in core-seconds.
	work float64
	// priority is the priority of the queue; 0 is the highest.
	priority int
}

func (c *candidate) id() apjob.StepID {
	return apjob.StepID{Job: c.job.def.ID, Occurrence: c.occurrence, Step: c.step}
}

// urgency is the scheduling class of a waiting step. Lower values are placed first.
type urgency uint8

const (
	// urgencyLongRunning steps are services that should always be running.
	urgencyLongRunning urgency = iota
	// urgencyStarvedGang is the oldest gang about to miss its hard deadline. A gang needs room for all its
	// tasks at once, while smaller tasks take freed capacity piece by piece.
	urgencyStarvedGang
	// urgencyLastChance jobs will miss the soft deadline, and the hard one too unless they start within
	// lastChanceLaxity.
	urgencyLastChance
	// urgencyOnTime jobs can still meet the soft deadline.
	urgencyOnTime
	// urgencyLate jobs will miss the soft deadline but have time left until the hard one.
	urgencyLate
	// urgencyHopeless jobs can no longer meet the hard deadline.
	urgencyHopeless
)

// lastChanceLaxity is the laxity below which a late job takes precedence: about the time until capacity becomes
// free on a full pool.
const lastChanceLaxity = 700 * time.Millisecond

// urgencyOf classifies a step by the slack until the soft deadline and the laxity until the hard one.
func urgencyOf(longRunning bool, slack, laxity time.Duration) urgency {
	switch {
	case longRunning:
		return urgencyLongRunning
	case slack >= 0:
		return urgencyOnTime
	case laxity < 0:
		return urgencyHopeless
	case laxity < lastChanceLaxity:
		return urgencyLastChance
	default:
		return urgencyLate
	}
}

// Plan assigns tasks that are ready to start to workers with room. It also expires leases, adds scheduled
// occurrences, and evacuates and throttles tasks. The assignments are part of the next batches, and the starts
// are due once those are stored. wall is the wall-clock time that schedules refer to.
func (s *Shard) Plan(now, wall time.Time) {
	if s.firstPlanAt.IsZero() {
		s.firstPlanAt = now
	}
	s.learnTerms(now)
	s.expireLeases(now)
	s.queueDueRecords(now)
	s.throttleBackfill(now)
	s.addDueOccurrences(wall)
	pool := s.newPool(now)
	s.evacuate(pool, now)
	candidates := s.candidates(pool, now)
	if len(candidates) == 0 {
		return
	}
	promoteStarvedGang(candidates)
	slices.SortFunc(candidates, compareCandidates)
	for i := range candidates {
		if pool.empty() {
			return
		}
		if c := &candidates[i]; !s.placeStep(c, pool, now) {
			s.reserveWorkers(pool, c, now)
		}
	}
}

// starvedGangLaxity is the laxity below which a late gang takes precedence: the time until enough short tasks
// have ended on the workers reserved for it.
const starvedGangLaxity = 2500 * time.Millisecond

// promoteStarvedGang gives precedence to the oldest late gang that would otherwise miss its hard deadline. Only
// one gang is promoted at a time, so that workers are reserved for one gang and not for all. Late gangs with
// enough laxity wait like other steps: if workers were reserved for all late gangs, fewer
// jobs would complete.
func promoteStarvedGang(candidates []candidate) {
	var oldest *candidate
	for i := range candidates {
		c := &candidates[i]
		late := c.urgency == urgencyLate || c.urgency == urgencyLastChance
		if !late || c.laxity >= starvedGangLaxity || !c.job.def.Steps[c.step].Gang {
			continue
		}
		if oldest == nil || cmp.Or(c.job.acceptedAt.Compare(oldest.job.acceptedAt), cmp.Compare(c.job.def.ID, oldest.job.def.ID)) < 0 {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.urgency = urgencyStarvedGang
	}
}

// addDueOccurrences adds the scheduled occurrences whose time has come, and the only occurrence of each job
// without a schedule.
func (s *Shard) addDueOccurrences(wall time.Time) {
	for _, j := range s.active {
		if j.def.Repeat == 0 {
			if j.nextOccurrence == 0 {
				j.addOccurrence(0)
				j.recountTasks()
			}
			continue
		}
		for j.nextOccurrence < j.def.Repeat && j.hasRoomForOccurrence() && !wall.Before(j.def.OccurrenceTime(j.nextOccurrence)) {
			j.addOccurrence(j.nextOccurrence)
			j.recountTasks()
			s.queueRecord(j)
		}
	}
}

// compareCandidates orders steps by urgency, then by the priority of the queue; among these, steps of running jobs
// go first. The order copes with short bursts above the pool's capacity. After long-running steps and the starved
// gang come late jobs about to miss the hard deadline, because they have waited longest. Next come jobs that can
// meet the soft deadline, those with the least remaining work first, so that most jobs of a burst are on time.
// Other late jobs wait for the end of the burst, and those that can't meet the hard deadline come last, by age.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.priority, b.priority),
		-apfleet.CompareBool(a.jobRunning, b.jobRunning),
		compareWithinClass(a, b),
		a.job.acceptedAt.Compare(b.job.acceptedAt),
		cmp.Compare(a.job.def.ID, b.job.def.ID),
		cmp.Compare(a.occurrence, b.occurrence),
		cmp.Compare(a.step, b.step),
	)
}

// compareWithinClass orders steps of the same urgency and priority: by remaining work if they are on time, by
// laxity if they are late.
func compareWithinClass(a, b candidate) int {
	switch a.urgency {
	case urgencyOnTime:
		return cmp.Compare(a.work, b.work)
	case urgencyLate, urgencyLastChance:
		return cmp.Compare(a.laxity, b.laxity)
	default:
		return 0
	}
}

// candidates returns the steps with tasks that are ready to start. It skips jobs none of whose steps fits on any
// worker of the pool, which are most jobs on a full pool with a backlog. Jobs with long-running steps or gangs are
// always considered, because workers are reserved for them.
func (s *Shard) candidates(pool *workerPool, now time.Time) []candidate {
	var candidates []candidate
	for _, j := range s.active {
		if j.waitingTasks == 0 || !s.mayBePlaced(j, pool) {
			continue
		}
		priority := s.terms(j.def).Priority
		for i := range j.progress.Occurrences {
			occurrence := &j.progress.Occurrences[i]
			softDeadline, hardDeadline := j.softDeadline, j.hardDeadline
			if j.def.Repeat > 0 {
				// An occurrence has no deadline of its own: it counts as due occurrenceSlack from now.
				softDeadline, hardDeadline = now.Add(occurrenceSlack), now.Add(hardDeadlineFactor*occurrenceSlack)
			}
			criticalPath, work := s.remainingWork(j, occurrence)
			for n := range occurrence.Steps {
				if !occurrence.Ready(j.def, n) || s.attemptsUnknown(j, occurrence, n) || j.restartsLater(occurrence, n, now) {
					continue
				}
				laxity := hardDeadline.Sub(now) - criticalPath
				candidates = append(candidates, candidate{
					job: j, occurrence: occurrence.Number, step: n,
					urgency:    urgencyOf(j.def.Steps[n].LongRunning, softDeadline.Sub(now)-criticalPath, laxity),
					jobRunning: j.state() != apjob.Pending, laxity: laxity, work: work,
					priority: priority,
				})
			}
		}
	}
	return candidates
}

// mayBePlaced reports whether a step of the job fits on a worker or may have workers reserved for it.
func (s *Shard) mayBePlaced(j *job, pool *workerPool) bool {
	for n := range j.def.Steps {
		step := &j.def.Steps[n]
		if step.LongRunning || step.Gang || s.mayFit(pool, j, step) {
			return true
		}
	}
	return false
}

// usable reports whether a worker is registered, responsive and not quarantined, draining or cordoned.
func (s *Shard) usable(w *worker, now time.Time) bool {
	return s.inTouch(w, now) && !w.health.quarantined(now)
}

// inTouch reports whether a worker is registered as what it is now, responsive and not draining or cordoned.
func (s *Shard) inTouch(w *worker, now time.Time) bool {
	return w.registered && w.hasReported && !w.registrationOutdated() && !s.drainingOrCordoned(w) && now.Sub(w.lastAnswerAt) <= s.options.MaxSilence
}

// Weights for placing long-running tasks, in descending order of importance.
const (
	// crowdingPenalty makes a step's tasks use at least minWorkersPerStep workers.
	crowdingPenalty = 8
	// upcomingEvacuationPenalty keeps long-running tasks away from workers that will be evacuated soon.
	upcomingEvacuationPenalty = 5
	// colocationBonus puts long-running tasks together on few workers, so that the others can be moved to
	// another pool.
	colocationBonus = 3
	// minWorkersPerStep is the number of workers over which the tasks of a long-running step are spread.
	minWorkersPerStep = 3
)

// occurrenceSlack is the time from now to the assumed soft deadline of a scheduled occurrence, whose start time
// has already passed.
const occurrenceSlack = time.Minute

// Orders returns all orders that are due now.
func (s *Shard) Orders(now time.Time) []Order { return s.NextOrders(now, math.MaxInt) }

// NextOrders returns at most limit orders that are due now: throttling orders, starts of stored runs, stops, and
// orders that are resent because they weren't answered. Orders beyond the limit stay due and don't count as
// sent.
func (s *Shard) NextOrders(now time.Time, limit int) []Order {
	n := min(limit, len(s.pendingPaces))
	orders := s.pendingPaces[:n:n]
	s.pendingPaces = s.pendingPaces[n:]
	for _, w := range s.workers {
		if w.ordersPending == 0 || !w.info.Address.IsValid() {
			continue
		}
		for run, o := range w.occupants {
			if len(orders) >= limit {
				return orders
			}
			if o.phase == phasePlanned || o.phase == phaseRunning || !o.nextSendAt(s.options).Before(now) {
				continue
			}
			if order := s.orderFor(w, run, o, now); order != nil {
				o.sentAt = now
				o.attempts++
				if _, isStart := order.(Start); isStart {
					o.startsUnderWay++
					o.unconfirmedStartAt = now
				}
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// nextSendAt returns when the next order for a run is due: at once if none was sent, otherwise after a backoff.
func (o *occupant) nextSendAt(options Options) time.Time {
	if o.sentAt.IsZero() {
		return time.Time{}
	}
	wait := options.ResendAfter << min(max(o.attempts-1, 0), 4)
	return o.sentAt.Add(min(wait, options.MaxResend))
}

// orderFor returns the start or stop to send for a run, or nil if nothing should be sent now.
func (s *Shard) orderFor(w *worker, run apjob.RunKey, o *occupant, now time.Time) Order {
	if o.phase == phaseStopping {
		if o.stopAcknowledged {
			return nil
		}
		return Stop{To: w.target(), Order: apworker.StopOrder{Run: run, Fence: s.Fence(w.info.ID)}}
	}
	j := s.jobs[run.Task.Job]
	if j == nil || !w.hasReported || o.inherited || s.fenceRaisesDue[w.info.ID] || w.mayHaveRestarted || o.attempts > 0 && s.suspect(w, now) || !s.mayExtend() {
		return nil
	}
	if o.attempts > 0 {
		// Another process may have carried the first one out. It is to refuse polls of before, which would acknowledge its ends.
		s.raiseFence(w.info.ID)
	}
	return Start{To: w.target(), Order: apworker.StartOrder{
		Run: run, Spec: j.def.Spec, Deadline: s.extendLease(w, now), Fence: s.Fence(w.info.ID),
		Checkpoint: o.checkpoint, Ticket: o.ticket,
	}}
}
