package apscheduler

import (
	"slices"

	"auburnport/pkg/apjob"
)

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
