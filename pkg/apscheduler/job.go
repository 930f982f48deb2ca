package apscheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// job is a job with its progress.
type job struct {
	def      *apjob.Job
	progress apjob.Progress
	// seen is when the shard learnt of the job, less the age it had then.
	seen time.Time
	// due is when the job should be done; lateBy is when it earns nothing more.
	due    time.Time
	lateBy time.Time
	dirty  bool
	// deferred tells that the job is among those whose record may wait.
	deferred bool
	// waiting counts the tasks that could not be started yet; 0 skips the job in a plan.
	waiting int
	// running counts the tasks that are on a worker.
	running int
	// started tells that a worker has confirmed the start of a task.
	started bool
	// nextOccurrence is the first that has not begun.
	nextOccurrence int
	// planned and ends are what the next record of the job makes known: runs that may be ordered
	// then, and ends that workers may forget.
	planned []planned
	ends    []pendingEnd
	// triedOn lists workers on which a task failed.
	triedOn map[apjob.TaskID][]apjob.WorkerID
}

func (j *job) state() apjob.State { return j.progress.State }

func (j *job) occurrence(number int) *apjob.Occurrence {
	for i := range j.progress.Occurrences {
		if j.progress.Occurrences[i].Number == number {
			return &j.progress.Occurrences[i]
		}
	}
	return nil
}

// begin adds an occurrence of which nothing has started.
func (j *job) begin(number int) {
	steps := make([][]apjob.Task, len(j.def.Steps))
	for n, step := range j.def.Steps {
		steps[n] = make([]apjob.Task, step.Count)
	}
	j.progress.Occurrences = append(j.progress.Occurrences, apjob.Occurrence{Number: number, Steps: steps})
	j.nextOccurrence = number + 1
}

// Has reports whether the shard knows a job.
func (s *Shard) Has(id apjob.ID) bool { return s.jobs[id] != nil }

// Submit adds a stored job. age is how long ago it was accepted.
func (s *Shard) Submit(def *apjob.Job, age time.Duration, now time.Time) {
	if s.jobs[def.ID] != nil {
		return
	}
	j := &job{def: def, seen: now.Add(-age)}
	s.add(j)
	s.log("JobAccepted", apjob.RunKey{Task: apjob.TaskID{Job: def.ID}}, "", map[string]any{
		"Queue": def.Queue, "Steps": len(def.Steps), "AgeMs": age.Milliseconds(), "Kinds": stepKinds(def), "Sizes": stepSizes(def), "Repeat": def.Repeat,
		"FirstInMs": firstIn(def), "Every": def.Every,
	})
}

// firstIn returns how long after its submission the first occurrence of a scheduled job is due, in
// milliseconds; 0 for a job that runs at once.
func firstIn(def *apjob.Job) int64 {
	if def.Repeat == 0 {
		return 0
	}
	return def.First.Sub(def.Submitted).Milliseconds()
}

// stepSizes lists the steps' counts and needs of a task, in thousandths of a core and megabytes, for the log.
func stepSizes(def *apjob.Job) string {
	var sizes []string
	for n := range def.Steps {
		step := &def.Steps[n]
		sizes = append(sizes, fmt.Sprintf("%dx%d/%d%s", step.Count, step.Need.CPU, step.Need.Memory, step.Label))
	}
	return strings.Join(sizes, ",")
}

// stepKinds names what is special of a job's steps, for the log.
func stepKinds(def *apjob.Job) string {
	var kinds []string
	for n := range def.Steps {
		step := &def.Steps[n]
		for _, kind := range []struct {
			is   bool
			name string
		}{
			{step.LongRunning, "LongRunning"},
			{step.Backfill, "Backfill"},
			{step.LatencyTarget > 0, "Serving"},
			{step.Gang, "Gang"},
			{step.SameRack, "SameRack"},
			{step.Checkpoints, "Checkpoints"},
			{step.Speculative, "Speculative"},
			{step.MaxPerWorker > 0, fmt.Sprintf("MaxPerWorker%d", step.MaxPerWorker)},
			{step.MaxUnavailable > 0, fmt.Sprintf("MaxUnavailable%d", step.MaxUnavailable)},
		} {
			if kind.is && !slices.Contains(kinds, kind.name) {
				kinds = append(kinds, kind.name)
			}
		}
	}
	return strings.Join(kinds, ",")
}

// Load adds a job with the progress that an earlier owner stored. Call it before any worker reports.
func (s *Shard) Load(def *apjob.Job, progress apjob.Progress, age time.Duration, now time.Time) {
	j := &job{def: def, progress: progress, seen: now.Add(-age)}
	for _, number := range progress.Finished {
		j.nextOccurrence = max(j.nextOccurrence, number+1)
	}
	for i := range progress.Occurrences {
		occurrence := &progress.Occurrences[i]
		j.nextOccurrence = max(j.nextOccurrence, occurrence.Number+1)
		for n := range occurrence.Steps {
			for k := range occurrence.Steps[n] {
				j.started = j.started || occurrence.Steps[n][k].Tried()
				s.loadTask(j, apjob.TaskID{Job: def.ID, Occurrence: occurrence.Number, Step: n, Index: k}, &occurrence.Steps[n][k], now)
			}
		}
	}
	s.add(j)
}

// loadTask books a run that an earlier owner may have ordered. A run of a job that was cancelled or has failed
// is stopped: the earlier owner may not have come to it.
func (s *Shard) loadTask(j *job, id apjob.TaskID, t *apjob.Task, now time.Time) {
	if t.Worker == "" {
		return
	}
	w := s.worker(t.Worker, now)
	o := &occupant{need: j.def.Steps[id.Step].Booked(), phase: phaseOrdered, silent: true, sentAt: now, checkpoint: t.Checkpoint}
	if j.state().Final() {
		o.phase, o.sentAt = phaseStopping, time.Time{}
	}
	w.book(apjob.RunKey{Task: id, Run: t.Run}, o)
}

func (s *Shard) add(j *job) {
	s.jobs[j.def.ID] = j
	if slices.ContainsFunc(j.def.Steps, func(step apjob.Step) bool { return step.Backfill }) {
		s.backfill[j.def.ID] = true
	}
	j.recount()
	if !j.state().Final() {
		s.active[j.def.ID] = j
	}
	s.setDue(j)
}

// Cancel ends a job; what runs of it is stopped.
func (s *Shard) Cancel(id apjob.ID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.state().Final() {
		return
	}
	s.log("JobCancelled", apjob.RunKey{Task: apjob.TaskID{Job: id}}, "", map[string]any{"Running": j.running})
	s.finish(j, apjob.Cancelled, now)
}

// finish makes a job's state final and orders the end of what runs.
func (s *Shard) finish(j *job, state apjob.State, now time.Time) {
	j.progress.State = state
	j.progress.Ended = now.Unix()
	delete(s.active, j.def.ID)
	maps.DeleteFunc(s.advice, func(id apjob.StepID, _ *advice) bool { return id.Job == j.def.ID })
	s.markDirty(j)
	if state == apjob.Completed {
		return
	}
	for i := range j.progress.Occurrences {
		occurrence := &j.progress.Occurrences[i]
		for n := range occurrence.Steps {
			for k := range occurrence.Steps[n] {
				s.stopTask(apjob.TaskID{Job: j.def.ID, Occurrence: occurrence.Number, Step: n, Index: k}, &occurrence.Steps[n][k], now)
			}
		}
	}
}

// stopTask orders the end of a task's run; a run that was never ordered is dropped.
func (s *Shard) stopTask(id apjob.TaskID, t *apjob.Task, now time.Time) {
	w := s.workers[t.Worker]
	if t.Worker == "" || w == nil {
		return
	}
	run := apjob.RunKey{Task: id, Run: t.Run}
	o := w.occupants[run]
	switch {
	case o == nil || o.phase == phaseStopping:
	case o.phase == phasePlanned:
		w.release(run)
		s.taskEnded(run, w.info.ID, apworker.EndStopped, o.checkpoint, now)
	default:
		w.setPhase(o, phaseStopping)
		o.sentAt = time.Time{}
		o.attempts = 0
	}
}

// recount brings the counts of waiting and running tasks up to date.
func (j *job) recount() {
	j.waiting, j.running = 0, 0
	for i := range j.progress.Occurrences {
		for _, tasks := range j.progress.Occurrences[i].Steps {
			for k := range tasks {
				switch {
				case tasks[k].Done:
				case tasks[k].Worker != "":
					j.running++
				default:
					j.waiting++
				}
			}
		}
	}
}

// task returns a task and its step; nil when the shard doesn't know it.
func (s *Shard) task(id apjob.TaskID) (*apjob.Task, *apjob.Step) {
	j := s.jobs[id.Job]
	if j == nil || j.def == nil || id.Step >= len(j.def.Steps) {
		return nil, nil
	}
	step := &j.def.Steps[id.Step]
	occurrence := j.occurrence(id.Occurrence)
	if occurrence == nil || id.Index >= len(occurrence.Steps[id.Step]) {
		return nil, step
	}
	return &occurrence.Steps[id.Step][id.Index], step
}

// taskRunning notes the progress of a run.
func (s *Shard) taskRunning(running apworker.Running, _ time.Time) {
	if t, _ := s.task(running.Run.Task); t != nil && t.Run == running.Run.Run && running.Checkpoint != "" {
		t.Checkpoint = running.Checkpoint
	}
}

// taskEnded applies the end of a run, and reports whether a record must be stored before the worker
// may forget the end.
func (s *Shard) taskEnded(run apjob.RunKey, on apjob.WorkerID, how apworker.How, checkpoint string, now time.Time) bool {
	t, step := s.task(run.Task)
	if t == nil || t.Done || t.Run != run.Run || t.Worker != on && t.Worker != "" {
		return false
	}
	if t.Worker == "" && how != apworker.EndDone {
		return false
	}
	j := s.jobs[run.Task.Job]
	t.Worker = ""
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	switch how {
	case apworker.EndDone:
		t.Done = true
		if step.Gang {
			s.gangDone(j, run)
		}
	case apworker.EndFailed:
		t.Failed++
		if j.triedOn == nil {
			j.triedOn = make(map[apjob.TaskID][]apjob.WorkerID)
		}
		j.triedOn[run.Task] = append(j.triedOn[run.Task], on)
	default:
	}
	j.started = j.started || t.Tried()
	j.recount()
	s.markEnd(j, run.Task, how, now)
	s.judge(j, run.Task, how, now)
	return true
}

// gangDone marks all tasks of a gang as done: the end of one stands for all.
func (s *Shard) gangDone(j *job, run apjob.RunKey) {
	tasks := j.occurrence(run.Task.Occurrence).Steps[run.Task.Step]
	for k := range tasks {
		tasks[k].Done = true
		tasks[k].Worker = ""
	}
}

// judge ends a job whose task has failed too often, and an occurrence whose tasks are all done.
func (s *Shard) judge(j *job, id apjob.TaskID, how apworker.How, now time.Time) {
	if j.state().Final() {
		return
	}
	step := &j.def.Steps[id.Step]
	if how == apworker.EndFailed && !step.LongRunning && j.failures(id) >= max(1, s.queues[j.def.Queue].MaxAttempts) {
		s.log("JobFailed", apjob.RunKey{Task: id}, "", map[string]any{"Attempts": j.failures(id)})
		s.finish(j, apjob.Failed, now)
		return
	}
	if how != apworker.EndDone {
		return
	}
	if j.occurrence(id.Occurrence).Done() {
		j.progress.Finished = append(j.progress.Finished, id.Occurrence)
		j.progress.Occurrences = slices.DeleteFunc(j.progress.Occurrences, func(o apjob.Occurrence) bool { return o.Number == id.Occurrence })
		j.recount()
	}
	if len(j.progress.Finished) >= max(1, j.def.Repeat) {
		s.log("JobCompleted", apjob.RunKey{Task: apjob.TaskID{Job: j.def.ID}}, "", map[string]any{"AfterMs": now.Sub(j.seen).Milliseconds(), "SlackMs": j.due.Sub(now).Milliseconds()})
		s.finish(j, apjob.Completed, now)
	}
}

// failures counts the failed runs of a task, or of its whole gang.
func (j *job) failures(id apjob.TaskID) int {
	tasks := j.occurrence(id.Occurrence).Steps[id.Step]
	if !j.def.Steps[id.Step].Gang {
		return tasks[id.Index].Failed
	}
	sum := 0
	for k := range tasks {
		sum += tasks[k].Failed
	}
	return sum
}

// Waiting counts the jobs of each queue of which no worker is known to have started a task. A job whose
// tasks are placed still waits until a worker confirms one.
func (s *Shard) Waiting() map[apjob.Queue]int {
	waiting := make(map[apjob.Queue]int)
	for _, j := range s.active {
		if !j.started && j.def.Repeat == 0 {
			waiting[j.def.Queue]++
		}
	}
	return waiting
}

// Backlog returns the number of unfinished jobs.
func (s *Shard) Backlog() int { return len(s.active) }

// Forget drops a job that is final and whose end need not be shown any longer.
func (s *Shard) Forget(id apjob.ID) {
	if j := s.jobs[id]; j != nil && j.state().Final() && j.running == 0 {
		delete(s.jobs, id)
		delete(s.backfill, id)
	}
}
