package apscheduler

import (
	"slices"
	"time"

	"auburnport/pkg/apjob"
)

// A task whose turn has come is placed if some worker could run it: one that is registered, in touch, neither draining nor
// cordoned, not denied by the advisor, and that has the label, room, and fewer tasks of the step than MaxPerWorker. Only
// this excludes a worker (possibleWorkers and couldRun). All else ranks the workers that could run the task, and at most delays it:
// a task waits up to patience for a worker that suits it better, and up to withholdTime for one that is quarantined or
// reserved for another task if it could run on no other. If it could run on others once these have room, it waits up to
// maxWithholdTime, or in a contended pool until that worker is open again.

// patience is how long a task may wait for a worker that suits it better than those that have room. It is long enough for other
// tasks to end, and a third of the time in which callers expect a task to be placed.
const patience = time.Second

// search describes the task for which a worker is chosen.
type search struct {
	id        apjob.StepID
	step      *apjob.Step
	placement *stepPlacement
	// waitsSince is when the step was first tried and tasks were left waiting.
	waitsSince time.Time
	// failedOn lists the workers on which the task has failed.
	failedOn []apjob.WorkerID
	// patientUntil is the time until which the task waits for a worker that suits it, if one may have room by then.
	patientUntil time.Time
}

// couldRun reports whether a worker could run another task of the step now.
func (q *search) couldRun(w *worker) bool {
	return w.info.Capacity.Sub(w.used).Fits(q.step.Reserved()) && q.constraintsAllow(w)
}

// constraintsAllow reports whether the step's label and its MaxPerWorker allow another task on a worker.
func (q *search) constraintsAllow(w *worker) bool {
	if q.step.Label != "" && !slices.Contains(w.info.Labels, q.step.Label) {
		return false
	}
	return q.step.MaxPerWorker == 0 || q.placement.tasksPerWorker[w.info.ID] < q.step.MaxPerWorker
}

// countIn counts the waiting tasks of the step that a worker could run in an amount of room.
func (q *search) countIn(room apjob.Resources, w *worker) int {
	if !q.constraintsAllow(w) {
		return 0
	}
	most := q.step.Count
	if q.step.MaxPerWorker > 0 {
		most = min(most, q.step.MaxPerWorker-q.placement.tasksPerWorker[w.info.ID])
	}
	n := 0
	for need := q.step.Reserved(); n < most && room.Fits(need); n++ {
		room = room.Sub(need)
	}
	return n
}

// countLater counts the tasks of the step that a worker could run once all but its long-running tasks have ended.
func (s *Shard) countLater(q *search, w *worker) int {
	room := w.info.Capacity
	for run, o := range w.occupants {
		if _, other := s.task(run.Task); other != nil && other.LongRunning {
			room = room.Sub(o.need)
		}
	}
	return q.countIn(room, w)
}

// bestWorker returns the eligible worker with the highest score among those that could run the task now, or nil. All ways of
// placing choose with it. While the task is patient, a last resort is chosen only if no possible worker is better.
func (s *Shard) bestWorker(q *search, eligible, possible []*worker, now time.Time) *worker {
	var best *worker
	var bestScore, bestPenalty float64
	for _, w := range eligible {
		if !q.couldRun(w) {
			continue
		}
		penalty := s.lastResortPenalty(q, w)
		score := s.placementScore(q.step, q.placement, w) - penalty
		if best == nil || score > bestScore {
			best, bestScore, bestPenalty = w, score, penalty
		}
	}
	if bestPenalty > 0 && now.Before(q.patientUntil) && slices.ContainsFunc(possible, func(w *worker) bool {
		return s.lastResortPenalty(q, w) == 0 && s.countLater(q, w) > 0
	}) {
		return nil
	}
	return best
}

// avoidPenalty ranks a worker below all others: one on which the task failed, or on which it would conflict with
// serving or backfill tasks. conflictPenalty is added for each backfill task there, and for a latency at its target.
const (
	avoidPenalty    = 100
	conflictPenalty = 10
)

// lastResortPenalty returns the penalty of a worker that a task uses only as a last resort, 0 for others. A backfill task that no other
// worker can run is placed beside serving ones: it is paused when their latency nears its target.
func (s *Shard) lastResortPenalty(q *search, w *worker) float64 {
	penalty := 0.0
	if s.latencyConflict(q.step, w) {
		penalty += avoidPenalty
		if q.step.Backfill {
			penalty += conflictPenalty * (s.servingLatencyRatio(w) + float64(s.countBackfill(w)+q.placement.tasksPerWorker[w.info.ID]))
		}
	}
	if slices.Contains(q.failedOn, w.info.ID) {
		penalty += avoidPenalty
	}
	return penalty
}

// setPatience sets the failures of the task to be placed, and until when it is patient. A task of a backfill step is so from when the
// step first waited, and each task that isn't long-running from when it last failed. A long-running one may fail for reasons of its own.
func (q *search) setPatience(failures taskFailures) {
	q.failedOn, q.patientUntil = failures.workers, time.Time{}
	if q.step.Backfill {
		q.patientUntil = q.waitsSince.Add(patience)
	}
	if until := failures.last.Add(patience); !q.step.LongRunning && until.After(q.patientUntil) {
		q.patientUntil = until
	}
}

// taskFailures tells on which workers a task has failed, and when it last did.
type taskFailures struct {
	workers []apjob.WorkerID
	last    time.Time
}

// addFailure records that a task failed on a worker.
func (j *job) addFailure(id apjob.TaskID, workerID apjob.WorkerID, now time.Time) {
	if j.failures == nil {
		j.failures = make(map[apjob.TaskID]taskFailures)
	}
	failures := j.failures[id]
	if !slices.Contains(failures.workers, workerID) {
		failures.workers = append(failures.workers, workerID)
	}
	failures.last = now
	j.failures[id] = failures
}

// failuresOf returns the workers on which waiting tasks of a step have failed.
func (s *Shard) failuresOf(c *candidate, tasks []apjob.Task) []apjob.WorkerID {
	if len(c.job.failures) == 0 {
		return nil
	}
	var workers []apjob.WorkerID
	for k := range tasks {
		if !tasks[k].Done && tasks[k].Worker == "" {
			workers = append(workers, c.job.failures[apjob.TaskID{Job: c.job.def.ID, Occurrence: c.occurrence, Step: c.step, Index: k}].workers...)
		}
	}
	return workers
}

// waitsSince returns when a step with waiting tasks was first tried, or one of these ended before that: the delay of its restart
// counts as waiting.
func (j *job) waitsSince(id apjob.StepID, tasks []apjob.Task, now time.Time) time.Time {
	if since, known := j.waits[id]; known {
		return since
	}
	if j.waits == nil {
		j.waits = make(map[apjob.StepID]time.Time)
	}
	since := now
	if len(j.restarts) > 0 {
		for k := range tasks {
			last, ended := j.restarts[j.restartKey(id.Task(k))]
			if ended && tasks[k].Worker == "" && last.endedAt.Before(since) {
				since = last.endedAt
			}
		}
	}
	j.waits[id] = since
	return since
}
