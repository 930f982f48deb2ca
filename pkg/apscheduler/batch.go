package apscheduler

import (
	"slices"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// deferredJob is a job whose progress is to be stored at a time, unless it was stored before.
type deferredJob struct {
	id apjob.ID
	at time.Time
}

// endShare times the number of workers is how long the end of a task may wait to be stored when nothing
// depends on it: on a large pool under a burst the ends of one step share a record. It is less than the time
// after which a worker is asked again.
const endShare = 300 * time.Microsecond

// markDeferred makes a job's progress be stored in a while.
func (s *Shard) markDeferred(j *job, now time.Time) {
	if !j.dirty && !j.deferred {
		j.deferred = true
		s.deferred = append(s.deferred, deferredJob{id: j.def.ID, at: now.Add(time.Duration(len(s.workers)) * endShare)})
	}
}

// markEnd makes the end of a task be stored: at once when it failed or completed a step.
func (s *Shard) markEnd(j *job, id apjob.TaskID, how apworker.How, now time.Time) {
	if how == apworker.EndDone && !j.occurrence(id.Occurrence).StepDone(id.Step) {
		s.markDeferred(j, now)
		return
	}
	s.markDirty(j)
}

// enqueueDeferred makes the deferred records due whose time has come.
func (s *Shard) enqueueDeferred(now time.Time) {
	n := 0
	for ; n < len(s.deferred) && !now.Before(s.deferred[n].at); n++ {
		if j := s.jobs[s.deferred[n].id]; j != nil && j.deferred {
			s.markDirty(j)
		}
	}
	s.deferred = s.deferred[n:]
}

func (s *Shard) markDirty(j *job) {
	j.deferred = false
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j.def.ID)
	}
}

// BatchDue reports whether records wait to be stored.
func (s *Shard) BatchDue() bool { return len(s.dirty) > 0 }

// NextBatch returns the oldest records that wait to be stored. Pass it to Stored when it
// is in the store; no other batch may be stored before.
func (s *Shard) NextBatch() Batch {
	var batch Batch
	n, entries := 0, 0
	for _, id := range s.dirty {
		j := s.jobs[id]
		record := j.record()
		if entries += record.Entries(); entries > s.options.BatchEntries {
			break
		}
		n++
		j.dirty = false
		batch.Records = append(batch.Records, record)
		batch.planned = append(batch.planned, j.planned...)
		j.planned = nil
		batch.ends = append(batch.ends, j.ends...)
		j.ends = nil
	}
	s.dirty = s.dirty[n:]
	return batch
}

// Entries returns the number of entries that the record takes in a transaction.
func (r Record) Entries() int {
	switch {
	case !r.Retired:
		return 1
	case r.Progress.State == apjob.Cancelled:
		return 3
	default:
		return 2
	}
}

// record copies the job's progress.
func (j *job) record() Record {
	copied := j.progress
	copied.Finished = slices.Clone(j.progress.Finished)
	copied.Occurrences = nil
	for _, occurrence := range j.progress.Occurrences {
		if j.state().Final() && j.running == 0 {
			break
		}
		steps := make([][]apjob.Task, len(occurrence.Steps))
		for n := range occurrence.Steps {
			steps[n] = slices.Clone(occurrence.Steps[n])
		}
		copied.Occurrences = append(copied.Occurrences, apjob.Occurrence{Number: occurrence.Number, Steps: steps})
	}
	return Record{Job: j.def.ID, Progress: copied, Retired: j.state().Final() && j.running == 0}
}

// Stored notes that a batch is in the store: its ends may be forgotten by the workers, and its runs
// may be ordered.
func (s *Shard) Stored(batch Batch) {
	for _, end := range batch.ends {
		if w, ok := s.workers[end.worker]; ok {
			w.pending = slices.DeleteFunc(w.pending, func(p pendingEnd) bool { return p == end })
			s.advance(w)
		}
	}
	for _, p := range batch.planned {
		if w, ok := s.workers[p.worker]; ok {
			if o, ok := w.occupants[p.run]; ok && o.phase == phasePlanned {
				w.setPhase(o, phaseOrdered)
			}
		}
	}
}
