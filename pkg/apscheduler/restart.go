package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
)

// applyRestart drops the runs of a worker that has restarted and resets what is known of its process. The runs in
// reported, which the new process lists as running or ended, are kept. One whose start the new process may carry out later is kept until
// that process has acknowledged a stop. The report was requested at requestedAt.
func (s *Shard) applyRestart(w *worker, reported map[apjob.RunKey]bool, requestedAt, now time.Time) {
	s.logEvent("WorkerReborn", apjob.RunKey{}, w.info.ID, map[string]any{"Runs": len(w.occupants)})
	for run, o := range w.occupants {
		if reported[run] {
			continue
		}
		if !o.startMayFollow(requestedAt) {
			s.loseRun(w, run, o, "Reborn", now)
			continue
		}
		w.setPhase(o, phaseStopping)
		o.sentAt, o.answeredAt, o.attempts = time.Time{}, time.Time{}, 0
		o.outcomeUnknown, o.stopAcknowledged = true, false
	}
	s.dropTickets(w.info.ID)
	w.unknownRuns = 0
	w.lastAppliedEnd, w.pendingEnds = 0, nil
	w.clock, w.leaseEnd = 0, 0
	w.clockReadAt = now
	w.hasReported = false
	s.fenceRaisesDue[w.info.ID] = true
	s.raiseFence(w.info.ID)
}

// PollFailed records that a poll of a worker failed, so that another process may answer the next one. Until that reports, it
// gets no first start of a run. The first call that reaches it has a higher fence than all calls before.
func (s *Shard) PollFailed(id apjob.WorkerID) {
	if w, ok := s.workers[id]; ok {
		w.mayHaveRestarted = true
	}
	s.fenceRaisesDue[id] = true
	s.raiseFence(id)
}

// clockTolerance is how much an answer may lag behind the reading of a worker's clock in a report that overtook it.
const clockTolerance = time.Second

// ObserveClock records a reading of a worker's clock in the answer to an order. It reports whether the clock has gone back.
// Another process may have answered then, which took the order's deadline for its longest lease.
func (s *Shard) ObserveClock(id apjob.WorkerID, clock time.Duration, now time.Time) bool {
	w, ok := s.workers[id]
	if !ok || !w.hasReported || clock+clockTolerance >= w.clock {
		return false
	}
	w.unnoticedLeaseEnd = now.Add(s.withDrift(s.options.LongestLease + s.options.StopTime))
	s.PollFailed(id)
	return true
}

// Fence returns the fencing token of orders to a worker.
func (s *Shard) Fence(id apjob.WorkerID) uint64 { return max(s.fence, s.raisedFences[id]) }

// setNewestFence records that the owner may use fencing tokens up to fence.
func (s *Shard) setNewestFence(fence uint64) {
	s.newestFence = max(s.newestFence, fence)
	for id := range s.fenceRaisesDue {
		s.raiseFence(id)
	}
}

// raiseFence raises the fence of a worker that may have restarted, if there is a higher one than that of earlier orders.
// Otherwise a call to the earlier process that is carried out late would reach the present one: a poll could acknowledge
// ends that aren't stored, because their numbers begin anew.
func (s *Shard) raiseFence(id apjob.WorkerID) {
	if s.newestFence > s.Fence(id) {
		s.raisedFences[id] = s.newestFence
		delete(s.fenceRaisesDue, id)
		s.logEvent("FenceRaised", apjob.RunKey{}, id, map[string]any{"Fence": s.newestFence})
	}
}
