package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// reserveWorker returns the eligible workers without the one with the most free CPU among those that could run the
// candidate's long-running task once their shorter tasks have ended. Keeping smaller tasks off that worker lets
// enough capacity become free for the task.
func (s *Shard) reserveWorker(eligible []*worker, c *candidate) []*worker {
	step := &c.job.def.Steps[c.step]
	placement := s.placementOf(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])
	return without(eligible, s.mostFreeWorker(step, placement, eligible))
}

// reserveGangWorkers returns the eligible workers without those reserved for a gang: as many as the gang needs
// once the shorter tasks on them have ended, those with the most free CPU first. It reserves none if all of
// them together are too small.
func (s *Shard) reserveGangWorkers(eligible []*worker, c *candidate) []*worker {
	step := &c.job.def.Steps[c.step]
	placement := s.placementOf(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])
	byRoom := slices.Clone(eligible)
	slices.SortFunc(byRoom, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.used.CPU-a.info.Capacity.CPU, b.used.CPU-b.info.Capacity.CPU), cmp.Compare(a.info.ID, b.info.ID))
	})
	rest := eligible
	for missing := step.Count; missing > 0; {
		if len(byRoom) == 0 {
			return eligible
		}
		w := byRoom[0]
		byRoom = byRoom[1:]
		if n := s.countFitting(w, step, placement); n > 0 {
			missing -= n
			rest = without(rest, w)
		}
	}
	return rest
}

// countFitting counts the tasks of a step that would fit on a worker once all but its long-running tasks have
// ended.
func (s *Shard) countFitting(w *worker, step *apjob.Step, placement *stepPlacement) int {
	if !constraintsAllow(step, placement, w) {
		return 0
	}
	room := w.info.Capacity
	for run, o := range w.occupants {
		if _, other := s.task(run.Task); other != nil && other.LongRunning {
			room = room.Sub(o.need)
		}
	}
	n := 0
	for need := step.Reserved(); n < step.Count && room.Fits(need); n++ {
		room = room.Sub(need)
	}
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// mostFreeWorker returns the worker with the most free CPU among those that could take a task of the step once
// their shorter tasks have ended, or nil.
func (s *Shard) mostFreeWorker(step *apjob.Step, placement *stepPlacement, eligible []*worker) *worker {
	var best *worker
	for _, w := range eligible {
		if s.countFitting(w, step, placement) == 0 {
			continue
		}
		if best == nil || w.info.Capacity.CPU-w.used.CPU > best.info.Capacity.CPU-best.used.CPU {
			best = w
		}
	}
	return best
}

// without returns the workers except w.
func without(eligible []*worker, w *worker) []*worker {
	i := slices.Index(eligible, w)
	if i < 0 {
		return eligible
	}
	return slices.Concat(eligible[:i], eligible[i+1:])
}

// constraintsAllow reports whether a step's label and its MaxPerWorker allow another task on a worker.
func constraintsAllow(step *apjob.Step, placement *stepPlacement, w *worker) bool {
	if step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
		return false
	}
	return step.MaxPerWorker == 0 || placement.tasksPerWorker[w.info.ID] < step.MaxPerWorker
}

// placeStep assigns the waiting tasks of a step to workers, for a gang either all of them or none. It reports
// whether no task is left waiting.
func (s *Shard) placeStep(c *candidate, eligible []*worker, unplaceable *unplaceableNeeds, now time.Time) bool {
	j := c.job
	step := &j.def.Steps[c.step]
	if !unplaceable.fitsAny(eligible, step.Reserved()) {
		return false
	}
	tasks := j.occurrence(c.occurrence).Steps[c.step]
	if s.terms(j.def).NeedsTicket {
		id := apjob.StepID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step}
		eligible = s.workersWithTickets(id, countWaiting(tasks), eligible, now)
	}
	chosen, complete := s.chooseWorkers(c, step, tasks, eligible)
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

// chooseWorkers chooses workers for the waiting tasks of a step, and reports whether it found one for each.
func (s *Shard) chooseWorkers(c *candidate, step *apjob.Step, tasks []apjob.Task, eligible []*worker) ([]assignment, bool) {
	j := c.job
	placement := s.placementOf(j, c.occurrence, c.step, tasks)
	var chosen []assignment
	complete := true
	for k := range tasks {
		if tasks[k].Done || tasks[k].Worker != "" {
			continue
		}
		w := s.bestWorker(step, placement, eligible, j.failedOn[apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: k}])
		if w == nil {
			complete = false
			if len(j.failedOn) == 0 {
				break
			}
			continue
		}
		w.used = w.used.Add(step.Reserved())
		placement.add(w)
		chosen = append(chosen, assignment{taskIndex: k, worker: w})
	}
	for _, a := range chosen {
		a.worker.used = a.worker.used.Sub(step.Reserved())
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

// unplaceableNeeds caches the resource needs that fitted on no eligible worker. Free capacity only shrinks
// during one Plan, so anything that needs at least as much can't fit either. This avoids searching all workers
// for each of the hundreds of steps that wait on a full pool.
type unplaceableNeeds struct{ failed []apjob.Resources }

// fitsAny reports whether a need fits on one of the workers.
func (u *unplaceableNeeds) fitsAny(eligible []*worker, need apjob.Resources) bool {
	if slices.ContainsFunc(u.failed, need.Fits) {
		return false
	}
	if slices.ContainsFunc(eligible, func(w *worker) bool { return w.info.Capacity.Sub(w.used).Fits(need) }) {
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

// bestWorker returns the worker with the highest score that has room for a task of the step, or nil. Workers in
// avoid, on which the task has failed, are used only as a last resort.
func (s *Shard) bestWorker(step *apjob.Step, placement *stepPlacement, eligible []*worker, avoid []apjob.WorkerID) *worker {
	var best *worker
	var bestScore float64
	need := step.Reserved()
	for _, w := range eligible {
		if !w.info.Capacity.Sub(w.used).Fits(need) || !constraintsAllow(step, placement, w) {
			continue
		}
		score := s.placementScore(step, placement, w)
		if s.latencyConflict(step, w) {
			if step.Backfill {
				continue
			}
			score -= avoidPenalty
		}
		if slices.Contains(avoid, w.info.ID) {
			// A long-running task may fail for reasons of its own, and there may be no other worker for it.
			if !step.LongRunning && len(eligible) > len(avoid) {
				continue
			}
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
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

// avoidPenalty ranks a worker below all others: one on which the task failed, or on which it would conflict with
// serving or backfill tasks.
const avoidPenalty = 100

// rackBonus is the score for a preferred rack; it outweighs any difference in utilisation.
const rackBonus = 10
