package apscheduler

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// phase is the stage of a run on a worker.
type phase uint8

const (
	// phasePlanned runs have an assignment that isn't stored yet.
	phasePlanned phase = iota
	// phaseOrdered runs may be on the worker already or may still start there.
	phaseOrdered
	// phaseRunning runs are confirmed by the worker.
	phaseRunning
	// phaseStopping runs are to be stopped and still hold their resources.
	phaseStopping
)

// ordersPending returns 1 for the phases in which a start or stop may be due, otherwise 0.
func (p phase) ordersPending() int {
	if p == phaseOrdered || p == phaseStopping {
		return 1
	}
	return 0
}

// occupant is a run that holds resources on a worker, or may do so.
type occupant struct {
	need  apjob.Resources
	phase phase
	// sentAt is when the last order went out; zero when none has.
	sentAt   time.Time
	attempts int
	// startsUnderWay counts the starts that wait for their answer.
	startsUnderWay int
	// unconfirmedStartAt is when the last start was sent, or zero once it is known which process of the worker may have carried it
	// out: a report has listed the run, or each copy has been answered.
	unconfirmedStartAt time.Time
	// answeredAt is when the worker last answered an order about the run.
	answeredAt time.Time
	// outcomeUnknown means that an order wasn't answered and may still be carried out.
	outcomeUnknown bool
	// inherited means that an earlier owner may have started the run, and that no report shows yet whether it did. This
	// owner doesn't start it.
	inherited bool
	// stopAcknowledged means that the worker has acknowledged a stop.
	stopAcknowledged bool
	startedAt        time.Time
	percent          int
	usage            float64
	percentAt        time.Time
	checkpoint       string
	ticket           string
	// evacuationWait is the last logged reason why the run is not evacuated yet.
	evacuationWait string
	// pace is that of a backfill run.
	pace pacing
	// sizeUnknown means that the resources of the run are unknown because the shard doesn't know its step.
	sizeUnknown bool
}

// startMayFollow reports whether an order of this owner may have been carried out after a report was requested, or may
// still be.
func (o *occupant) startMayFollow(requestedAt time.Time) bool {
	unanswered := o.outcomeUnknown || o.startsUnderWay > 0 || o.answeredAt.Before(o.sentAt)
	return !o.inherited && o.phase != phasePlanned && (unanswered || o.answeredAt.After(requestedAt))
}

// neverSent reports whether no order about the run was sent, so that it can't be on the worker.
func (o *occupant) neverSent() bool {
	return !o.inherited && o.sentAt.IsZero() && (o.phase == phasePlanned || o.phase == phaseOrdered)
}

// worker is the shard's view of one incarnation of a worker.
type worker struct {
	info       apworker.Info
	registered bool
	// startedAt is the start time in the last report that had one; zero if there was none.
	startedAt time.Time
	// endedStart is the start time of the last process that was followed by another one, as reports tell; zero if there was none.
	endedStart time.Time
	// staleInfo is the last registration that named an earlier start time. It is in force if a report has that one.
	staleInfo apworker.Info
	// polledAt is the address of the last poll, reportedFrom that of the last one that was answered with a report.
	polledAt, reportedFrom netip.AddrPort
	// hasReported means that the worker has reported to this owner since it last started.
	hasReported bool
	// mayHaveRestarted means that a poll has failed since the last report.
	mayHaveRestarted bool
	// clock is the reading of the worker's clock received at the local time clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// leaseEnd is the latest lease deadline sent to the worker, on the worker's clock.
	leaseEnd time.Duration
	// unreportedLeaseEnd is the time after which a worker that has never reported has no runs any more that an earlier owner saw
	// there in a report. unreportedStartEnd is that for runs that it may only have started: another process may have carried
	// the start out, and taken its deadline for its longest lease.
	unreportedLeaseEnd, unreportedStartEnd time.Time
	// unnoticedLeaseEnd is the time until which the lease may last if another process has answered an order since the last
	// report; zero if there is no sign of that.
	unnoticedLeaseEnd time.Time
	occupants         map[apjob.RunKey]*occupant
	used              apjob.Resources
	// ordersPending counts the occupants for which a start or stop may be due: those ordered or stopping.
	ordersPending int
	// unknownRuns counts the reported runs of unknown size; while there are any, the worker gets no new runs.
	unknownRuns int
	// lastAppliedEnd is the number of the last applied run end. pendingEnds are the applied ends that were not stored
	// when lastStoredEnd was last called, in ascending order of their numbers.
	lastAppliedEnd uint64
	pendingEnds    []pendingEnd
	// retryAt is when the worker may get new runs again after it refused a start.
	retryAt time.Time
	health  health
	// lastAnswerAt is when the worker last reported; zero if it could not be reached at its address since.
	lastAnswerAt time.Time
}

// target returns the destination of orders to the worker.
func (w *worker) target() apworker.Target {
	return apworker.Target{ID: w.info.ID, Address: w.info.Address}
}

// clockLowerBound returns a lower bound of the worker's clock at a local time.
func (w *worker) clockLowerBound(at time.Time, drift float64) time.Duration {
	passed := at.Sub(w.clockReadAt)
	return w.clock + passed - time.Duration(float64(passed)*drift)
}

// lastStoredEnd returns the number up to which all run ends are stored. The worker may discard these.
func (w *worker) lastStoredEnd() uint64 {
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].stored() {
		w.pendingEnds = w.pendingEnds[1:]
	}
	if len(w.pendingEnds) > 0 {
		return w.pendingEnds[0].number - 1
	}
	return w.lastAppliedEnd
}

// book adds a run to the worker and reserves its resources.
func (w *worker) book(run apjob.RunKey, o *occupant) {
	w.occupants[run] = o
	w.used = w.used.Add(o.need)
	w.ordersPending += o.phase.ordersPending()
}

// setPhase changes the phase of a booked occupant.
func (w *worker) setPhase(o *occupant, to phase) {
	w.ordersPending += to.ordersPending() - o.phase.ordersPending()
	o.phase = to
}

// release removes a run from the worker and frees its resources.
func (w *worker) release(run apjob.RunKey) {
	if o, ok := w.occupants[run]; ok {
		w.used = w.used.Sub(o.need)
		w.ordersPending -= o.phase.ordersPending()
		delete(w.occupants, run)
	}
}

// Register adds a worker or updates its registration. A registration with an earlier start time than that of the process
// that has reported was written late, or the worker's wall clock has gone back: it takes effect when that process
// reports. That of a later one is no proof of a restart either, but until the next report no run is started that was
// meant for the process that has reported: the worker may be of another kind now.
func (s *Shard) Register(info apworker.Info, now time.Time) {
	w := s.ensureWorker(info.ID, now)
	if !info.StartedAt.IsZero() && info.StartedAt.Before(w.startedAt) {
		w.staleInfo = info
		s.logEvent("RegistrationStale", apjob.RunKey{}, info.ID, map[string]any{"OlderByMs": w.startedAt.Sub(info.StartedAt).Milliseconds()})
		return
	}
	if w.hasReported && info.StartedAt.After(w.startedAt) && !w.startedAt.IsZero() && !info.StartedAt.Equal(w.info.StartedAt) {
		s.PollFailed(info.ID)
	}
	if !info.StartedAt.IsZero() && info.StartedAt.Equal(w.info.StartedAt) {
		// A process that has announced that it will stop does so. The registration was written late.
		info.Draining = info.Draining || w.info.Draining
	}
	startsDraining := info.Draining && !w.info.Draining
	w.info = info
	w.registered = true
	if startsDraining {
		s.logEvent("WorkerDraining", apjob.RunKey{}, info.ID, nil)
	}
}

// registrationOutdated reports whether the registration in force is that of an earlier process than the one that reports. Its
// labels and its capacity say nothing about the present one, so the worker gets no new runs until that has registered. One whose
// registration or reports have no start time can't be told apart.
func (w *worker) registrationOutdated() bool {
	if w.info.StartedAt.IsZero() || w.startedAt.IsZero() {
		return false
	}
	return w.info.StartedAt.Before(w.startedAt) || w.info.StartedAt.Equal(w.endedStart)
}

// Unregister records that a worker's registration was removed. Its runs are kept until they have certainly ended.
func (s *Shard) Unregister(id apjob.WorkerID) {
	if w, ok := s.workers[id]; ok && w.registered {
		w.registered = false
		s.logEvent("WorkerUnregistered", apjob.RunKey{}, id, map[string]any{"Runs": len(w.occupants), "LastEnd": w.lastAppliedEnd, "Stored": w.lastStoredEnd()})
	}
}

// SetCordoned replaces the set of workers that get no new runs and are evacuated.
func (s *Shard) SetCordoned(cordoned map[apjob.WorkerID]bool) {
	numbers := make(map[apjob.WorkerID]int, len(cordoned))
	for id := range cordoned {
		number, known := s.cordoned[id]
		if !known {
			s.lastCordon++
			number = s.lastCordon
			s.logEvent("WorkerCordoned", apjob.RunKey{}, id, nil)
		}
		numbers[id] = number
	}
	s.cordoned = numbers
}

// drainingOrCordoned reports whether a worker is draining or cordoned.
func (s *Shard) drainingOrCordoned(w *worker) bool {
	_, cordoned := s.cordoned[w.info.ID]
	return cordoned || w.info.Draining
}

// SetAvoided replaces the set of workers that will be evacuated soon. They get long-running tasks only if no other
// worker has room.
func (s *Shard) SetAvoided(workers []apjob.WorkerID) {
	s.avoided = make(map[apjob.WorkerID]bool, len(workers))
	for _, id := range workers {
		s.avoided[id] = true
	}
}

// WorkerEmpty reports whether a worker is cordoned, has no runs and can't start any.
func (s *Shard) WorkerEmpty(id apjob.WorkerID) bool {
	w, ok := s.workers[id]
	_, cordoned := s.cordoned[id]
	return ok && cordoned && w.hasReported && len(w.occupants) == 0 && w.unknownRuns == 0
}

// ensureWorker returns the worker with the given ID, adding it if it is unknown.
func (s *Shard) ensureWorker(id apjob.WorkerID, now time.Time) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{occupants: make(map[apjob.RunKey]*occupant)}
		w.info.ID = id
		w.unreportedLeaseEnd = now.Add(s.withDrift(s.options.MaxLease + s.options.StopTime))
		sentLater := s.options.MaxLease - s.options.Lease
		w.unreportedStartEnd = now.Add(s.withDrift(max(s.options.Lease, s.options.LongestLease) + sentLater + s.options.StopTime))
		s.workers[id] = w
		s.sortedWorkers = nil
	}
	return w
}

// removeWorker removes a worker from the shard.
func (s *Shard) removeWorker(id apjob.WorkerID, now time.Time) {
	maps.DeleteFunc(s.forgottenAt, func(_ apjob.WorkerID, at time.Time) bool { return now.Sub(at) >= maxCallDelay })
	s.forgottenAt[id] = now
	w := s.workers[id]
	s.logEvent("WorkerForgotten", apjob.RunKey{}, id, map[string]any{"LastEnd": w.lastAppliedEnd, "Stored": w.lastStoredEnd()})
	delete(s.workers, id)
	s.sortedWorkers = nil
}

// workersByID returns all workers sorted by ID.
func (s *Shard) workersByID() []*worker {
	if s.sortedWorkers == nil {
		s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.sortedWorkers
}

// WorkersToPoll returns the workers to poll (see Poll): those that are registered or may have runs.
func (s *Shard) WorkersToPoll() []apworker.Target {
	var targets []apworker.Target
	for _, w := range s.workers {
		if w.needsPoll() {
			targets = append(targets, w.target())
		}
	}
	return targets
}

// needsPoll reports whether a worker must be polled.
func (w *worker) needsPoll() bool {
	return w.info.Address.IsValid() && (w.registered || len(w.occupants) > 0)
}

// PollTarget returns the destination of a worker's polls, or false if it needs none.
func (s *Shard) PollTarget(id apjob.WorkerID) (apworker.Target, bool) {
	w, ok := s.workers[id]
	if !ok || !w.needsPoll() {
		return apworker.Target{}, false
	}
	return w.target(), true
}

// Poll returns the poll order for a worker, which acknowledges stored run ends. It extends the lease of a worker that
// answers, if leases may be extended.
func (s *Shard) Poll(id apjob.WorkerID, now time.Time) (apworker.PollOrder, bool) {
	w, ok := s.workers[id]
	if !ok {
		return apworker.PollOrder{}, false
	}
	w.polledAt = w.info.Address
	order := apworker.PollOrder{Fence: s.Fence(id)}
	if w.mayHaveRestarted {
		// The number of an end and a deadline mean something else to another process.
		return order, true
	}
	order.AckedEnd = w.lastStoredEnd()
	if s.answers(w, now) && s.mayExtend() {
		order.Deadline = s.extendLease(w, now)
	}
	return order, true
}

// WorkerAnswers reports whether a worker has reported, its last poll hasn't failed, and it isn't suspect.
func (s *Shard) WorkerAnswers(id apjob.WorkerID, now time.Time) bool {
	w, ok := s.workers[id]
	return ok && s.answers(w, now)
}

func (s *Shard) answers(w *worker, now time.Time) bool {
	return w.hasReported && !w.mayHaveRestarted && !s.suspect(w, now)
}

// suspect reports whether a worker has been unresponsive for so long that it may be down. Its lease is no longer
// extended then, so that it expires and the tasks can run elsewhere.
func (s *Shard) suspect(w *worker, now time.Time) bool {
	return now.Sub(w.lastAnswerAt) > s.options.SuspectAfter
}

// HasRuns reports whether a worker has runs.
func (s *Shard) HasRuns() bool {
	for _, w := range s.workers {
		if len(w.occupants) > 0 {
			return true
		}
	}
	return false
}

// WorkerHasRuns reports whether a worker has runs, so that its lease must be kept up.
func (s *Shard) WorkerHasRuns(id apjob.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && len(w.occupants) > 0
}

// loseAllRuns releases every run of a worker that certainly has none any more.
func (s *Shard) loseAllRuns(w *worker, reason string, now time.Time) {
	for run, o := range w.occupants {
		s.loseRun(w, run, o, reason, now)
	}
	w.unknownRuns = 0
}

// loseRun releases a run that ended without a reported end.
func (s *Shard) loseRun(w *worker, run apjob.RunKey, o *occupant, reason string, now time.Time) {
	w.release(run)
	s.logEvent("RunLost", run, w.info.ID, map[string]any{"Why": reason, "Phase": int(o.phase)})
	s.taskEnded(run, w.info.ID, apworker.EndLapsed, o.checkpoint, now)
}

// WorkerUnreachable records that nothing listens at a worker's address, as seen from here. The worker gets no new runs
// until it reports again. Its runs are kept: the worker may be cut off from this entry only.
func (s *Shard) WorkerUnreachable(id apjob.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.lastAnswerAt = time.Time{}
	}
}

// WorkerReplaced records that another incarnation answers at a worker's address. If the worker has no registration
// either, the process that has reported there has ended. An address from which none has reported may be outdated or wrong.
func (s *Shard) WorkerReplaced(id apjob.WorkerID, now time.Time) {
	s.WorkerUnreachable(id)
	w, ok := s.workers[id]
	if !ok || w.registered || !w.hasReported || w.polledAt != w.reportedFrom {
		return
	}
	s.loseAllRuns(w, "Replaced", now)
	s.removeWorker(id, now)
}
