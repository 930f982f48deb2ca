package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
)

// allAtWork is the progress of a long-running task that is at work.
const allAtWork = 100

// oldStops is how long after a run has stopped its end may still be on its way. A successor stops nothing
// on sound workers before, for a run that its predecessor is stopping looks like one at work.
const oldStops = time.Second

// evacuate stops long-running tasks on workers that leave or are cordoned, so that they go on
// elsewhere. Other tasks run to their end. On a sound worker a task is stopped only while the step
// can do without it and there is room for it.
func (s *Shard) evacuate(open []*worker, now time.Time) {
	for id, w := range s.workers {
		if !w.info.Draining && !s.cordoned[id] {
			continue
		}
		for run, o := range w.occupants {
			if o.phase == phaseRunning {
				s.evacuateRun(w, run, open, now)
			}
		}
	}
}

func (s *Shard) evacuateRun(w *worker, run apjob.RunKey, open []*worker, now time.Time) {
	t, step := s.task(run.Task)
	if t == nil || !step.LongRunning || t.Run != run.Run {
		return
	}
	j := s.jobs[run.Task.Job]
	tasks := j.occurrence(run.Task.Occurrence).Steps[run.Task.Step]
	use := s.stepUse(j, run.Task.Occurrence, run.Task.Step, tasks)
	if s.choose(step, use, open, nil) == nil {
		return
	}
	if !w.info.Draining && now.Sub(s.since) < s.options.StopTime+oldStops {
		return
	}
	if !w.info.Draining && s.away(run.Task, tasks, now) >= max(1, step.MaxUnavailable) {
		return
	}
	s.log("TaskEvacuated", run, w.info.ID, map[string]any{"Draining": w.info.Draining, "MaxUnavailable": step.MaxUnavailable})
	s.stopTask(run.Task, t, now)
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
	// Used is the processor time booked on each worker that may get runs, in thousandths of a core.
	Used map[apjob.WorkerID]int64
	// Queued is the work that waits for room, in thousandths of a core times seconds.
	Queued int64
	// Widest is how many workers the widest long-running step needs.
	Widest int
	// Homeless counts the long-running tasks that wait for a place.
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
			load.Used[id] = w.used.CPU
		}
		for run := range w.occupants {
			if _, step := s.task(run.Task); step != nil && step.LongRunning {
				load.Lasting[id]++
			}
		}
	}
	for _, j := range s.active {
		s.addLoad(j, &load)
	}
	return load
}

func (s *Shard) addLoad(j *job, load *Load) {
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
			load.Queued += int64(float64(waiting) * s.estimate(j.def, step).Seconds() * float64(step.Need.CPU))
		}
	}
}
