package apscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"auburnport/pkg/apjob"
)

const (
	// placeBound is the longest time that a task may wait while a worker could run it.
	placeBound = 3 * time.Second
	// withheldBound is that bound in a contended pool where each such worker is quarantined or may be reserved for another task,
	// and the task, which doesn't last, could run on a further worker once that has room.
	withheldBound = 14 * time.Second
	placeSeeds    = 200
)

// A seed is played again with go test ./pkg/apscheduler -run 'TestEveryTaskIsPlacedWhereItCanRun/Seed17$'.
func TestEveryTaskIsPlacedWhereItCanRun(t *testing.T) {
	for seed := range uint64(placeSeeds) {
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed)
			for w.now.Before(start.Add(worldLength)) {
				w.tick()
				if problem := w.checkPlaced(); problem != "" {
					t.Fatalf("seed %d, after %v: %s", seed, w.now.Sub(start), problem)
				}
			}
		})
	}
}

// checkPlaced returns which task has waited for too long or runs where it can't, or "". A waiting task is a step's, or a whole gang.
func (w *world) checkPlaced() string {
	if w.problem != "" {
		return w.problem
	}
	for _, j := range w.jobs {
		for n := range j.def.Steps {
			step := &j.def.Steps[n]
			tasks := 1
			if step.Gang {
				tasks = step.Count
			}
			for k := range step.Count {
				id := apjob.TaskID{Job: j.def.ID, Step: n, Index: k}
				limit := w.placeLimit(j, id, tasks)
				if waited := j.waited(id, limit, w.now); waited > limit {
					return fmt.Sprintf("%v has waited for %v beside workers that could run it: %+v\n%s", id, waited, *step, w.describe(j, id))
				}
			}
		}
	}
	return ""
}

// waited returns for how long a task has been waiting under a limit or a lower one.
func (j *drawnJob) waited(id apjob.TaskID, limit time.Duration, now time.Time) time.Duration {
	if limit == 0 {
		delete(j.waiting, id)
	} else if j.waiting[id].IsZero() {
		j.waiting[id] = now
	}
	if limit != placeBound {
		delete(j.waitingFree, id)
	} else if j.waitingFree[id].IsZero() {
		j.waitingFree[id] = now
	}
	switch limit {
	case 0:
		return 0
	case placeBound:
		return now.Sub(j.waitingFree[id])
	default:
		return now.Sub(j.waiting[id])
	}
}

// placeLimit returns how long a task may wait, 0 if it needn't be placed now.
func (w *world) placeLimit(j *drawnJob, id apjob.TaskID, tasks int) time.Duration {
	if !w.isWaiting(j, id) {
		return 0
	}
	now := 0
	for _, d := range w.workers {
		now += w.countTasks(j, id, d, w.freeRoom(d, false))
	}
	if now < tasks {
		return 0
	}
	nowNotWithheld, later := 0, 0
	for _, d := range w.workers {
		fits := w.countTasks(j, id, d, w.freeRoom(d, false))
		quarantined, withheld := w.now.Before(d.quarantinedUntil), w.isWithheld(d, id)
		if !withheld {
			nowNotWithheld += fits
		}
		if !quarantined && (!withheld || fits == 0) {
			later += w.countTasks(j, id, d, w.freeRoom(d, true))
		}
	}
	step := &j.def.Steps[id.Step]
	if nowNotWithheld >= tasks || later < tasks || step.LongRunning || !w.isContended(step.Reserved()) {
		return placeBound
	}
	return withheldBound
}

// isContended reports whether half of a resource that a task needs, or more, is in use on the workers in touch.
func (w *world) isContended(need apjob.Resources) bool {
	var free, capacity apjob.Resources
	for _, d := range w.workers {
		if w.inTouch(d) {
			free, capacity = free.Add(w.freeRoom(d, false)), capacity.Add(d.info.Capacity)
		}
	}
	return 2*free.CPU <= capacity.CPU || need.Memory > 0 && 2*free.Memory <= capacity.Memory || need.GPU > 0 && 2*free.GPU <= capacity.GPU
}

// inTouch reports whether a worker is registered, reports and is neither draining nor cordoned.
func (w *world) inTouch(d *drawnWorker) bool {
	return !w.isSilent(d) && w.now.After(d.registeredAt) && !d.info.Draining && !w.isCordoned(d.info.ID)
}

// isWaiting reports whether a task's turn has come and no run of it, or of its gang, is anywhere.
func (w *world) isWaiting(j *drawnJob, id apjob.TaskID) bool {
	if !j.submitted {
		return false
	}
	for _, before := range j.def.Steps[id.Step].After {
		for k := range j.def.Steps[before].Count {
			if !j.done[apjob.TaskID{Job: j.def.ID, Step: before, Index: k}] {
				return false
			}
		}
	}
	if j.def.Steps[id.Step].Gang {
		for k := range j.def.Steps[id.Step].Count {
			member := apjob.TaskID{Job: j.def.ID, Step: id.Step, Index: k}
			if j.done[member] || j.onTask[member] != "" {
				return false
			}
		}
	}
	return !j.done[id] && j.onTask[id] == ""
}

// isWithheld reports whether a worker is quarantined or may be reserved for another task.
func (w *world) isWithheld(d *drawnWorker, id apjob.TaskID) bool {
	if w.now.Before(d.quarantinedUntil) {
		return true
	}
	for _, j := range w.jobs {
		for n := range j.def.Steps {
			step := &j.def.Steps[n]
			if !step.LongRunning && !step.Gang || j.def.ID == id.Job && n == id.Step {
				continue
			}
			for k := range step.Count {
				other := apjob.TaskID{Job: j.def.ID, Step: n, Index: k}
				leaving := j.onTask[other] != "" && (w.isCordoned(j.onTask[other]) || w.worker(j.onTask[other]).info.Draining)
				if (leaving || w.isWaiting(j, other)) && w.countTasks(j, other, d, w.freeRoom(d, true)) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// freeRoom returns a worker's room, beside all its runs or beside those that last.
func (w *world) freeRoom(d *drawnWorker, lastingOnly bool) apjob.Resources {
	room := d.info.Capacity
	for run := range d.runs {
		if step := w.step(run.Task); step.LongRunning || !lastingOnly {
			room = room.Sub(step.Reserved())
		}
	}
	return room
}

// countTasks counts the tasks of a step that a worker could run in an amount of room.
func (w *world) countTasks(j *drawnJob, id apjob.TaskID, d *drawnWorker, room apjob.Resources) int {
	step := &j.def.Steps[id.Step]
	if !w.inTouch(d) || j.denied[d.info.ID] || step.Label != "" && step.Label != d.info.Labels[0] {
		return 0
	}
	n := 0
	for need := step.Reserved(); n < step.Count && room.Fits(need); n++ {
		room = room.Sub(need)
	}
	if step.MaxPerWorker == 0 {
		return n
	}
	allowed := step.MaxPerWorker
	for run := range d.runs {
		if run.Task.StepID() == id.StepID() {
			allowed--
		}
	}
	return max(0, min(n, allowed))
}

// describe lists the workers and what happened to the job.
func (w *world) describe(j *drawnJob, id apjob.TaskID) string {
	text := ""
	for _, d := range w.workers {
		text += fmt.Sprintf("%s %v: capacity %v, free %v, could run %d, withheld %v, denied %v, runs %v\n", d.info.ID, d.info.Labels, d.info.Capacity,
			w.freeRoom(d, false), w.countTasks(j, id, d, w.freeRoom(d, false)), w.isWithheld(d, id), j.denied[d.info.ID], sortedRuns(d))
	}
	for _, line := range w.log {
		if strings.Contains(line, string(j.def.ID)) {
			text += line
		}
	}
	return text
}
