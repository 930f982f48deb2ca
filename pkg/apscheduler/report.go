package apscheduler

import (
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Report applies a worker's report. sentAt is when the question went out.
func (s *Shard) Report(id apjob.WorkerID, report apworker.Report, sentAt, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	s.checkLife(w, report.Born, now)
	first := !w.reached
	w.reached = true
	w.lastOK = now
	w.clock, w.clockAt = report.Clock, now
	if first {
		// An earlier owner may have extended the lease as far as this.
		w.leaseEnd = report.Clock + s.options.MaxLease
	}
	listed := make(map[apjob.RunKey]bool, len(report.Running)+len(report.Ended))
	for _, ended := range report.Ended {
		listed[ended.Run] = true
		s.applyEnd(w, ended, now)
	}
	w.foreign = 0
	for _, running := range report.Running {
		if !listed[running.Run] {
			listed[running.Run] = true
			s.applyRunning(w, running, sentAt, now)
		}
	}
	s.dropUnlisted(w, listed, first, sentAt, now)
}

// checkLife ends what ran in an earlier life of the worker.
func (s *Shard) checkLife(w *worker, born, now time.Time) {
	if born.IsZero() {
		return
	}
	if !w.info.Born.IsZero() && !born.Equal(w.info.Born) {
		s.reborn(w, born, now)
	}
	w.info.Born = born
}

// dropUnlisted frees the runs that a report should have listed and that can't start any more: all of
// them in the first report under a new fence, else those whose orders were answered before the
// question went out.
func (s *Shard) dropUnlisted(w *worker, listed map[apjob.RunKey]bool, first bool, sentAt, now time.Time) {
	for run, o := range w.occupants {
		if listed[run] || o.phase == phasePlanned {
			continue
		}
		answered := !o.answeredAt.IsZero() && o.answeredAt.Before(sentAt)
		if first || answered && (!o.silent || o.stopAnswered) {
			s.lost(w, run, o, "NotListed", now)
		}
	}
}

func (s *Shard) applyEnd(w *worker, ended apworker.Ended, now time.Time) {
	if ended.Number <= w.applied {
		return
	}
	w.applied = ended.Number
	if o, ok := w.occupants[ended.Run]; ok {
		s.observe(w, ended, o, now)
	}
	w.release(ended.Run)
	s.log("RunEnded", ended.Run, w.info.ID, map[string]any{"How": ended.How.String(), "Number": ended.Number})
	if s.taskEnded(ended.Run, w.info.ID, ended.How, ended.Checkpoint, now) {
		end := pendingEnd{worker: w.info.ID, number: ended.Number}
		w.pending = append(w.pending, end)
		j := s.jobs[ended.Run.Task.Job]
		j.ends = append(j.ends, end)
	}
	s.advance(w)
}

// advance raises the number of the last end that is stored with all before it.
func (s *Shard) advance(w *worker) {
	w.stored = w.applied
	for _, end := range w.pending {
		w.stored = min(w.stored, end.number-1)
	}
}

func (s *Shard) applyRunning(w *worker, running apworker.Running, sentAt, now time.Time) {
	o, ok := w.occupants[running.Run]
	if !ok {
		o = s.adopt(w, running, now)
	}
	if o.unknown {
		w.foreign++
	}
	if j := s.jobs[running.Run.Task.Job]; j != nil {
		j.started = true
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
	s.taskRunning(running, now)
}

// adopt takes over a run that an earlier owner started, or stops one that is not wanted.
func (s *Shard) adopt(w *worker, running apworker.Running, now time.Time) *occupant {
	t, step := s.task(running.Run.Task)
	o := &occupant{phase: phaseRunning, answeredAt: now, startedAt: now, percentAt: now, percent: running.Percent, checkpoint: running.Checkpoint}
	if step != nil {
		o.need = step.Booked()
	}
	o.unknown = step == nil
	w.book(running.Run, o)
	if t != nil && !t.Done && t.Run == running.Run.Run && t.Worker == w.info.ID && !s.jobs[running.Run.Task.Job].state().Final() {
		s.log("RunAdopted", running.Run, w.info.ID, nil)
		return o
	}
	w.setPhase(o, phaseStopping)
	s.log("RunUnwanted", running.Run, w.info.ID, nil)
	return o
}

// Answered applies the answer to a start or a stop.
func (s *Shard) Answered(id apjob.WorkerID, run apjob.RunKey, stop bool, err error, now time.Time) {
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
		s.log("OrderFailed", run, id, map[string]any{"Code": uint16(code), "Stop": stop, "Attempt": o.attempts, "Error": err})
	}
	switch {
	case code == apcode.PermitExpired:
		// Not sent: sent again like an order without an answer, unless a successor has taken over.
	case code == apcode.WorkerSilent:
		o.silent = true
	case stop:
		o.answeredAt = now
		o.stopAnswered = o.stopAnswered || code == apcode.OK || code == apcode.StaleRun
	case code == apcode.OK:
		o.answeredAt = now
		if o.phase == phaseOrdered {
			w.setPhase(o, phaseRunning)
			o.startedAt = now
		}
		if j := s.jobs[run.Task.Job]; j != nil {
			j.started = true
		}
	case code == apcode.StaleRun:
		o.answeredAt = now
		w.setPhase(o, phaseStopping)
	case o.silent:
		// An earlier copy of the order may still be carried out: only a stop rules that out.
		w.setPhase(o, phaseStopping)
		o.sentAt = time.Time{}
	default:
		s.refused(w, run, o, code, now)
	}
}

// refused frees a run that the worker did not start.
func (s *Shard) refused(w *worker, run apjob.RunKey, o *occupant, code apcode.Code, now time.Time) {
	w.release(run)
	w.retryAt = now.Add(s.options.ResendAfter)
	switch code {
	case apcode.WorkerRefused:
		w.retryAt = now.Add(s.options.MaxResend)
	case apcode.WorkerGone, apcode.WorkerChanged:
		w.lastOK = time.Time{}
	default:
	}
	s.taskEnded(run, w.info.ID, apworker.EndStopped, o.checkpoint, now)
}
