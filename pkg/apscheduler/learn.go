package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Parameters of the duration estimates and of the quarantine of failing workers.
const (
	// sampleWeight is the weight of the newest duration in an average.
	sampleWeight = 0.2
	// quarantineFailures is how many consecutive runs must fail on a worker before it is quarantined. Far
	// fewer than one run in ten fails because of the task itself, so a series of this length points to the
	// worker.
	quarantineFailures = 4
	// quarantineTime is how long a quarantined worker gets no new runs.
	quarantineTime = 5 * time.Second
	// slowRatio is the ratio of actual to estimated duration above which a worker counts as slow.
	slowRatio = 1.5
	// hardDeadlineFactor, multiplied by the time allowed until the soft deadline, gives the hard deadline. By
	// the platform's rules, a job completed after that has no value.
	hardDeadlineFactor = 3
)

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value    float64
	hasValue bool
}

func (a *movingAverage) add(sample float64) {
	if !a.hasValue {
		a.value, a.hasValue = sample, true
		return
	}
	a.value += sampleWeight * (sample - a.value)
}

// health is what the results of a worker's runs say about the worker.
type health struct {
	// failedInRow counts failures since the last success.
	failedInRow      int
	quarantinedUntil time.Time
	// durationRatio is the mean ratio of actual to estimated run durations.
	durationRatio movingAverage
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// slownessPenalty returns the placement penalty of a slow worker: its duration ratio, or 0 if it isn't slow.
func (h *health) slownessPenalty() float64 {
	if h.durationRatio.hasValue && h.durationRatio.value > slowRatio {
		return h.durationRatio.value
	}
	return 0
}

// observeRunEnd updates the worker's health and the duration estimates from the end of a run.
func (s *Shard) observeRunEnd(w *worker, end apworker.RunEnd, o *occupant, now time.Time) {
	switch end.Reason {
	case apworker.EndDone:
		w.health.failedInRow = 0
		s.learnDuration(w, end.Run.Task, now.Sub(o.startedAt), o)
	case apworker.EndFailed:
		w.health.failedInRow++
		if w.health.failedInRow >= quarantineFailures {
			w.health.quarantinedUntil = now.Add(quarantineTime)
			s.logEvent("WorkerQuarantined", end.Run, w.info.ID, map[string]any{"FailedInRow": w.health.failedInRow})
		}
	default:
	}
}

// learnDuration updates the estimates with the duration of a successful run. Runs that have a checkpoint, an unknown start
// time or an unknown step, or whose task is long-running, are left out.
func (s *Shard) learnDuration(w *worker, id apjob.TaskID, took time.Duration, o *occupant) {
	j := s.jobs[id.Job]
	if j == nil || o.startedAt.IsZero() || o.checkpoint != "" || o.sizeUnknown || j.def.Steps[id.Step].LongRunning {
		return
	}
	estimate := s.estimate(j.def, &j.def.Steps[id.Step])
	if estimate > 0 {
		w.health.durationRatio.add(float64(took) / float64(estimate))
	}
	if s.meanDurations[j.def.Queue] == nil {
		s.meanDurations[j.def.Queue] = &movingAverage{}
	}
	s.meanDurations[j.def.Queue].add(took.Seconds())
}

// estimate returns the expected duration of a task: the average of the caller's estimate, which is rough, and
// the observed mean duration in its queue.
func (s *Shard) estimate(def *apjob.Job, step *apjob.Step) time.Duration {
	observed := s.meanDurations[def.Queue]
	if observed == nil || !observed.hasValue {
		return step.Estimate
	}
	mean := time.Duration(observed.value * float64(time.Second))
	if step.Estimate == 0 {
		return mean
	}
	return (mean + step.Estimate) / 2
}

// setDeadlines computes the soft and hard deadlines of a job.
func (s *Shard) setDeadlines(j *job) {
	queue := s.terms(j.def)
	criticalPath := s.criticalPath(j.def, func(n int) time.Duration { return s.estimate(j.def, &j.def.Steps[n]) })
	allowed := time.Duration(queue.Stretch*float64(criticalPath)) + queue.Slack
	j.softDeadline = j.acceptedAt.Add(allowed)
	j.hardDeadline = j.acceptedAt.Add(hardDeadlineFactor * allowed)
}

// remainingWork returns the duration of the remaining critical path of an occurrence and its remaining work in
// core-seconds.
func (s *Shard) remainingWork(j *job, occurrence *apjob.Occurrence) (time.Duration, float64) {
	work := 0.0
	criticalPath := s.criticalPath(j.def, func(n int) time.Duration {
		remaining := 0
		for k := range occurrence.Steps[n] {
			if !occurrence.Steps[n][k].Done {
				remaining++
			}
		}
		if remaining == 0 {
			return 0
		}
		step := &j.def.Steps[n]
		estimate := s.estimate(j.def, step)
		work += float64(remaining) * estimate.Seconds() * float64(step.Need.CPU) / 1000
		return estimate
	})
	return criticalPath, work
}

// criticalPath returns the duration of the longest path through the steps of a job. It calls duration once for
// each step, in order.
func (s *Shard) criticalPath(def *apjob.Job, duration func(step int) time.Duration) time.Duration {
	s.pathBuffer = append(s.pathBuffer[:0], make([]time.Duration, len(def.Steps))...)
	pathTo := s.pathBuffer
	var longest time.Duration
	for n := range def.Steps {
		for _, before := range def.Steps[n].After {
			pathTo[n] = max(pathTo[n], pathTo[before])
		}
		pathTo[n] += duration(n)
		longest = max(longest, pathTo[n])
	}
	return longest
}
