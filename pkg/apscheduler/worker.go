package apscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// phase is how far a run has come on a worker.
type phase uint8

const (
	// phasePlanned runs are not stored yet.
	phasePlanned phase = iota
	// phaseOrdered runs may be there or may still start.
	phaseOrdered
	// phaseRunning runs were confirmed by the worker.
	phaseRunning
	// phaseStopping runs were ordered to stop and still take their room.
	phaseStopping
)

// unsettled is 1 for the phases in which orders may be due.
func (p phase) unsettled() int {
	if p == phaseOrdered || p == phaseStopping {
		return 1
	}
	return 0
}

// occupant is a run that takes room on a worker, or may.
type occupant struct {
	need  apjob.Resources
	phase phase
	// sentAt is when the last order went out; zero when none has.
	sentAt   time.Time
	attempts int
	// answeredAt is when the worker last answered an order about the run.
	answeredAt time.Time
	// silent tells that an order went without an answer and may still be carried out.
	silent bool
	// stopAnswered tells that the worker has acknowledged a stop.
	stopAnswered bool
	startedAt    time.Time
	percent      int
	usage        float64
	percentAt    time.Time
	checkpoint   string
	ticket       string
	// waitsFor is why the run is not evacuated yet, as it was logged last.
	waitsFor string
	// throttled tells that the run was told to stand still.
	throttled bool
	// unknown tells that the run's size is not known.
	unknown bool
}

// worker is one life of a worker as the shard sees it.
type worker struct {
	info       apworker.Info
	registered bool
	// reached tells that the worker has answered under this fence.
	reached bool
	// clock was the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest deadline sent, on the worker's clock.
	leaseEnd time.Duration
	// silentEnd is when a worker that never answered holds no run any more.
	silentEnd time.Time
	occupants map[apjob.RunKey]*occupant
	used      apjob.Resources
	// unsettled counts the occupants that orders may be due for: those ordered or stopping.
	unsettled int
	// foreign counts runs on the worker that the shard doesn't know; their size is unknown.
	foreign int
	// applied is the highest end that was applied, stored the highest that is stored.
	applied uint64
	stored  uint64
	pending []pendingEnd
	// retryAt holds back new runs after a refusal.
	retryAt time.Time
	health  health
	lastOK  time.Time
}

// Target returns where orders for the worker go.
func (w *worker) target() apworker.Target {
	return apworker.Target{ID: w.info.ID, Address: w.info.Address}
}

// now returns a lower bound of the worker's clock.
func (w *worker) now(at time.Time, drift float64) time.Duration {
	passed := at.Sub(w.clockAt)
	return w.clock + passed - time.Duration(float64(passed)*drift)
}

func (w *worker) book(run apjob.RunKey, o *occupant) {
	w.occupants[run] = o
	w.used = w.used.Add(o.need)
	w.unsettled += o.phase.unsettled()
}

// setPhase sets the phase of an occupant that is booked.
func (w *worker) setPhase(o *occupant, to phase) {
	w.unsettled += to.unsettled() - o.phase.unsettled()
	o.phase = to
}

func (w *worker) release(run apjob.RunKey) {
	if o, ok := w.occupants[run]; ok {
		w.used = w.used.Sub(o.need)
		w.unsettled -= o.phase.unsettled()
		delete(w.occupants, run)
	}
}

// Register applies a worker's registration.
func (s *Shard) Register(info apworker.Info, now time.Time) {
	w := s.worker(info.ID, now)
	if w.registered && !info.Born.IsZero() && !w.info.Born.IsZero() && !info.Born.Equal(w.info.Born) {
		s.reborn(w, info.Born, now)
	}
	if info.Born.IsZero() {
		info.Born = w.info.Born
	}
	drained := info.Draining && !w.info.Draining
	w.info = info
	w.registered = true
	if drained {
		s.log("WorkerDraining", apjob.RunKey{}, info.ID, nil)
	}
}

// Unregister notes that a worker's registration has gone. Its runs are kept until they can't go on.
func (s *Shard) Unregister(id apjob.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.registered = false
	}
}

// Cordon replaces the set of workers that get no new runs and are emptied.
func (s *Shard) Cordon(cordoned map[apjob.WorkerID]bool) {
	turns := make(map[apjob.WorkerID]int, len(cordoned))
	for id := range cordoned {
		turn, known := s.cordoned[id]
		if !known {
			s.cordons++
			turn = s.cordons
			s.log("WorkerCordoned", apjob.RunKey{}, id, nil)
		}
		turns[id] = turn
	}
	s.cordoned = turns
}

// leaving reports whether a worker drains or is cordoned.
func (s *Shard) leaving(w *worker) bool {
	_, cordoned := s.cordoned[w.info.ID]
	return cordoned || w.info.Draining
}

// Avoid replaces the set of workers that will be emptied soon, and get no long-running tasks while others
// have room.
func (s *Shard) Avoid(workers []apjob.WorkerID) {
	s.avoided = make(map[apjob.WorkerID]bool, len(workers))
	for _, id := range workers {
		s.avoided[id] = true
	}
}

// Empty reports whether nothing runs on a cordoned worker and nothing can start there.
func (s *Shard) Empty(id apjob.WorkerID) bool {
	w, ok := s.workers[id]
	_, cordoned := s.cordoned[id]
	return ok && cordoned && w.reached && len(w.occupants) == 0 && w.foreign == 0
}

func (s *Shard) worker(id apjob.WorkerID, now time.Time) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = &worker{occupants: make(map[apjob.RunKey]*occupant)}
		w.info.ID = id
		longest := s.options.MaxLease + s.options.StopTime
		w.silentEnd = now.Add(longest + time.Duration(float64(longest)*s.options.ClockDrift))
		s.workers[id] = w
		s.byID = nil
	}
	return w
}

// remove forgets a worker.
func (s *Shard) remove(id apjob.WorkerID) {
	delete(s.workers, id)
	s.byID = nil
}

// ordered returns all workers in the order of their ids.
func (s *Shard) ordered() []*worker {
	if s.byID == nil {
		s.byID = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.byID
}

// Workers returns the workers that must be held: those that are registered or may run something.
func (s *Shard) Workers() []apworker.Target {
	var targets []apworker.Target
	for _, w := range s.workers {
		if w.wanted() {
			targets = append(targets, w.target())
		}
	}
	return targets
}

// wanted reports whether a worker must be held.
func (w *worker) wanted() bool {
	return w.info.Address.IsValid() && (w.registered || len(w.occupants) > 0)
}

// Target returns where a worker that must be held is.
func (s *Shard) Target(id apjob.WorkerID) (apworker.Target, bool) {
	w, ok := s.workers[id]
	if !ok || !w.wanted() {
		return apworker.Target{}, false
	}
	return w.target(), true
}

// Hold returns the order that extends a worker's lease at this moment.
func (s *Shard) Hold(id apjob.WorkerID, now time.Time) (apworker.HoldOrder, bool) {
	w, ok := s.workers[id]
	if !ok {
		return apworker.HoldOrder{}, false
	}
	order := apworker.HoldOrder{Fence: s.fence, Seen: w.stored}
	if w.reached && !s.suspect(w, now) {
		order.Deadline = s.deadline(w, now)
	}
	return order, true
}

// suspect reports whether a worker is silent for so long that it may be down. Its lease is not extended
// then, for the time at which its runs have ended must come.
func (s *Shard) suspect(w *worker, now time.Time) bool {
	return now.Sub(w.lastOK) > s.options.SuspectAfter
}

// Busy reports whether a worker has runs, so that its lease matters.
func (s *Shard) Busy(id apjob.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && len(w.occupants) > 0
}

// deadline returns and notes a new end of the worker's lease, on its clock.
func (s *Shard) deadline(w *worker, now time.Time) time.Duration {
	end := w.clock + now.Sub(w.clockAt) + s.options.Lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// reborn ends all runs of a worker's earlier life.
func (s *Shard) reborn(w *worker, born time.Time, now time.Time) {
	s.log("WorkerReborn", apjob.RunKey{}, w.info.ID, map[string]any{"Runs": len(w.occupants)})
	s.clear(w, "Reborn", now)
	w.applied, w.stored, w.pending = 0, 0, nil
	w.clock, w.leaseEnd = 0, 0
	w.clockAt = now
	w.reached = false
	w.info.Born = born
}

// clear frees every run of a worker that holds none any more.
func (s *Shard) clear(w *worker, why string, now time.Time) {
	for run, o := range w.occupants {
		s.lost(w, run, o, why, now)
	}
	w.foreign = 0
}

// lost frees a run that ended without a report.
func (s *Shard) lost(w *worker, run apjob.RunKey, o *occupant, why string, now time.Time) {
	w.release(run)
	s.log("RunLost", run, w.info.ID, map[string]any{"Why": why, "Phase": int(o.phase)})
	s.taskEnded(run, w.info.ID, apworker.EndLapsed, o.checkpoint, now)
}

// Gone notes that a worker's process has ended: nothing listens at its address, or another life
// answers there.
func (s *Shard) Gone(id apjob.WorkerID, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	// It gets nothing until it answers again, whatever its registration says.
	w.lastOK = time.Time{}
	if w.registered {
		return
	}
	s.clear(w, "Gone", now)
	if len(w.occupants) == 0 {
		s.remove(id)
	}
}

// expire frees the runs of workers whose lease has certainly ended.
func (s *Shard) expire(now time.Time) {
	for id, w := range s.workers {
		if !w.registered && len(w.occupants) == 0 {
			if w.reached || now.After(w.silentEnd) {
				s.remove(id)
			}
			continue
		}
		if len(w.occupants) == 0 {
			continue
		}
		if !w.reached {
			if now.After(w.silentEnd) {
				s.clear(w, "NeverAnswered", now)
			}
			continue
		}
		if w.now(now, s.options.ClockDrift) > w.leaseEnd+s.options.StopTime {
			s.clear(w, "LeaseEnded", now)
		}
	}
}
