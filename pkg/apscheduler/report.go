package apscheduler

import (
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// ApplyReport applies a worker's report. sentAt is when the request for it was sent.
func (s *Shard) ApplyReport(id apjob.WorkerID, report apworker.Report, sentAt, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	restarted := s.checkRestart(w, report, sentAt, now)
	w.mayHaveRestarted, w.unnoticedLeaseEnd = false, time.Time{}
	first := !w.hasReported
	w.hasReported, w.reportedFrom = true, w.polledAt
	w.lastAnswerAt = now
	w.clock, w.clockReadAt = report.Clock, now
	if first {
		w.leaseEnd = report.Clock + s.unknownLease(id, report.Clock, restarted, now)
	}
	if len(report.Running) > 0 && report.Clock > w.leaseEnd {
		// What runs has a lease, so it is longer than this owner knows.
		w.leaseEnd = report.Clock + max(s.options.MaxLease, s.options.LongestLease)
	}
	listed := make(map[apjob.RunKey]bool, len(report.Running)+len(report.Ends))
	for _, end := range report.Ends {
		listed[end.Run] = true
		s.applyRunEnd(w, end, now)
	}
	w.unknownRuns = 0
	for _, status := range report.Running {
		if !listed[status.Run] {
			listed[status.Run] = true
			s.applyRunStatus(w, status, sentAt, now)
		}
	}
	if !report.EndsIncomplete {
		s.dropUnlistedRuns(w, listed, sentAt, now)
	}
}

// checkRestart reports whether the worker has restarted, by its start time, and drops the runs from before it.
func (s *Shard) checkRestart(w *worker, report apworker.Report, sentAt, now time.Time) bool {
	if report.StartedAt.IsZero() {
		return false
	}
	restarted := !w.startedAt.IsZero() && !report.StartedAt.Equal(w.startedAt)
	if restarted {
		w.endedStart = w.startedAt
		reported := make(map[apjob.RunKey]bool, len(report.Running)+len(report.Ends))
		for _, status := range report.Running {
			reported[status.Run] = true
		}
		for _, end := range report.Ends {
			reported[end.Run] = true
		}
		s.applyRestart(w, reported, sentAt, now)
		if w.staleInfo.StartedAt.Equal(report.StartedAt) {
			w.info, w.registered, w.staleInfo = w.staleInfo, true, apworker.Info{}
		}
	}
	w.startedAt = report.StartedAt
	return restarted
}

// dropUnlistedRuns releases the runs that are missing from a complete report and can't start any more: all runs that
// only an earlier owner may have started, and those whose orders were answered before the report was requested. One that was
// running, and of which a copy of the start may still be carried out, is stopped first.
func (s *Shard) dropUnlistedRuns(w *worker, listed map[apjob.RunKey]bool, sentAt, now time.Time) {
	for run, o := range w.occupants {
		if listed[run] || o.phase == phasePlanned {
			continue
		}
		answered := !o.answeredAt.IsZero() && o.answeredAt.Before(sentAt)
		switch {
		case o.inherited || answered && (!o.outcomeUnknown && o.startsUnderWay == 0 || o.stopAcknowledged):
			s.loseRun(w, run, o, "NotListed", now)
		case answered && o.phase == phaseRunning:
			w.setPhase(o, phaseStopping)
			o.sentAt, o.attempts = time.Time{}, 0
		}
	}
}

// applyRunEnd applies a reported run end unless an earlier report already contained it.
func (s *Shard) applyRunEnd(w *worker, end apworker.RunEnd, now time.Time) {
	if end.Number <= w.lastAppliedEnd {
		return
	}
	w.lastAppliedEnd = end.Number
	if o, ok := w.occupants[end.Run]; ok {
		s.observeRunEnd(w, end, o, now)
	}
	w.release(end.Run)
	fields := map[string]any{"How": end.Reason.String(), "Number": end.Number}
	s.logEvent("RunEnded", end.Run, w.info.ID, fields)
	taken := s.taskEnded(end.Run, w.info.ID, end.Reason, end.Checkpoint, now)
	// An end that changes nothing may repeat one whose record isn't stored yet, because the worker was forgotten since. So
	// every end waits for all changes of its job.
	if j := s.jobs[end.Run.Task.Job]; j != nil {
		w.pendingEnds = append(w.pendingEnds, pendingEnd{number: end.Number, job: j, changes: j.changes})
	}
	fields["Taken"], fields["Stored"] = taken, w.lastStoredEnd()
}

// applyRunStatus applies the reported status of a run that is under way.
func (s *Shard) applyRunStatus(w *worker, status apworker.RunStatus, sentAt, now time.Time) {
	o, ok := w.occupants[status.Run]
	if !ok {
		o = s.adoptOrStop(w, status, now)
	}
	o.inherited, o.unconfirmedStartAt = false, time.Time{}
	if o.sizeUnknown {
		w.unknownRuns++
	}
	if j := s.jobs[status.Run.Task.Job]; j != nil {
		j.startConfirmed = true
	}
	if o.phase == phaseOrdered {
		w.setPhase(o, phaseRunning)
		if o.answeredAt.IsZero() {
			o.answeredAt = sentAt
		}
		if o.startedAt.IsZero() {
			o.startedAt = now
		}
	}
	if status.Percent != o.percent || o.percentAt.IsZero() {
		o.percent, o.percentAt = status.Percent, now
	}
	o.usage = status.Usage
	if status.Checkpoint != "" {
		o.checkpoint = status.Checkpoint
	}
	s.updateCheckpoint(status, now)
}

// adoptOrStop handles a reported run that isn't booked on the worker: it adopts a task's current run, which an
// earlier owner started, and stops any other.
func (s *Shard) adoptOrStop(w *worker, status apworker.RunStatus, now time.Time) *occupant {
	t, step := s.task(status.Run.Task)
	o := &occupant{phase: phaseRunning, answeredAt: now, startedAt: now, percentAt: now, percent: status.Percent, checkpoint: status.Checkpoint}
	o.pace.unknown = true
	if step != nil {
		o.need = step.Reserved()
	}
	o.sizeUnknown = step == nil
	w.book(status.Run, o)
	if t != nil && !t.Done && t.Run == status.Run.Run && t.Worker == w.info.ID && !s.jobs[status.Run.Task.Job].state().Final() {
		s.logEvent("RunAdopted", status.Run, w.info.ID, nil)
		return o
	}
	w.setPhase(o, phaseStopping)
	s.logEvent("RunUnwanted", status.Run, w.info.ID, nil)
	return o
}

// OrderAnswered applies the answer to a start or stop order.
func (s *Shard) OrderAnswered(id apjob.WorkerID, run apjob.RunKey, stop bool, err error, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	o, ok := w.occupants[run]
	if !ok {
		return
	}
	if !stop {
		o.startsUnderWay = max(0, o.startsUnderWay-1)
	}
	code := apcode.Of(err)
	if code != apcode.OK {
		s.logEvent("OrderFailed", run, id, map[string]any{"Code": uint16(code), "Stop": stop, "Attempt": o.attempts, "Error": err})
	}
	switch {
	case code == apcode.PermitExpired, code == apcode.StaleFence:
		// The order was not sent, or overtaken by one under a raised fence. It is resent like an unanswered one, unless
		// another owner has taken over.
	case code == apcode.WorkerSilent:
		o.outcomeUnknown = true
	case stop:
		o.applyStopAnswer(code, now)
	case code == apcode.OK:
		s.startConfirmed(w, run, o, now)
	case code == apcode.StaleRun:
		o.answeredAt = now
		w.setPhase(o, phaseStopping)
	case o.phase != phaseOrdered, o.startsUnderWay > 0:
		// The refusal of one copy of the order says nothing about another, which has been carried out or may be.
	case o.outcomeUnknown:
		// An earlier copy of the order may still be carried out. Only a stop rules that out.
		w.setPhase(o, phaseStopping)
		o.sentAt = time.Time{}
	default:
		s.releaseRefusedRun(w, run, o, code, now)
	}
}

// startConfirmed applies the answer to a start that was carried out.
func (s *Shard) startConfirmed(w *worker, run apjob.RunKey, o *occupant, now time.Time) {
	o.answeredAt = now
	if !o.outcomeUnknown && o.startsUnderWay == 0 {
		o.unconfirmedStartAt = time.Time{}
	}
	if o.phase == phaseOrdered {
		w.setPhase(o, phaseRunning)
		o.startedAt = now
	}
	if j := s.jobs[run.Task.Job]; j != nil {
		j.startConfirmed = true
	}
}

// applyStopAnswer applies the answer to a stop. It doesn't count if no stop was sent to the worker's present process. A
// refused stop says nothing about a start.
func (o *occupant) applyStopAnswer(code apcode.Code, now time.Time) {
	acknowledged := code == apcode.OK || code == apcode.StaleRun
	if o.sentAt.IsZero() || !acknowledged {
		return
	}
	o.answeredAt = now
	o.stopAcknowledged = true
}

// releaseRefusedRun releases a run that the worker refused to start, and delays new runs on the worker.
func (s *Shard) releaseRefusedRun(w *worker, run apjob.RunKey, o *occupant, code apcode.Code, now time.Time) {
	w.release(run)
	w.retryAt = now.Add(s.options.ResendAfter)
	switch code {
	case apcode.WorkerRefused:
		w.retryAt = now.Add(s.options.MaxResend)
	case apcode.WorkerGone, apcode.WorkerChanged:
		w.lastAnswerAt = time.Time{}
	case apcode.BadTicket:
		s.dropTicket(run.Task.StepID(), w.info.ID)
	default:
	}
	s.taskEnded(run, w.info.ID, apworker.EndStopped, o.checkpoint, now)
}
