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

// Load describes the demand on the shard's pool.
type Load struct {
	// LongRunning counts the long-running tasks on each worker.
	LongRunning map[apjob.WorkerID]int
	// ReservedCPU is the CPU reserved on each usable worker, in thousandths of a core. If a larger share of the
	// worker's memory or accelerators is reserved, it is that share of the worker's CPU.
	ReservedCPU map[apjob.WorkerID]int64
	// QueuedWork is the estimated work of the tasks that wait for room, in thousandths of a core-second.
	QueuedWork int64
	// WidestStep is the largest number of workers that any long-running step needs because of its MaxPerWorker.
	WidestStep int
	// Unplaced counts the long-running tasks that wait for a worker with room, including those still running
	// on a draining or cordoned worker, and the steps that wait for one without long-running tasks.
	Unplaced int
	// Labels are those that unfinished jobs require of workers, sorted. MissingLabels are those of them for which tasks wait and
	// that no worker in touch has, sorted.
	Labels, MissingLabels []string
}

// PoolLoad returns the current demand on the shard's pool.
func (s *Shard) PoolLoad(now time.Time) Load {
	load := Load{LongRunning: make(map[apjob.WorkerID]int), ReservedCPU: make(map[apjob.WorkerID]int64)}
	rooms := make([]lastingRoom, 0, len(s.workers))
	for id, w := range s.workers {
		if !w.registered {
			continue
		}
		if s.usable(w, now) {
			load.ReservedCPU[id] = dominantCPU(w.used, w.info.Capacity)
		}
		room := w.info.Capacity
		for run, o := range w.occupants {
			_, step := s.task(run.Task)
			if step == nil || !step.LongRunning {
				continue
			}
			room = room.Sub(o.need)
			load.LongRunning[id]++
			if o.evacuationWait == waitNoRoom && s.drainingOrCordoned(w) {
				load.Unplaced++
			}
		}
		if s.inTouch(w, now) {
			rooms = append(rooms, lastingRoom{worker: w, room: room})
		}
	}
	capacity := s.totalCapacity(now)
	for _, j := range s.active {
		s.addJobLoad(j, &load, capacity, rooms, now)
	}
	load.Labels, load.MissingLabels = sortedUnique(load.Labels), sortedUnique(load.MissingLabels)
	return load
}

func sortedUnique(labels []string) []string {
	slices.Sort(labels)
	return slices.Compact(labels)
}

// totalCapacity returns the summed capacity of all usable workers.
func (s *Shard) totalCapacity(now time.Time) apjob.Resources {
	var sum apjob.Resources
	for _, w := range s.workers {
		if s.usable(w, now) {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}

// dominantCPU returns the CPU equivalent of the dominant resource: r's largest share of any resource in
// capacity, expressed as CPU.
func dominantCPU(r, capacity apjob.Resources) int64 {
	cpu := r.CPU
	if capacity.Memory > 0 {
		cpu = max(cpu, r.Memory*capacity.CPU/capacity.Memory)
	}
	if capacity.GPU > 0 {
		cpu = max(cpu, r.GPU*capacity.CPU/capacity.GPU)
	}
	return cpu
}

// lastingRoom is the room on a worker beside its long-running tasks, once all others have ended.
type lastingRoom struct {
	worker *worker
	room   apjob.Resources
}

// fitsEmpty reports whether a task of a step could run on the worker if that were empty.
func (r lastingRoom) fitsEmpty(step *apjob.Step) bool {
	q := search{step: step, placement: &stepPlacement{}}
	return r.worker.info.Capacity.Fits(step.Reserved()) && q.constraintsAllow(r.worker)
}

// anyHasLabel reports whether a worker has a label.
func anyHasLabel(rooms []lastingRoom, label string) bool {
	return slices.ContainsFunc(rooms, func(r lastingRoom) bool { return slices.Contains(r.worker.info.Labels, label) })
}

// isCrowdedOut reports whether a task of a step fits on no worker beside the long-running tasks, but would on an empty one. The
// room that it waits for doesn't come by itself.
func isCrowdedOut(step *apjob.Step, rooms []lastingRoom) bool {
	fitsEmpty := false
	for _, r := range rooms {
		if !r.fitsEmpty(step) {
			continue
		}
		if r.room.Fits(step.Reserved()) {
			return false
		}
		fitsEmpty = true
	}
	return fitsEmpty
}

// addJobLoad adds the demand of a job's waiting tasks to load.
func (s *Shard) addJobLoad(j *job, load *Load, capacity apjob.Resources, rooms []lastingRoom, now time.Time) {
	for i := range j.progress.Occurrences {
		occurrence := &j.progress.Occurrences[i]
		for n, tasks := range occurrence.Steps {
			step := &j.def.Steps[n]
			waiting := countWaiting(tasks)
			if step.Label != "" && !occurrence.StepDone(n) {
				load.Labels = append(load.Labels, step.Label)
				if waiting > 0 && occurrence.Ready(j.def, n) && !anyHasLabel(rooms, step.Label) {
					load.MissingLabels = append(load.MissingLabels, step.Label)
				}
			}
			if step.LongRunning {
				load.Unplaced += waiting - j.countDelayed(occurrence, n, now)
				if step.MaxPerWorker > 0 {
					load.WidestStep = max(load.WidestStep, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
				}
				continue
			}
			if waiting > 0 && isCrowdedOut(step, rooms) && occurrence.Ready(j.def, n) {
				load.Unplaced++
			}
			load.QueuedWork += int64(float64(waiting) * s.estimate(j.def, step).Seconds() * float64(dominantCPU(step.Reserved(), capacity)))
		}
	}
}
