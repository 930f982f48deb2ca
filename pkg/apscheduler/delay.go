package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
)

// A long-running task is restarted at once, unless it ended within minUptime of the time at which it could be restarted last. The delay then
// doubles with each end, from minRestartDelay to maxRestartDelay, so that a task that can't stay up doesn't take the store's writes
// from others. Callers expect a restart within 9 s.
const (
	minUptime       = time.Second
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 2 * time.Second
)

// restart is the last end of a long-running task, or of a gang of them, by itself, and the delay of the start that follows.
type restart struct {
	// run is the number of the run that ended. The ends of a gang's members have the same one and count once.
	run     int
	endedAt time.Time
	delay   time.Duration
}

// restartKey returns the key of a task in restarts: its ID, or that of its gang's first member.
func (j *job) restartKey(id apjob.TaskID) apjob.TaskID {
	if j.def.Steps[id.Step].Gang {
		return id.StepID().Task(0)
	}
	return id
}

// delayRestart sets the delay of the start that follows the end of a long-running task's run.
func (s *Shard) delayRestart(j *job, run apjob.RunKey, workerID apjob.WorkerID, now time.Time) {
	if j.restarts == nil {
		j.restarts = make(map[apjob.TaskID]restart)
	}
	key := j.restartKey(run.Task)
	last, repeated := j.restarts[key]
	if repeated && last.run == run.Run {
		return
	}
	next := restart{run: run.Run, endedAt: now}
	if repeated && now.Sub(last.endedAt)-last.delay < minUptime {
		next.delay = min(max(2*last.delay, minRestartDelay), maxRestartDelay)
		s.logEvent("RestartDelayed", run, workerID, map[string]any{"DelayMs": next.delay.Milliseconds()})
	}
	j.restarts[key] = next
}

// restartDelayed reports whether a task's next start is delayed beyond now.
func (j *job) restartDelayed(id apjob.TaskID, now time.Time) bool {
	last, ended := j.restarts[j.restartKey(id)]
	return ended && now.Sub(last.endedAt) < last.delay
}

// countDelayed counts the tasks of a step whose next start is delayed beyond now.
func (j *job) countDelayed(occurrence *apjob.Occurrence, step int, now time.Time) int {
	if len(j.restarts) == 0 {
		return 0
	}
	n := 0
	for k, t := range occurrence.Steps[step] {
		if t.Worker == "" && j.restartDelayed(apjob.StepID{Job: j.def.ID, Occurrence: occurrence.Number, Step: step}.Task(k), now) {
			n++
		}
	}
	return n
}

// restartsLater reports whether no task of a step may be started now because of delays: all that wait are delayed, or one member of a
// gang is.
func (j *job) restartsLater(occurrence *apjob.Occurrence, step int, now time.Time) bool {
	delayed := j.countDelayed(occurrence, step, now)
	return delayed > 0 && (j.def.Steps[step].Gang || delayed == countWaiting(occurrence.Steps[step]))
}
