package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// allAtWork is the progress of a long-running task that is at work.
const allAtWork = 100

// oldStops is how long after a run has stopped its end may still be on its way. A successor stops nothing
// on sound workers before, for a run that its predecessor is stopping looks like one at work.
const oldStops = time.Second

// Why a task on a leaving worker is not evacuated yet.
const (
	waitsRoom  = "NoRoom"
	waitsTasks = "TasksAway"
)

// maxReserving is the part of the open workers, as a divisor, that evacuations may reserve.
const maxReserving = 8

// evacuate stops long-running tasks on workers that leave or are cordoned, so that they go on
// elsewhere. Other tasks run to their end. On a sound worker a task is stopped only while the step
// can do without it and there is room for it. It returns the open workers less those that are reserved for
// tasks that found no room: under a burst smaller tasks take what is freed, and the worker would never be
// emptied. Workers are emptied in the order in which that was asked for, so that the first are ready soon.
func (s *Shard) evacuate(open []*worker, now time.Time) []*worker {
	reserving := (len(open) + maxReserving - 1) / maxReserving
	for _, w := range s.leavingWorkers() {
		for _, run := range w.lastingRuns(s) {
			reserved := s.evacuateRun(w, run, open, now)
			if reserved != nil && reserving > 0 {
				reserving--
				open = without(open, reserved)
			}
		}
	}
	return open
}

// leavingWorkers returns the workers that drain or are cordoned and hold runs; those that leave by
// themselves come first.
func (s *Shard) leavingWorkers() []*worker {
	var leaving []*worker
	for _, w := range s.workers {
		if len(w.occupants) > 0 && s.leaving(w) {
			leaving = append(leaving, w)
		}
	}
	slices.SortFunc(leaving, func(a, b *worker) int {
		return cmp.Or(apfleet.CompareBool(b.info.Draining, a.info.Draining), cmp.Compare(s.cordoned[a.info.ID], s.cordoned[b.info.ID]), cmp.Compare(a.info.ID, b.info.ID))
	})
	return leaving
}

// lastingRuns returns the long-running tasks that are at work on a worker, in a fixed order.
func (w *worker) lastingRuns(s *Shard) []apjob.RunKey {
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

// evacuateRun stops a long-running task whose step can do without it. It returns a worker to be reserved
// when the task finds no room.
func (s *Shard) evacuateRun(w *worker, run apjob.RunKey, open []*worker, now time.Time) *worker {
	t, step := s.task(run.Task)
	j := s.jobs[run.Task.Job]
	tasks := j.occurrence(run.Task.Occurrence).Steps[run.Task.Step]
	if !w.info.Draining && now.Sub(s.since) < s.options.StopTime+oldStops {
		return nil
	}
	if away := s.away(run.Task, tasks, now); !w.info.Draining && away >= max(1, step.MaxUnavailable) {
		s.evacuationWaits(w, run, waitsTasks, away)
		return nil
	}
	use := s.stepUse(j, run.Task.Occurrence, run.Task.Step, tasks)
	if s.choose(step, use, open, nil) == nil {
		s.evacuationWaits(w, run, waitsRoom, len(open))
		return s.roomiest(step, use, open)
	}
	s.log("TaskEvacuated", run, w.info.ID, map[string]any{"Draining": w.info.Draining, "MaxUnavailable": step.MaxUnavailable})
	s.stopTask(run.Task, t, now)
	return nil
}

// evacuationWaits logs why a task is not evacuated yet, once for each reason.
func (s *Shard) evacuationWaits(w *worker, run apjob.RunKey, why string, count int) {
	if o := w.occupants[run]; o != nil && o.waitsFor != why {
		o.waitsFor = why
		s.log("EvacuationWaits", run, w.info.ID, map[string]any{"Why": why, "Count": count})
	}
}

// away counts the other tasks of a long-running step that are not at work.
func (s *Shard) away(id apjob.TaskID, tasks []apjob.Task, now time.Time) int {
	away := 0
	for k := range tasks {
		if k != id.Index && !s.atWork(apjob.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: k}, &tasks[k], now) {
			away++
		}
	}
	return away
}

// atWork reports whether a long-running task was at work a moment ago and stays so: a worker that is
// silent may be down, and one that drains takes its tasks away.
func (s *Shard) atWork(id apjob.TaskID, t *apjob.Task, now time.Time) bool {
	w := s.workers[t.Worker]
	if t.Worker == "" || w == nil || w.info.Draining || now.Sub(w.lastOK) > s.options.MaxSilence {
		return false
	}
	o := w.occupants[apjob.RunKey{Task: id, Run: t.Run}]
	return o != nil && o.phase == phaseRunning && o.percent >= allAtWork
}

// Load is what the shard's pool has to do.
type Load struct {
	// Lasting counts the long-running tasks of each worker.
	Lasting map[apjob.WorkerID]int
	// Used is the processor time booked on each worker that may get runs, in thousandths of a core. Where
	// memory or accelerators are scarcer, it is the processor time that goes with the share of them.
	Used map[apjob.WorkerID]int64
	// Queued is the work that waits for room, in thousandths of a core times seconds.
	Queued int64
	// Widest is how many workers the widest long-running step needs.
	Widest int
	// Homeless counts the long-running tasks that wait for a place, also those that must leave theirs.
	Homeless int
}

// PoolLoad returns what the shard's pool has to do.
func (s *Shard) PoolLoad(now time.Time) Load {
	load := Load{Lasting: make(map[apjob.WorkerID]int), Used: make(map[apjob.WorkerID]int64)}
	for id, w := range s.workers {
		if !w.registered {
			continue
		}
		if s.usable(w, now) {
			load.Used[id] = dominant(w.used, w.info.Capacity)
		}
		for run, o := range w.occupants {
			_, step := s.task(run.Task)
			if step == nil || !step.LongRunning {
				continue
			}
			load.Lasting[id]++
			if o.waitsFor == waitsRoom && s.leaving(w) {
				load.Homeless++
			}
		}
	}
	capacity := s.capacity(now)
	for _, j := range s.active {
		s.addLoad(j, &load, capacity)
	}
	return load
}

// capacity returns that of all workers that may get runs together.
func (s *Shard) capacity(now time.Time) apjob.Resources {
	var sum apjob.Resources
	for _, w := range s.workers {
		if s.usable(w, now) {
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum
}

// dominant returns the processor time that stands for resources of a worker: that of the scarcest one.
func dominant(r, capacity apjob.Resources) int64 {
	cpu := r.CPU
	if capacity.Memory > 0 {
		cpu = max(cpu, r.Memory*capacity.CPU/capacity.Memory)
	}
	if capacity.GPU > 0 {
		cpu = max(cpu, r.GPU*capacity.CPU/capacity.GPU)
	}
	return cpu
}

func (s *Shard) addLoad(j *job, load *Load, capacity apjob.Resources) {
	for i := range j.progress.Occurrences {
		for n, tasks := range j.progress.Occurrences[i].Steps {
			step := &j.def.Steps[n]
			waiting := waitingTasks(tasks)
			if step.LongRunning {
				load.Homeless += waiting
				if step.MaxPerWorker > 0 {
					load.Widest = max(load.Widest, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
				}
				continue
			}
			load.Queued += int64(float64(waiting) * s.estimate(j.def, step).Seconds() * float64(dominant(step.Booked(), capacity)))
		}
	}
}
