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
	s.checkRestart(w, report.Born, now)
	first := !w.hasReported
	w.hasReported = true
	w.lastAnswerAt = now
	w.clock, w.clockReadAt = report.Clock, now
	if first {
		// A previous owner may have extended the lease up to this time.
		w.leaseEnd = report.Clock + s.options.MaxLease
	}
	listed := make(map[apjob.RunKey]bool, len(report.Running)+len(report.Ended))
	for _, ended := range report.Ended {
		listed[ended.Run] = true
		s.applyRunEnd(w, ended, now)
	}
	w.unknownRuns = 0
	for _, running := range report.Running {
		if !listed[running.Run] {
			listed[running.Run] = true
			s.applyRunStatus(w, running, sentAt, now)
		}
	}
	s.dropUnlistedRuns(w, listed, first, sentAt, now)
}

// checkRestart detects a restart of the worker by its start time, and drops the runs from before it.
func (s *Shard) checkRestart(w *worker, born, now time.Time) {
	if born.IsZero() {
		return
	}
	if !w.info.Born.IsZero() && !born.Equal(w.info.Born) {
		s.applyRestart(w, born, now)
	}
	w.info.Born = born
}

// dropUnlistedRuns releases the runs that are missing from a report and can't start any more. In the first report
// to this owner those are all missing runs; later, those whose orders were answered before the report was
// requested.
func (s *Shard) dropUnlistedRuns(w *worker, listed map[apjob.RunKey]bool, first bool, sentAt, now time.Time) {
	for run, o := range w.occupants {
		if listed[run] || o.phase == phasePlanned {
			continue
		}
		answered := !o.answeredAt.IsZero() && o.answeredAt.Before(sentAt)
		if first || answered && (!o.outcomeUnknown || o.stopAcknowledged) {
			s.loseRun(w, run, o, "NotListed", now)
		}
	}
}

// applyRunEnd applies a reported run end unless an earlier report already contained it.
func (s *Shard) applyRunEnd(w *worker, ended apworker.Ended, now time.Time) {
	if ended.Number <= w.lastAppliedEnd {
		return
	}
	w.lastAppliedEnd = ended.Number
	if o, ok := w.occupants[ended.Run]; ok {
		s.observeRunEnd(w, ended, o, now)
	}
	w.release(ended.Run)
	s.logEvent("RunEnded", ended.Run, w.info.ID, map[string]any{"How": ended.How.String(), "Number": ended.Number})
	if s.taskEnded(ended.Run, w.info.ID, ended.How, ended.Checkpoint, now) {
		end := unstoredEnd{worker: w.info.ID, number: ended.Number}
		w.unstoredEnds = append(w.unstoredEnds, end)
		j := s.jobs[ended.Run.Task.Job]
		j.unstoredEnds = append(j.unstoredEnds, end)
	}
	s.updateStoredEnd(w)
}

// updateStoredEnd advances lastStoredEnd to the last run end up to which all ends are stored.
func (s *Shard) updateStoredEnd(w *worker) {
	w.lastStoredEnd = w.lastAppliedEnd
	for _, end := range w.unstoredEnds {
		w.lastStoredEnd = min(w.lastStoredEnd, end.number-1)
	}
}

// applyRunStatus applies the reported status of a run that is under way.
func (s *Shard) applyRunStatus(w *worker, running apworker.Running, sentAt, now time.Time) {
	o, ok := w.occupants[running.Run]
	if !ok {
		o = s.adoptOrStop(w, running, now)
	}
	if o.sizeUnknown {
		w.unknownRuns++
	}
	if j := s.jobs[running.Run.Task.Job]; j != nil {
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
	if running.Percent != o.percent || o.percentAt.IsZero() {
		o.percent, o.percentAt = running.Percent, now
	}
	o.usage = running.Usage
	if running.Checkpoint != "" {
		o.checkpoint = running.Checkpoint
	}
	s.updateCheckpoint(running, now)
}

// adoptOrStop handles a reported run that isn't booked on the worker: it adopts a task's current run, which an
// earlier owner started, and stops any other.
func (s *Shard) adoptOrStop(w *worker, running apworker.Running, now time.Time) *occupant {
	t, step := s.task(running.Run.Task)
	o := &occupant{phase: phaseRunning, answeredAt: now, startedAt: now, percentAt: now, percent: running.Percent, checkpoint: running.Checkpoint}
	if step != nil {
		o.need = step.Reserved()
	}
	o.sizeUnknown = step == nil
	w.book(running.Run, o)
	if t != nil && !t.Done && t.Run == running.Run.Run && t.Worker == w.info.ID && !s.jobs[running.Run.Task.Job].state().Final() {
		s.logEvent("RunAdopted", running.Run, w.info.ID, nil)
		return o
	}
	w.setPhase(o, phaseStopping)
	s.logEvent("RunUnwanted", running.Run, w.info.ID, nil)
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
	code := apcode.Of(err)
	if code != apcode.OK {
		s.logEvent("OrderFailed", run, id, map[string]any{"Code": uint16(code), "Stop": stop, "Attempt": o.attempts, "Error": err})
	}
	switch {
	case code == apcode.PermitExpired:
		// The order was not sent. It is resent like an unanswered one, unless another owner has taken over.
	case code == apcode.WorkerSilent:
		o.outcomeUnknown = true
	case stop:
		o.answeredAt = now
		o.stopAcknowledged = o.stopAcknowledged || code == apcode.OK || code == apcode.StaleRun
	case code == apcode.OK:
		o.answeredAt = now
		if o.phase == phaseOrdered {
			w.setPhase(o, phaseRunning)
			o.startedAt = now
		}
		if j := s.jobs[run.Task.Job]; j != nil {
			j.startConfirmed = true
		}
	case code == apcode.StaleRun:
		o.answeredAt = now
		w.setPhase(o, phaseStopping)
	case o.outcomeUnknown:
		// An earlier copy of the order may still be carried out. Only a stop rules that out.
		w.setPhase(o, phaseStopping)
		o.sentAt = time.Time{}
	default:
		s.releaseRefusedRun(w, run, o, code, now)
	}
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
	default:
	}
	s.taskEnded(run, w.info.ID, apworker.EndStopped, o.checkpoint, now)
}
