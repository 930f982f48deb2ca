package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

const (
	// minTicketValidity is how long a ticket must remain valid when a task is placed with it. It covers
	// storing the assignment, sending the order and resending it once.
	minTicketValidity = 500 * time.Millisecond
	// workersAskedPerTask is how many workers a question names for each waiting task. It is above 1
	// because the advisor's policy allows only some of the workers.
	workersAskedPerTask = 3
	// maxWorkersPerQuestion limits a question because the advisor's answer time grows with each worker.
	maxWorkersPerQuestion = 30
)

// Question asks the advisor which of the workers may run a step.
type Question struct {
	Step    apjob.StepID
	Workers []apjob.WorkerID
}

// stepAdvice is what the advisor has answered for a step.
type stepAdvice struct {
	// allowed holds the advisor's decision for each worker asked about, which never changes.
	allowed         map[apjob.WorkerID]bool
	tickets         map[apjob.WorkerID]ticket
	questionPending bool
}

type ticket struct {
	text      string
	expiresAt time.Time
}

// TakeQuestions returns the questions since the last call and clears them. Pass each answer to ApplyAdvice.
func (s *Shard) TakeQuestions() []Question {
	questions := s.pendingQuestions
	s.pendingQuestions = nil
	return questions
}

// ApplyAdvice applies the advisor's answer to a question. After an error, a later Plan asks again.
func (s *Shard) ApplyAdvice(q Question, answer apworker.Advice, err error, now time.Time) {
	a := s.advice[q.Step]
	if a == nil {
		return
	}
	a.questionPending = false
	s.logEvent("Advised", apjob.RunKey{Task: apjob.TaskID{Job: q.Step.Job, Occurrence: q.Step.Occurrence, Step: q.Step.Step}}, "", map[string]any{
		"Asked": len(q.Workers), "Allowed": len(answer.Tickets), "Error": err,
	})
	if err != nil {
		return
	}
	for _, id := range q.Workers {
		text, ok := answer.Tickets[id]
		a.allowed[id] = ok
		if ok {
			a.tickets[id] = ticket{text: text, expiresAt: now.Add(answer.ValidFor)}
		}
	}
}

// workersWithTickets returns the eligible workers that have a valid ticket for the step. If there are fewer
// of them than waiting tasks, it queues a question about other workers.
func (s *Shard) workersWithTickets(step apjob.StepID, waiting int, eligible []*worker, now time.Time) []*worker {
	a := s.advice[step]
	if a == nil {
		a = &stepAdvice{allowed: make(map[apjob.WorkerID]bool), tickets: make(map[apjob.WorkerID]ticket)}
		s.advice[step] = a
	}
	var ready, candidates []*worker
	for _, w := range eligible {
		allowed, asked := a.allowed[w.info.ID]
		switch {
		case now.Add(minTicketValidity).Before(a.tickets[w.info.ID].expiresAt):
			ready = append(ready, w)
		case allowed || !asked:
			candidates = append(candidates, w)
		}
	}
	if len(ready) < waiting && len(candidates) > 0 && !a.questionPending {
		a.questionPending = true
		s.queueQuestion(step, a, candidates, min(workersAskedPerTask*waiting, maxWorkersPerQuestion))
	}
	return ready
}

// queueQuestion queues a question about at most limit of the candidates. Workers known to be allowed come
// first, then those with the least CPU in use.
func (s *Shard) queueQuestion(step apjob.StepID, a *stepAdvice, candidates []*worker, limit int) {
	slices.SortFunc(candidates, func(x, y *worker) int {
		return cmp.Or(-apfleet.CompareBool(a.allowed[x.info.ID], a.allowed[y.info.ID]), cmp.Compare(x.used.CPU, y.used.CPU), cmp.Compare(x.info.ID, y.info.ID))
	})
	q := Question{Step: step}
	for _, w := range candidates[:min(limit, len(candidates))] {
		q.Workers = append(q.Workers, w.info.ID)
	}
	s.pendingQuestions = append(s.pendingQuestions, q)
}

// ticketFor returns the ticket for running the step on a worker, or "" if the step needs none.
func (s *Shard) ticketFor(step apjob.StepID, workerID apjob.WorkerID) string {
	if a := s.advice[step]; a != nil {
		return a.tickets[workerID].text
	}
	return ""
}
