package apscheduler

import (
	"slices"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// deferredJob is a job whose progress is queued for storing at storeAt, unless it is stored earlier for
// another reason.
type deferredJob struct {
	id      apjob.ID
	storeAt time.Time
}

// maxEndDelayPerWorker, multiplied by the number of workers, is how long the end of a run may stay unstored
// when nothing depends on it. During a burst on a large pool, this lets many ends of one step share a record.
// It is shorter than endedPollDelayPerWorker of apowner, so that an end is usually stored before the next poll,
// which then acknowledges it.
const maxEndDelayPerWorker = 300 * time.Microsecond

// deferRecord schedules a job's changed progress to be stored later, so that further changes share the record.
func (s *Shard) deferRecord(j *job, now time.Time) {
	j.changes++
	if !j.recordQueued && !j.recordDeferred {
		j.recordDeferred = true
		s.deferredRecords = append(s.deferredRecords, deferredJob{id: j.def.ID, storeAt: now.Add(time.Duration(len(s.workers)) * maxEndDelayPerWorker)})
	}
}

// queueEndRecord schedules the end of a run to be stored: after a delay if the run succeeded and its step has
// tasks left, otherwise in the next batch. A long-running task waits for its restart.
func (s *Shard) queueEndRecord(j *job, id apjob.TaskID, reason apworker.EndReason, now time.Time) {
	if reason == apworker.EndDone && !j.def.Steps[id.Step].LongRunning && !j.occurrence(id.Occurrence).StepDone(id.Step) {
		s.deferRecord(j, now)
		return
	}
	s.queueRecord(j)
}

// queueDueRecords queues the deferred records whose delay has passed.
func (s *Shard) queueDueRecords(now time.Time) {
	n := 0
	for ; n < len(s.deferredRecords) && !now.Before(s.deferredRecords[n].storeAt); n++ {
		if j := s.jobs[s.deferredRecords[n].id]; j != nil && j.recordDeferred {
			s.enqueueRecord(j)
		}
	}
	s.deferredRecords = s.deferredRecords[n:]
}

// queueRecord schedules a job's changed progress to be stored in the next batches.
func (s *Shard) queueRecord(j *job) {
	j.changes++
	s.enqueueRecord(j)
}

// enqueueRecord adds a job to those whose progress is stored in the next batches.
func (s *Shard) enqueueRecord(j *job) {
	j.recordDeferred = false
	if !j.recordQueued {
		j.recordQueued = true
		s.queuedRecords = append(s.queuedRecords, j.def.ID)
	}
}

// HasBatch reports whether NextBatch has records to store.
func (s *Shard) HasBatch() bool { return len(s.queuedRecords) > 0 }

// NextBatch removes and returns the oldest queued records. Call BatchStored with the batch once it is in the
// store. Batches must be stored in the order in which they were returned.
func (s *Shard) NextBatch() Batch {
	var batch Batch
	n, entries := 0, 0
	for _, id := range s.queuedRecords {
		j := s.jobs[id]
		record := j.newRecord()
		if entries += record.Entries(); entries > s.options.BatchEntries {
			break
		}
		n++
		j.recordQueued = false
		batch.Records = append(batch.Records, record)
		batch.plannedRuns = append(batch.plannedRuns, j.plannedRuns...)
		j.plannedRuns = nil
	}
	s.queuedRecords = s.queuedRecords[n:]
	return batch
}

// Entries returns the number of store entries that the record adds to a transaction.
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

// newRecord returns a record with a copy of the job's progress. The occurrences of a retired job are left
// out.
func (j *job) newRecord() Record {
	copied := j.progress
	copied.Finished = slices.Clone(j.progress.Finished)
	copied.Occurrences = nil
	if j.unstorable {
		copied.Finished = nil
		return Record{Job: j.def.ID, Progress: copied, Retired: j.assignedTasks == 0, job: j, changes: j.changes}
	}
	for _, occurrence := range j.progress.Occurrences {
		if j.state().Final() && j.assignedTasks == 0 {
			break
		}
		steps := make([][]apjob.Task, len(occurrence.Steps))
		for n := range occurrence.Steps {
			steps[n] = slices.Clone(occurrence.Steps[n])
		}
		copied.Occurrences = append(copied.Occurrences, apjob.Occurrence{Number: occurrence.Number, Steps: steps})
	}
	return Record{Job: j.def.ID, Progress: copied, Retired: j.state().Final() && j.assignedTasks == 0, job: j, changes: j.changes}
}

// Without returns the batch without the records of some jobs and the runs that wait for these.
func (b Batch) Without(jobs map[apjob.ID]bool) Batch {
	var rest Batch
	for _, record := range b.Records {
		if !jobs[record.Job] {
			rest.Records = append(rest.Records, record)
		}
	}
	for _, planned := range b.plannedRuns {
		if !jobs[planned.run.Task.Job] {
			rest.plannedRuns = append(rest.plannedRuns, planned)
		}
	}
	return rest
}

// RecordRefused ends a job whose record the store doesn't take, and stops its running tasks. Its next records hold only its
// state. If one of these is refused too, the job isn't stored any more.
func (s *Shard) RecordRefused(id apjob.ID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.unstorable {
		return
	}
	j.unstorable = true
	if j.state().Final() {
		s.queueRecord(j)
		return
	}
	s.finishJob(j, apjob.Failed, now)
}

// BatchStored records that a batch is in the store. From then on its run ends are acknowledged to the workers and
// its planned runs may be started. revision is that of the write. It is a fencing token that is higher than those of earlier
// orders and lower than those of later owners, whose claims come after it.
func (s *Shard) BatchStored(batch Batch, revision apstore.Revision) {
	s.setNewestFence(uint64(revision))
	for _, record := range batch.Records {
		record.job.storedChanges = record.changes
	}
	for _, p := range batch.plannedRuns {
		if w, ok := s.workers[p.worker]; ok {
			if o, ok := w.occupants[p.run]; ok && o.phase == phasePlanned {
				w.setPhase(o, phaseOrdered)
			}
		}
	}
}
