package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Weights and bounds of what is learnt.
const (
	// sampleWeight is the weight of the newest duration in an average.
	sampleWeight = 0.2
	// quarantineFailures is how many runs in a row fail on a worker before it is quarantined; a
	// task fails by its own fault in far fewer than one of ten runs.
	quarantineFailures = 4
	// quarantineTime is how long a worker gets no runs after that.
	quarantineTime = 5 * time.Second
	// slowFrom is the ratio to the usual duration from which a worker counts as slow.
	slowFrom = 1.5
	// lateFactor times a job's time is when it earns nothing more, from the platform's rules.
	lateFactor = 3
)

// average is an exponentially weighted mean.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += sampleWeight * (sample - a.value)
}

// health is what a worker's runs tell of it.
type health struct {
	// failedInRow counts failures since the last success.
	failedInRow int
	until       time.Time
	// ratio is the mean of durations against their estimates.
	ratio average
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

// slowness is above 0 for a worker that takes much longer than others.
func (h *health) slowness() float64 {
	if h.ratio.known && h.ratio.value > slowFrom {
		return h.ratio.value
	}
	return 0
}

// observe learns from the end of a run.
func (s *Shard) observe(w *worker, ended apworker.Ended, o *occupant, now time.Time) {
	switch ended.How {
	case apworker.EndDone:
		w.health.failedInRow = 0
		s.learn(w, ended.Run.Task, now.Sub(o.startedAt), o)
	case apworker.EndFailed:
		w.health.failedInRow++
		if w.health.failedInRow >= quarantineFailures {
			w.health.until = now.Add(quarantineTime)
			s.log("WorkerQuarantined", ended.Run, w.info.ID, map[string]any{"FailedInRow": w.health.failedInRow})
		}
	default:
	}
}

func (s *Shard) learn(w *worker, id apjob.TaskID, took time.Duration, o *occupant) {
	j := s.jobs[id.Job]
	if j == nil || o.startedAt.IsZero() || o.checkpoint != "" {
		return
	}
	usual := s.estimate(j.def, &j.def.Steps[id.Step])
	if usual > 0 {
		w.health.ratio.add(float64(took) / float64(usual))
	}
	if s.learnt[j.def.Queue] == nil {
		s.learnt[j.def.Queue] = &average{}
	}
	s.learnt[j.def.Queue].add(took.Seconds())
}

// estimate returns the expected duration of a task: the mean of the caller's guess, which is rough,
// and of what tasks of the queue took.
func (s *Shard) estimate(def *apjob.Job, step *apjob.Step) time.Duration {
	learnt := s.learnt[def.Queue]
	if learnt == nil || !learnt.known {
		return step.Estimate
	}
	mean := time.Duration(learnt.value * float64(time.Second))
	if step.Estimate == 0 {
		return mean
	}
	return (mean + step.Estimate) / 2
}

// setDue works out when a job should be done and when it earns nothing more.
func (s *Shard) setDue(j *job) {
	queue := s.queues[j.def.Queue]
	longest := s.longestChain(j.def, func(n int) time.Duration { return s.estimate(j.def, &j.def.Steps[n]) })
	allowed := time.Duration(queue.Stretch*float64(longest)) + queue.Slack
	j.due = j.seen.Add(allowed)
	j.lateBy = j.seen.Add(lateFactor * allowed)
}

// left returns the longest chain of work and the core-seconds that an occurrence still needs.
func (s *Shard) left(j *job, occurrence *apjob.Occurrence) (time.Duration, float64) {
	work := 0.0
	longest := s.longestChain(j.def, func(n int) time.Duration {
		undone := 0
		for k := range occurrence.Steps[n] {
			if !occurrence.Steps[n][k].Done {
				undone++
			}
		}
		if undone == 0 {
			return 0
		}
		step := &j.def.Steps[n]
		took := s.estimate(j.def, step)
		work += float64(undone) * took.Seconds() * float64(step.Need.CPU) / 1000
		return took
	})
	return longest, work
}

// longestChain returns the longest time through the steps of a job, each of which takes a time. It asks
// for the time of each step once.
func (s *Shard) longestChain(def *apjob.Job, takes func(step int) time.Duration) time.Duration {
	s.chain = append(s.chain[:0], make([]time.Duration, len(def.Steps))...)
	chain := s.chain
	var longest time.Duration
	for n := range def.Steps {
		for _, before := range def.Steps[n].After {
			chain[n] = max(chain[n], chain[before])
		}
		chain[n] += takes(n)
		longest = max(longest, chain[n])
	}
	return longest
}
