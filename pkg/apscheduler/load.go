package apscheduler

import (
	"slices"
	"time"

	"auburnport/pkg/apjob"
)

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
