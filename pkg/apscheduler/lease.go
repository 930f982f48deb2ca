package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
)

// mayExtend reports whether leases may be extended now.
func (s *Shard) mayExtend() bool { return s.options.MayExtend == nil || s.options.MayExtend() }

// extendLease extends the worker's lease and returns its new deadline, on the worker's clock.
func (s *Shard) extendLease(w *worker, now time.Time) time.Duration {
	end := w.clockLowerBound(now, s.options.ClockDrift) + s.options.Lease
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// maxCallDelay is how late a call to a worker may be carried out.
const maxCallDelay = 20 * time.Second

// unknownLease returns how long the lease of a worker that first reports may last: a previous owner may have extended it. A
// young process may have taken a deadline on the clock of the one before for its longest lease, if a previous owner, or
// this one before the worker was forgotten, has called it lately.
func (s *Shard) unknownLease(id apjob.WorkerID, clock time.Duration, restarted bool, now time.Time) time.Duration {
	calledLately := s.firstPlanAt.IsZero() || now.Sub(s.firstPlanAt) < maxCallDelay || now.Sub(s.forgottenAt[id]) < maxCallDelay
	if restarted || clock < maxCallDelay && calledLately {
		return max(s.options.MaxLease, s.options.LongestLease)
	}
	return s.options.MaxLease
}

// withDrift returns how long a duration on a worker's clock may last on the local one.
func (s *Shard) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*s.options.ClockDrift)
}

// leaseIsOver reports whether a worker's lease has certainly ended, and all runs that it held have been killed.
func (s *Shard) leaseIsOver(w *worker, now time.Time) bool {
	if !w.hasReported {
		return now.After(w.unreportedLeaseEnd)
	}
	return now.After(w.unnoticedLeaseEnd) && w.clockLowerBound(now, s.options.ClockDrift) > w.leaseEnd+s.options.StopTime
}

// expireLeases releases the runs of workers whose lease has certainly ended, and removes unregistered workers that
// have no runs. These are kept until then, because a worker that registers again may still have its lease.
func (s *Shard) expireLeases(now time.Time) {
	for id, w := range s.workers {
		if !w.registered && len(w.occupants) == 0 {
			if s.leaseIsOver(w, now) {
				s.removeWorker(id, now)
			}
			continue
		}
		if len(w.occupants) == 0 {
			continue
		}
		if !w.hasReported {
			s.expireUnreported(w, now)
			continue
		}
		s.expireLease(w, now)
	}
}

// expireUnreported releases the runs of a worker that has never reported, once they have certainly ended. Runs of long-running
// tasks count as seen in a report by the earlier owner: their callers wait for a restart, and a longer lease is rare.
func (s *Shard) expireUnreported(w *worker, now time.Time) {
	if !s.leaseIsOver(w, now) {
		return
	}
	for run, o := range w.occupants {
		if _, step := s.task(run.Task); now.After(w.unreportedStartEnd) || step != nil && step.LongRunning {
			s.loseRun(w, run, o, "NeverAnswered", now)
		}
	}
}

// longRunningWait is the longest time after its last start for which a long-running task waits for the end of a lease that may
// be longer than granted. Its callers expect a restart within 9 s, in which an unanswered start is sent again for SuspectAfter.
const longRunningWait = 6600 * time.Millisecond

// startMayGoOn reports whether a run whose start is unconfirmed may outlive the lease that was granted: another process of the worker
// may have carried the start out, and taken its deadline for its longest lease.
func (s *Shard) startMayGoOn(run apjob.RunKey, o *occupant, now time.Time) bool {
	if o.unconfirmedStartAt.IsZero() {
		return false
	}
	longest := s.withDrift(s.options.LongestLease + s.options.StopTime)
	if _, step := s.task(run.Task); step != nil && step.LongRunning {
		longest = min(longest, longRunningWait)
	}
	return !now.After(o.unconfirmedStartAt.Add(longest))
}

// expireLease releases the runs of a worker whose lease has certainly ended. A run that was never sent doesn't depend on the
// lease, which isn't extended while the worker has no runs. It is released if the worker is silent.
func (s *Shard) expireLease(w *worker, now time.Time) {
	ended := s.leaseIsOver(w, now)
	silent := now.Sub(w.lastAnswerAt) > s.options.MaxSilence
	if !ended && !silent {
		return
	}
	for run, o := range w.occupants {
		switch {
		case o.neverSent():
			if silent {
				s.loseRun(w, run, o, "NotSent", now)
			}
		case ended && !s.startMayGoOn(run, o, now):
			s.loseRun(w, run, o, "LeaseEnded", now)
		}
	}
	if ended {
		w.unknownRuns = 0
	}
}
