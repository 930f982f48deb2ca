package apscheduler

import (
	"math"
	"time"

	"auburnport/pkg/apjob"
)

// unknownTerms hold for a job of which nothing is known of its queue: it never fails for want of attempts, and goes after jobs
// whose priority is known.
var unknownTerms = Queue{Priority: math.MaxInt, Stretch: 1, Slack: occurrenceSlack}

// SetQueues replaces the settings of all queues. Those of a queue that is removed still hold for its jobs without terms of
// their own.
func (s *Shard) SetQueues(queues map[apjob.Queue]Queue) {
	if s.formerQueues == nil {
		s.formerQueues = make(map[apjob.Queue]Queue)
	}
	for _, j := range s.active {
		if queue, ok := s.queues[j.def.Queue]; ok && j.def.Terms.MaxAttempts <= 0 {
			s.formerQueues[j.def.Queue] = queue
		}
	}
	s.queues = make(map[apjob.Queue]Queue, len(queues))
	for name, queue := range queues {
		queue.MaxAttempts = max(1, queue.MaxAttempts)
		s.queues[name] = queue
		delete(s.formerQueues, name)
	}
	s.queuesChanged = true
}

// terms returns the settings that hold for a job. Its attempts and its times are those of its acceptance; priority and the need of
// tickets are the newest ones while its queue isn't removed. MaxAttempts is 0 if it isn't known.
func (s *Shard) terms(def *apjob.Job) Queue {
	queue, inForce := s.queues[def.Queue]
	if !inForce {
		var known bool
		if queue, known = s.formerQueues[def.Queue]; !known {
			queue = unknownTerms
		}
	}
	if def.Terms.MaxAttempts <= 0 {
		return queue
	}
	queue.MaxAttempts, queue.Stretch, queue.Slack = def.Terms.MaxAttempts, def.Terms.Stretch, def.Terms.Slack
	if !inForce {
		queue.Priority, queue.NeedsTicket = def.Terms.Priority, def.Terms.NeedsTicket
	}
	return queue
}

// outOfAttempts reports whether a task has failed as often as it may. It reports false if that isn't known.
func (s *Shard) outOfAttempts(j *job, id apjob.TaskID) bool {
	limit := s.terms(j.def).MaxAttempts
	return limit > 0 && !j.def.Steps[id.Step].LongRunning && j.failedRuns(id) >= limit
}

// attemptsUnknown reports whether a task of the step has failed and it isn't known whether it may be started again.
func (s *Shard) attemptsUnknown(j *job, occurrence *apjob.Occurrence, step int) bool {
	if !j.termsUnknown || j.def.Steps[step].LongRunning {
		return false
	}
	for k := range occurrence.Steps[step] {
		if occurrence.Steps[step][k].Failed > 0 {
			return true
		}
	}
	return false
}

// learnTerms applies the settings of queues to the jobs that had none until now. It fails those that turn out to have had all
// their attempts.
func (s *Shard) learnTerms(now time.Time) {
	if !s.queuesChanged {
		return
	}
	s.queuesChanged = false
	for _, j := range s.active {
		if j.termsUnknown && s.terms(j.def).MaxAttempts > 0 {
			j.termsUnknown = false
			s.setDeadlines(j)
			s.failIfExhausted(j, now)
		}
	}
}

func (s *Shard) failIfExhausted(j *job, now time.Time) {
	for i := range j.progress.Occurrences {
		occurrence := &j.progress.Occurrences[i]
		for n, tasks := range occurrence.Steps {
			for k := range tasks {
				id := apjob.TaskID{Job: j.def.ID, Occurrence: occurrence.Number, Step: n, Index: k}
				if !tasks[k].Done && tasks[k].Failed > 0 && s.outOfAttempts(j, id) {
					s.failJob(j, id, now)
					return
				}
			}
		}
	}
}

// failJob makes a job failed because of a task without attempts left.
func (s *Shard) failJob(j *job, id apjob.TaskID, now time.Time) {
	s.logEvent("JobFailed", apjob.RunKey{Task: id}, "", map[string]any{"Attempts": j.failedRuns(id)})
	s.finishJob(j, apjob.Failed, now)
}
