package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// reserve takes the worker with the most room out of those that are open, so that a long-running task
// finds room there soon, which smaller tasks would take bit by bit.
func (s *Shard) reserve(open []*worker, c *candidate) []*worker {
	step := &c.job.def.Steps[c.step]
	use := s.stepUse(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])
	return without(open, s.roomiest(step, use, open))
}

// reserveGang takes as many workers out of those that are open as a gang needs once shorter tasks have left
// them, the emptiest first. It takes none when all of them together are too small.
func (s *Shard) reserveGang(open []*worker, c *candidate) []*worker {
	step := &c.job.def.Steps[c.step]
	use := s.stepUse(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])
	byRoom := slices.Clone(open)
	slices.SortFunc(byRoom, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.used.CPU-a.info.Capacity.CPU, b.used.CPU-b.info.Capacity.CPU), cmp.Compare(a.info.ID, b.info.ID))
	})
	rest := open
	for missing := step.Count; missing > 0; {
		if len(byRoom) == 0 {
			return open
		}
		w := byRoom[0]
		byRoom = byRoom[1:]
		if n := s.fitting(w, step, use); n > 0 {
			missing -= n
			rest = without(rest, w)
		}
	}
	return rest
}

// fitting counts the tasks of a step that a worker could take if only long-running tasks stayed there.
func (s *Shard) fitting(w *worker, step *apjob.Step, use *stepUse) int {
	if !allows(step, use, w) {
		return 0
	}
	room := w.info.Capacity
	for run, o := range w.occupants {
		if _, other := s.task(run.Task); other != nil && other.LongRunning {
			room = room.Sub(o.need)
		}
	}
	n := 0
	for need := step.Booked(); n < step.Count && room.Fits(need); n++ {
		room = room.Sub(need)
	}
	if step.MaxPerWorker > 0 {
		n = min(n, step.MaxPerWorker)
	}
	return n
}

// roomiest returns the worker with the most room among those that a task may use once they are free
// enough, or nil.
func (s *Shard) roomiest(step *apjob.Step, use *stepUse, open []*worker) *worker {
	var best *worker
	for _, w := range open {
		if s.fitting(w, step, use) == 0 {
			continue
		}
		if best == nil || w.info.Capacity.CPU-w.used.CPU > best.info.Capacity.CPU-best.used.CPU {
			best = w
		}
	}
	return best
}

// without returns the workers less one.
func without(open []*worker, w *worker) []*worker {
	i := slices.Index(open, w)
	if i < 0 {
		return open
	}
	return slices.Concat(open[:i], open[i+1:])
}

// allows reports whether a step's label and its bound for one worker let a task run there.
func allows(step *apjob.Step, use *stepUse, w *worker) bool {
	if step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
		return false
	}
	return step.MaxPerWorker == 0 || use.workers[w.info.ID] < step.MaxPerWorker
}

// placeStep assigns the waiting tasks of a step, all of them when it is a gang, and reports whether none
// is left waiting.
func (s *Shard) placeStep(c *candidate, open []*worker, full *shortage, now time.Time) bool {
	j := c.job
	step := &j.def.Steps[c.step]
	if !full.anyFits(open, step.Booked()) {
		return false
	}
	tasks := j.occurrence(c.occurrence).Steps[c.step]
	if s.queues[j.def.Queue].Advised {
		id := apjob.StepID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step}
		open = s.advised(id, waitingTasks(tasks), open, now)
	}
	chosen, complete := s.pick(c, step, tasks, open)
	if step.Gang {
		if !complete || len(chosen) < len(tasks) {
			return false
		}
		levelGang(tasks)
	}
	for _, p := range chosen {
		id := apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: p.index}
		s.assign(j, id, &tasks[p.index], step, p.on, now)
	}
	return complete
}

func waitingTasks(tasks []apjob.Task) int {
	n := 0
	for k := range tasks {
		if !tasks[k].Done && tasks[k].Worker == "" {
			n++
		}
	}
	return n
}

// choice is a worker for a task.
type choice struct {
	index int
	on    *worker
}

// pick returns workers for the waiting tasks of a step, and whether there is one for each.
func (s *Shard) pick(c *candidate, step *apjob.Step, tasks []apjob.Task, open []*worker) ([]choice, bool) {
	j := c.job
	use := s.stepUse(j, c.occurrence, c.step, tasks)
	var chosen []choice
	complete := true
	for k := range tasks {
		if tasks[k].Done || tasks[k].Worker != "" {
			continue
		}
		on := s.choose(step, use, open, j.triedOn[apjob.TaskID{Job: j.def.ID, Occurrence: c.occurrence, Step: c.step, Index: k}])
		if on == nil {
			complete = false
			if len(j.triedOn) == 0 {
				break
			}
			continue
		}
		on.used = on.used.Add(step.Booked())
		use.add(on)
		chosen = append(chosen, choice{index: k, on: on})
	}
	for _, p := range chosen {
		p.on.used = p.on.used.Sub(step.Booked())
	}
	return chosen, complete
}

// levelGang gives all members of a gang the same run and the same checkpoint.
func levelGang(tasks []apjob.Task) {
	run, checkpoint := 0, ""
	for k := range tasks {
		run = max(run, tasks[k].Run)
		checkpoint = cmp.Or(checkpoint, tasks[k].Checkpoint)
	}
	for k := range tasks {
		tasks[k].Run, tasks[k].Checkpoint = run, checkpoint
	}
}

// shortage remembers which needs found no room on any open worker. Within a plan room only shrinks, so that
// whatever needs as much or more finds none either: on a full pool hundreds of steps wait.
type shortage struct{ needs []apjob.Resources }

// anyFits reports whether a need finds room on a worker.
func (f *shortage) anyFits(open []*worker, need apjob.Resources) bool {
	if slices.ContainsFunc(f.needs, need.Fits) {
		return false
	}
	if slices.ContainsFunc(open, func(w *worker) bool { return w.info.Capacity.Sub(w.used).Fits(need) }) {
		return true
	}
	f.needs = append(slices.DeleteFunc(f.needs, func(larger apjob.Resources) bool { return larger.Fits(need) }), need)
	return false
}

func (s *Shard) assign(j *job, id apjob.TaskID, t *apjob.Task, step *apjob.Step, on *worker, now time.Time) {
	t.Run++
	t.Worker = on.info.ID
	run := apjob.RunKey{Task: id, Run: t.Run}
	on.book(run, &occupant{need: step.Booked(), phase: phasePlanned, checkpoint: t.Checkpoint, ticket: s.ticketFor(id.Of(), on.info.ID)})
	j.waiting--
	j.running++
	if j.progress.State == apjob.Pending {
		j.progress.State = apjob.Running
	}
	j.planned = append(j.planned, planned{run: run, worker: on.info.ID})
	s.markDirty(j)
	s.log("TaskPlaced", run, on.info.ID, map[string]any{
		"WaitedMs": now.Sub(j.seen).Milliseconds(), "ReportAgeMs": now.Sub(on.lastOK).Milliseconds(),
		"FreeCPU": on.info.Capacity.CPU - on.used.CPU,
	})
}

// stepUse is where the tasks of a step are.
type stepUse struct {
	workers map[apjob.WorkerID]int
	racks   map[apfleet.Rack]int
}

func (u *stepUse) add(w *worker) {
	u.workers[w.info.ID]++
	u.racks[w.info.Rack]++
}

func (s *Shard) stepUse(j *job, occurrence, step int, tasks []apjob.Task) *stepUse {
	use := &stepUse{workers: make(map[apjob.WorkerID]int), racks: make(map[apfleet.Rack]int)}
	for k := range tasks {
		if w := s.workers[tasks[k].Worker]; w != nil && tasks[k].Worker != "" {
			use.add(w)
		}
	}
	if j.def.Steps[step].MaxPerWorker > 0 {
		s.countStopping(j.def.ID, occurrence, step, use)
	}
	return use
}

// countStopping adds runs of the step that are no task's present run but still on a worker.
func (s *Shard) countStopping(id apjob.ID, occurrence, step int, use *stepUse) {
	for _, w := range s.workers {
		for run, o := range w.occupants {
			if run.Task.Job == id && run.Task.Occurrence == occurrence && run.Task.Step == step && o.phase == phaseStopping {
				if t, _ := s.task(run.Task); t == nil || t.Run != run.Run {
					use.add(w)
				}
			}
		}
	}
}

// choose returns the best worker for a task, or nil. Tasks fill up workers, so that wide holes stay
// for large tasks; long-running tasks spread over racks, so that one rack takes few of them away.
func (s *Shard) choose(step *apjob.Step, use *stepUse, open []*worker, avoid []apjob.WorkerID) *worker {
	var best *worker
	var bestScore float64
	need := step.Booked()
	for _, w := range open {
		if !w.info.Capacity.Sub(w.used).Fits(need) || !allows(step, use, w) {
			continue
		}
		score := s.score(step, use, w)
		if s.disturbs(step, w) {
			if step.Backfill {
				continue
			}
			score -= avoidWeight
		}
		if slices.Contains(avoid, w.info.ID) {
			// A long-running task fails by itself now and then, and may have no other place.
			if !step.LongRunning && len(open) > len(avoid) {
				continue
			}
			score -= avoidWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *Shard) score(step *apjob.Step, use *stepUse, w *worker) float64 {
	full := 0.0
	if w.info.Capacity.CPU > 0 {
		full = float64(w.used.CPU) / float64(w.info.Capacity.CPU)
	}
	score := full - w.health.slowness()
	if step.LongRunning {
		score = s.lastingScore(step, use, w) - full
	}
	if step.SameRack && use.racks[w.info.Rack] > 0 {
		score += rackWeight
	}
	if step.DataRack != "" && step.DataRack == string(w.info.Rack) {
		score += rackWeight
	}
	return score
}

// lastingScore rates a worker for a long-running task.
func (s *Shard) lastingScore(step *apjob.Step, use *stepUse, w *worker) float64 {
	score := -float64(use.racks[w.info.Rack])
	if use.workers[w.info.ID] >= (step.Count+lastingSpread-1)/lastingSpread {
		score -= crowdWeight
	}
	if s.hasLasting(w) {
		score += shareWeight
	}
	if s.avoided[w.info.ID] {
		score -= leavingWeight
	}
	return score
}

func (s *Shard) hasLasting(w *worker) bool {
	for run := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.LongRunning {
			return true
		}
	}
	return false
}

// avoidWeight puts a worker on which the task failed after all others.
const avoidWeight = 100

// rackWeight puts a wanted rack before any difference in load.
const rackWeight = 10
