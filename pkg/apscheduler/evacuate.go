package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// readyPercent is the progress that a long-running task reports once it is up and working.
const readyPercent = 100

// stopReportDelay is the longest time between the end of a stopped run and the arrival of its report. Until
// StopTime plus this delay has passed, a new owner evacuates no task from a cordoned worker that isn't draining: a
// run that the previous owner is stopping can't be told from one that keeps working.
const stopReportDelay = time.Second

// Reasons why a task on a draining or cordoned worker is not evacuated yet, as logged.
const (
	waitNoRoom           = "NoRoom"
	waitTasksUnavailable = "TasksAway"
)

// reserveDivisor limits the reservations for evacuated tasks to this fraction (1/reserveDivisor) of the
// eligible workers.
const reserveDivisor = 8

// evacuate stops long-running tasks on draining and cordoned workers so that they restart elsewhere. Other
// tasks run to completion. A task is stopped only when another worker has room for it and, unless its worker
// is draining, only within the step's MaxUnavailable.
//
// It reserves workers for tasks that found no room: during a burst, smaller tasks would otherwise take all freed
// capacity and the worker would never become empty. Cordoned workers are evacuated in the order in which they were
// cordoned, so that the first ones are empty soon.
func (s *Shard) evacuate(pool *workerPool, now time.Time) {
	reservable := (len(pool.open) + reserveDivisor - 1) / reserveDivisor
	for _, w := range s.workersToEvacuate() {
		for _, run := range w.longRunningRuns(s) {
			reserved := s.evacuateRun(w, run, pool.open, now)
			if reserved != nil && reservable > 0 {
				reservable--
				s.reserve(pool, run.Task.StepID(), []*worker{reserved}, now)
			}
		}
	}
}

// workersToEvacuate returns the draining and cordoned workers that have runs: draining ones first, then
// cordoned ones in the order in which they were cordoned.
func (s *Shard) workersToEvacuate() []*worker {
	var workers []*worker
	for _, w := range s.workers {
		if len(w.occupants) > 0 && s.drainingOrCordoned(w) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(apfleet.CompareBool(b.info.Draining, a.info.Draining), cmp.Compare(s.cordoned[a.info.ID], s.cordoned[b.info.ID]), cmp.Compare(a.info.ID, b.info.ID))
	})
	return workers
}

// longRunningRuns returns the confirmed runs of long-running tasks on a worker, in a deterministic order.
func (w *worker) longRunningRuns(s *Shard) []apjob.RunKey {
	var runs []apjob.RunKey
	for run, o := range w.occupants {
		if o.phase != phaseRunning {
			continue
		}
		if t, step := s.task(run.Task); t != nil && step.LongRunning && t.Run == run.Run {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, b apjob.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run),
	)
}

// evacuateRun stops a run of a long-running task if it can be moved now. If no worker has room for the task,
// it returns the open worker to reserve for it.
func (s *Shard) evacuateRun(w *worker, run apjob.RunKey, open []*worker, now time.Time) *worker {
	t, step := s.task(run.Task)
	j := s.jobs[run.Task.Job]
	tasks := j.occurrence(run.Task.Occurrence).Steps[run.Task.Step]
	if !w.info.Draining && now.Sub(s.firstPlanAt) < s.options.StopTime+stopReportDelay {
		return nil
	}
	if unavailable := s.countUnavailable(run.Task, tasks, now); !w.info.Draining && unavailable >= max(1, step.MaxUnavailable) {
		s.logEvacuationWait(w, run, waitTasksUnavailable, unavailable)
		return nil
	}
	q := &search{id: run.Task.StepID(), step: step, placement: s.placementOf(j, run.Task.Occurrence, run.Task.Step, tasks)}
	possible := s.withoutDenied(q.id, open)
	if s.bestWorker(q, s.workersWithTickets(j, q, 1, possible, now), possible, now) == nil {
		s.logEvacuationWait(w, run, waitNoRoom, len(open))
		return s.mostFreeWorker(q, possible)
	}
	s.logEvent("TaskEvacuated", run, w.info.ID, map[string]any{"Draining": w.info.Draining, "MaxUnavailable": step.MaxUnavailable})
	s.stopTask(run.Task, t, now)
	return nil
}

// logEvacuationWait logs why a task is not evacuated yet, each time the reason changes.
func (s *Shard) logEvacuationWait(w *worker, run apjob.RunKey, reason string, count int) {
	if o := w.occupants[run]; o != nil && o.evacuationWait != reason {
		o.evacuationWait = reason
		s.logEvent("EvacuationWaits", run, w.info.ID, map[string]any{"Why": reason, "Count": count})
	}
}

// countUnavailable counts the tasks of a long-running step that are unavailable, apart from the one given.
func (s *Shard) countUnavailable(id apjob.TaskID, tasks []apjob.Task, now time.Time) int {
	unavailable := 0
	for k := range tasks {
		if k != id.Index && !s.taskAvailable(apjob.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: k}, &tasks[k], now) {
			unavailable++
		}
	}
	return unavailable
}

// taskAvailable reports whether a long-running task was working at the last report and can be expected to
// continue. It can't on an unresponsive worker, which may be down, or on a draining one, which will stop it.
func (s *Shard) taskAvailable(id apjob.TaskID, t *apjob.Task, now time.Time) bool {
	w := s.workers[t.Worker]
	if t.Worker == "" || w == nil || w.info.Draining || now.Sub(w.lastAnswerAt) > s.options.MaxSilence {
		return false
	}
	o := w.occupants[apjob.RunKey{Task: id, Run: t.Run}]
	return o != nil && o.phase == phaseRunning && o.percent >= readyPercent
}

// HasWorkers reports whether a worker is registered for the shard's pool.
func (s *Shard) HasWorkers() bool {
	for _, w := range s.workers {
		if w.registered {
			return true
		}
	}
	return false
}
