package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// placeStep assigns the waiting tasks of a step to workers, for a gang either all of them or none. It reports
// whether no task is left waiting.
func (s *Shard) placeStep(c *candidate, pool *workerPool, now time.Time) bool {
	j := c.job
	step := &j.def.Steps[c.step]
	if !s.mayFit(pool, j, step) {
		return false
	}
	tasks := j.occurrence(c.occurrence).Steps[c.step]
	q := &search{id: c.id(), step: step, placement: s.placementOf(j, c.occurrence, c.step, tasks), waitsSince: j.waitsSince(c.id(), tasks, now)}
	q.failedOn = s.failuresOf(c, tasks)
	possible := s.possibleWorkers(q, pool, now)
	chosen, complete := s.chooseWorkers(c, q, tasks, possible, now)
	if step.Gang {
		if !complete || len(chosen) < len(tasks) {
			return false
		}
		alignGang(tasks)
	}
	for _, a := range chosen {
		id := apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: a.taskIndex}
		s.assignTask(j, id, &tasks[a.taskIndex], step, a.worker, now)
	}
	if complete {
		delete(j.waits, q.id)
	}
	return complete
}

func countWaiting(tasks []apjob.Task) int {
	n := 0
	for k := range tasks {
		if !tasks[k].Done && tasks[k].Worker == "" {
			n++
		}
	}
	return n
}

// assignment is a worker chosen for a task.
type assignment struct {
	taskIndex int
	worker    *worker
}

// chooseWorkers chooses from the possible workers for the waiting tasks of a step, and reports whether it found one for each.
func (s *Shard) chooseWorkers(c *candidate, q *search, tasks []apjob.Task, possible []*worker, now time.Time) ([]assignment, bool) {
	eligible := s.workersWithTickets(c.job, q, countWaiting(tasks), possible, now)
	var chosen []assignment
	complete := true
	for k := range tasks {
		id := q.id.Task(k)
		if tasks[k].Done || tasks[k].Worker != "" || c.job.restartDelayed(id, now) {
			continue
		}
		q.setPatience(c.job.failures[id])
		w := s.bestWorker(q, eligible, possible, now)
		if w == nil {
			complete = false
			if len(c.job.failures) == 0 {
				break
			}
			continue
		}
		w.used = w.used.Add(q.step.Reserved())
		q.placement.add(w)
		chosen = append(chosen, assignment{taskIndex: k, worker: w})
	}
	for _, a := range chosen {
		a.worker.used = a.worker.used.Sub(q.step.Reserved())
	}
	return chosen, complete
}

// alignGang gives all members of a gang the same run number and checkpoint.
func alignGang(tasks []apjob.Task) {
	run, checkpoint := 0, ""
	for k := range tasks {
		run = max(run, tasks[k].Run)
		checkpoint = cmp.Or(checkpoint, tasks[k].Checkpoint)
	}
	for k := range tasks {
		tasks[k].Run, tasks[k].Checkpoint = run, checkpoint
	}
}

// unplaceableNeeds caches the resource needs that fitted on none of the workers. Free capacity only shrinks
// during one Plan, so anything that needs at least as much can't fit either. This avoids searching all workers
// for each of the hundreds of steps that wait on a full pool.
type unplaceableNeeds struct {
	workers []*worker
	failed  []apjob.Resources
}

// fitsAny reports whether a need fits on one of the workers.
func (u *unplaceableNeeds) fitsAny(need apjob.Resources) bool {
	if slices.ContainsFunc(u.failed, need.Fits) {
		return false
	}
	if slices.ContainsFunc(u.workers, func(w *worker) bool { return w.info.Capacity.Sub(w.used).Fits(need) }) {
		return true
	}
	u.failed = append(slices.DeleteFunc(u.failed, func(larger apjob.Resources) bool { return larger.Fits(need) }), need)
	return false
}

// assignTask reserves a worker's resources for the next run of a task and queues the record of the assignment.
func (s *Shard) assignTask(j *job, id apjob.TaskID, t *apjob.Task, step *apjob.Step, w *worker, now time.Time) {
	t.Run++
	t.Worker = w.info.ID
	run := apjob.RunKey{Task: id, Run: t.Run}
	w.book(run, &occupant{need: step.Reserved(), phase: phasePlanned, checkpoint: t.Checkpoint, ticket: s.ticketFor(id.StepID(), w.info.ID)})
	j.waitingTasks--
	j.assignedTasks++
	if j.progress.State == apjob.Pending {
		j.progress.State = apjob.Running
	}
	j.plannedRuns = append(j.plannedRuns, plannedRun{run: run, worker: w.info.ID})
	s.queueRecord(j)
	s.logEvent("TaskPlaced", run, w.info.ID, map[string]any{
		"WaitedMs": now.Sub(j.acceptedAt).Milliseconds(), "ReportAgeMs": now.Sub(w.lastAnswerAt).Milliseconds(),
		"FreeCPU": w.info.Capacity.CPU - w.used.CPU,
	})
}

// stepPlacement counts the assigned tasks of a step on each worker and rack.
type stepPlacement struct {
	tasksPerWorker map[apjob.WorkerID]int
	tasksPerRack   map[apfleet.Rack]int
}

func (p *stepPlacement) add(w *worker) {
	p.tasksPerWorker[w.info.ID]++
	p.tasksPerRack[w.info.Rack]++
}

// placementOf returns where the tasks of a step are assigned. If MaxPerWorker limits the step, runs that are
// still stopping count as well.
func (s *Shard) placementOf(j *job, occurrence, step int, tasks []apjob.Task) *stepPlacement {
	placement := &stepPlacement{tasksPerWorker: make(map[apjob.WorkerID]int), tasksPerRack: make(map[apfleet.Rack]int)}
	for k := range tasks {
		if w := s.workers[tasks[k].Worker]; w != nil && tasks[k].Worker != "" {
			placement.add(w)
		}
	}
	if j.def.Steps[step].MaxPerWorker > 0 {
		s.addStoppingRuns(j.def.ID, occurrence, step, placement)
	}
	return placement
}

// addStoppingRuns adds the step's stopping runs that have been superseded by a later run of their task but are
// still on a worker.
func (s *Shard) addStoppingRuns(id apjob.ID, occurrence, step int, placement *stepPlacement) {
	for _, w := range s.workers {
		for run, o := range w.occupants {
			if run.Task.Job == id && run.Task.Occurrence == occurrence && run.Task.Step == step && o.phase == phaseStopping {
				if t, _ := s.task(run.Task); t == nil || t.Run != run.Run {
					placement.add(w)
				}
			}
		}
	}
}

// placementScore rates a worker for a task of the step. Tasks are packed onto busy workers so that large free
// blocks remain for large tasks. Long-running tasks are spread over racks so that the loss of one rack affects
// few of them.
func (s *Shard) placementScore(step *apjob.Step, placement *stepPlacement, w *worker) float64 {
	utilisation := 0.0
	if w.info.Capacity.CPU > 0 {
		utilisation = float64(w.used.CPU) / float64(w.info.Capacity.CPU)
	}
	score := utilisation - w.health.slownessPenalty()
	if step.LongRunning {
		score = s.longRunningScore(step, placement, w) - utilisation
	}
	if step.SameRack && placement.tasksPerRack[w.info.Rack] > 0 {
		score += rackBonus
	}
	if step.DataRack != "" && step.DataRack == string(w.info.Rack) {
		score += rackBonus
	}
	return score
}

// longRunningScore rates a worker for a long-running task.
func (s *Shard) longRunningScore(step *apjob.Step, placement *stepPlacement, w *worker) float64 {
	score := -float64(placement.tasksPerRack[w.info.Rack])
	if placement.tasksPerWorker[w.info.ID] >= (step.Count+minWorkersPerStep-1)/minWorkersPerStep {
		score -= crowdingPenalty
	}
	if s.hasLongRunning(w) {
		score += colocationBonus
	}
	if s.avoided[w.info.ID] {
		score -= upcomingEvacuationPenalty
	}
	return score
}

func (s *Shard) hasLongRunning(w *worker) bool {
	for run := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.LongRunning {
			return true
		}
	}
	return false
}

// rackBonus is the score for a preferred rack; it outweighs any difference in utilisation.
const rackBonus = 10
