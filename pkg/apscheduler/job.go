package apscheduler

import (
	"maps"
	"slices"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// job is a job's definition with its progress and scheduling state.
type job struct {
	def      *apjob.Job
	progress apjob.Progress
	// acceptedAt is when the job was accepted, on the shard's clock: when the shard received it, minus its
	// age at that time.
	acceptedAt time.Time
	// softDeadline is when the job should be done; after hardDeadline its completion has no value any more.
	softDeadline time.Time
	hardDeadline time.Time
	// termsUnknown means that the job has no terms and that the settings of its queue aren't known yet.
	termsUnknown bool
	recordQueued bool
	// recordDeferred means that the job is in the shard's deferredRecords, as recordQueued means that it is in
	// queuedRecords.
	recordDeferred bool
	// waitingTasks counts the tasks that are neither done nor assigned. Plan skips the job when it is 0.
	waitingTasks int
	// assignedTasks counts the tasks that are assigned to a worker.
	assignedTasks int
	// startConfirmed means that a worker has confirmed the start of a task.
	startConfirmed bool
	// nextOccurrence is the number of the first occurrence that has not been added.
	nextOccurrence int
	// changes counts the changes of the progress. storedChanges is the count at the time of the last record that is
	// stored, and never exceeds changes.
	changes       uint64
	storedChanges uint64
	// plannedRuns belong to the next record of the job: once it is stored, the runs may be started.
	plannedRuns []plannedRun
	// unstorable means that the store has refused the job's record. The job is final, and its records hold only that.
	unstorable bool
	// failures tells where tasks have failed.
	failures map[apjob.TaskID]taskFailures
	// restarts holds the last ends of long-running tasks.
	restarts map[apjob.TaskID]restart
	// waits is when each step with waiting tasks was first tried.
	waits map[apjob.StepID]time.Time
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

// addOccurrence adds an occurrence with no task started.
func (j *job) addOccurrence(number int) {
	steps := make([][]apjob.Task, len(j.def.Steps))
	for n, step := range j.def.Steps {
		steps[n] = make([]apjob.Task, step.Count)
	}
	j.progress.Occurrences = append(j.progress.Occurrences, apjob.Occurrence{Number: number, Steps: steps})
	j.nextOccurrence = number + 1
}

// hasRoomForOccurrence reports whether the job's record has room for one more occurrence.
func (j *job) hasRoomForOccurrence() bool {
	open := len(j.progress.Occurrences)
	return open == 0 || (open+1)*j.def.TaskCount() <= apjob.MaxTasks
}

// HasJob reports whether the shard knows a job.
func (s *Shard) HasJob(id apjob.ID) bool { return s.jobs[id] != nil }

// Submit adds a job that is already stored. age is how long ago it was accepted.
func (s *Shard) Submit(def *apjob.Job, age time.Duration, now time.Time) {
	if s.jobs[def.ID] != nil {
		return
	}
	j := &job{def: def, acceptedAt: now.Add(-age)}
	s.addJob(j)
	s.logEvent("JobAccepted", apjob.RunKey{Task: apjob.TaskID{Job: def.ID}}, "", map[string]any{
		"Queue": def.Queue, "Steps": len(def.Steps), "AgeMs": age.Milliseconds(), "Kinds": stepKinds(def), "Sizes": stepSizes(def), "Repeat": def.Repeat,
		"FirstInMs": firstDelayMs(def), "Every": def.Every,
	})
}

// RestoreJob adds a job with the progress that an earlier owner stored. It must be called before the first call of
// ApplyReport.
func (s *Shard) RestoreJob(def *apjob.Job, progress apjob.Progress, age time.Duration, now time.Time) {
	j := &job{def: def, progress: progress, acceptedAt: now.Add(-age)}
	j.progress.Finished = progress.Finished.Normalised()
	for _, finished := range progress.Finished {
		j.nextOccurrence = max(j.nextOccurrence, finished.Last+1)
	}
	for i := range progress.Occurrences {
		occurrence := &progress.Occurrences[i]
		j.nextOccurrence = max(j.nextOccurrence, occurrence.Number+1)
		for n := range occurrence.Steps {
			for k := range occurrence.Steps[n] {
				j.startConfirmed = j.startConfirmed || occurrence.Steps[n][k].HasEndedRun()
				if def.Steps[n].LongRunning {
					// An earlier build took the successful end of a run for that of the task.
					occurrence.Steps[n][k].Done = false
				}
				s.restoreRun(j, apjob.TaskID{Job: def.ID, Occurrence: occurrence.Number, Step: n, Index: k}, &occurrence.Steps[n][k], now)
			}
		}
	}
	s.addJob(j)
}

// restoreRun reserves resources for a run that an earlier owner may have started. If the job is final, the
// run is stopped, as the earlier owner may have lost the shard before it stopped it.
func (s *Shard) restoreRun(j *job, id apjob.TaskID, t *apjob.Task, now time.Time) {
	if t.Worker == "" {
		return
	}
	w := s.ensureWorker(t.Worker, now)
	o := &occupant{need: j.def.Steps[id.Step].Reserved(), phase: phaseOrdered, outcomeUnknown: true, inherited: true, sentAt: now, checkpoint: t.Checkpoint, pace: pacing{unknown: true}}
	if j.state().Final() {
		o.phase, o.sentAt = phaseStopping, time.Time{}
	}
	w.book(apjob.RunKey{Task: id, Run: t.Run}, o)
}

func (s *Shard) addJob(j *job) {
	s.jobs[j.def.ID] = j
	if slices.ContainsFunc(j.def.Steps, func(step apjob.Step) bool { return step.Backfill }) {
		s.backfill[j.def.ID] = true
	}
	j.recountTasks()
	if !j.state().Final() {
		s.active[j.def.ID] = j
	}
	j.termsUnknown = s.terms(j.def).MaxAttempts == 0
	s.setDeadlines(j)
}

// Cancel cancels a job and stops its running tasks.
func (s *Shard) Cancel(id apjob.ID, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.state().Final() {
		return
	}
	s.logEvent("JobCancelled", apjob.RunKey{Task: apjob.TaskID{Job: id}}, "", map[string]any{"Running": j.assignedTasks})
	s.finishJob(j, apjob.Cancelled, now)
}

// finishJob makes a job's state final and stops its running tasks.
func (s *Shard) finishJob(j *job, state apjob.State, now time.Time) {
	j.progress.State = state
	j.progress.Ended = now.Unix()
	delete(s.active, j.def.ID)
	maps.DeleteFunc(s.advice, func(id apjob.StepID, _ *stepAdvice) bool { return id.Job == j.def.ID })
	s.queueRecord(j)
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

// stopTask stops a task's current run. A run whose start was never sent to its worker is just released.
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

// recountTasks updates waitingTasks and assignedTasks.
func (j *job) recountTasks() {
	j.waitingTasks, j.assignedTasks = 0, 0
	for i := range j.progress.Occurrences {
		for _, tasks := range j.progress.Occurrences[i].Steps {
			for k := range tasks {
				switch {
				case tasks[k].Done:
				case tasks[k].Worker != "":
					j.assignedTasks++
				default:
					j.waitingTasks++
				}
			}
		}
	}
}

// task returns a task and its step. The task is nil if its occurrence doesn't exist, and both are nil if the
// job or the step doesn't.
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

// updateCheckpoint records the latest checkpoint of a task's current run.
func (s *Shard) updateCheckpoint(status apworker.RunStatus, _ time.Time) {
	if t, _ := s.task(status.Run.Task); t != nil && t.Run == status.Run.Run && status.Checkpoint != "" {
		t.Checkpoint = status.Checkpoint
	}
}

// taskEnded applies the end of a run to its task. It reports whether that changed the task.
func (s *Shard) taskEnded(run apjob.RunKey, workerID apjob.WorkerID, reason apworker.EndReason, checkpoint string, now time.Time) bool {
	t, step := s.task(run.Task)
	if t == nil || t.Done || t.Run != run.Run || t.Worker != workerID && t.Worker != "" {
		return false
	}
	if t.Worker == "" && (reason != apworker.EndDone || step.LongRunning) {
		return false
	}
	j := s.jobs[run.Task.Job]
	t.Worker = ""
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	s.countEnd(j, t, run, workerID, reason, now)
	j.recountTasks()
	s.queueEndRecord(j, run.Task, reason, now)
	s.finishIfOver(j, run.Task, reason, now)
	return true
}

// countEnd counts a successful or failed run. The next run of a long-running task has another number, so that one that
// succeeded is never started again.
func (s *Shard) countEnd(j *job, t *apjob.Task, run apjob.RunKey, workerID apjob.WorkerID, reason apworker.EndReason, now time.Time) {
	switch step := &j.def.Steps[run.Task.Step]; reason {
	case apworker.EndDone:
		t.Done = !step.LongRunning
		if step.Gang {
			s.markGangDone(j, run)
		}
	case apworker.EndFailed:
		t.Failed++
		j.addFailure(run.Task, workerID, now)
	default:
		return
	}
	j.startConfirmed = true
	if j.def.Steps[run.Task.Step].LongRunning {
		s.delayRestart(j, run, workerID, now)
	}
}

// markGangDone marks the runs of all tasks of a gang as ended, because the successful end of one counts for all. The tasks
// are done then, unless they are long-running.
func (s *Shard) markGangDone(j *job, run apjob.RunKey) {
	tasks := j.occurrence(run.Task.Occurrence).Steps[run.Task.Step]
	for k := range tasks {
		tasks[k].Done = !j.def.Steps[run.Task.Step].LongRunning
		tasks[k].Worker = ""
	}
}

// finishIfOver fails the job if the task has no attempts left. Otherwise it finishes the occurrence if all
// its tasks are done, and completes the job after its last occurrence.
func (s *Shard) finishIfOver(j *job, id apjob.TaskID, reason apworker.EndReason, now time.Time) {
	if j.state().Final() {
		return
	}
	if reason == apworker.EndFailed && s.outOfAttempts(j, id) {
		s.failJob(j, id, now)
		return
	}
	if reason != apworker.EndDone {
		return
	}
	if j.occurrence(id.Occurrence).Done() {
		j.progress.Finished.Add(apjob.NumberRange{First: id.Occurrence, Last: id.Occurrence})
		j.progress.Occurrences = slices.DeleteFunc(j.progress.Occurrences, func(o apjob.Occurrence) bool { return o.Number == id.Occurrence })
		j.recountTasks()
	}
	if j.progress.Finished.Len() >= max(1, j.def.Repeat) {
		s.logEvent("JobCompleted", apjob.RunKey{Task: apjob.TaskID{Job: j.def.ID}}, "", map[string]any{"AfterMs": now.Sub(j.acceptedAt).Milliseconds(), "SlackMs": j.softDeadline.Sub(now).Milliseconds()})
		s.finishJob(j, apjob.Completed, now)
	}
}

// failedRuns counts the failed runs of a task; for a member of a gang, those of all members.
func (j *job) failedRuns(id apjob.TaskID) int {
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

// WaitingJobs returns the number of waiting jobs of each queue. A job waits until a worker confirms the start of
// one of its tasks, even when tasks are already assigned. Scheduled jobs aren't counted.
func (s *Shard) WaitingJobs() map[apjob.Queue]int {
	waiting := make(map[apjob.Queue]int)
	for _, j := range s.active {
		if !j.startConfirmed && j.def.Repeat == 0 {
			waiting[j.def.Queue]++
		}
	}
	return waiting
}

// HoldsJobs reports whether the shard has jobs, final or not, that are not removed.
func (s *Shard) HoldsJobs() bool { return len(s.jobs) > 0 }

// Backlog returns the number of unfinished jobs.
func (s *Shard) Backlog() int { return len(s.active) }

// RemoveJob removes a final job without running tasks, once its result need not be kept for callers. It reports false if
// it keeps the job, which may still have a change to be stored.
func (s *Shard) RemoveJob(id apjob.ID) bool {
	j := s.jobs[id]
	if j == nil {
		return true
	}
	if !j.state().Final() || j.assignedTasks > 0 || j.storedChanges < j.changes {
		return false
	}
	delete(s.jobs, id)
	delete(s.backfill, id)
	return true
}
