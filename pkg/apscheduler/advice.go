package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apcode"
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
	// maxQuestionGrowth doublings lead from the smallest question to the largest one.
	maxQuestionGrowth = 5
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
	// growth is how often the next question is doubled, as answers had no ticket, or halved if below 0, as there was no
	// answer in time.
	growth int
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
		if apcode.Is(err, apcode.WorkerSilent) {
			a.growth = max(min(a.growth, 0)-1, -maxQuestionGrowth)
		}
		return
	}
	a.growth = min(a.growth+1, maxQuestionGrowth)
	if len(answer.Tickets) > 0 {
		a.growth = min(a.growth, 0)
	}
	for _, id := range q.Workers {
		text, ok := answer.Tickets[id]
		a.allowed[id] = ok
		if ok {
			a.tickets[id] = ticket{text: text, expiresAt: now.Add(answer.ValidFor)}
		}
	}
}

// needsTicket reports whether the tasks of a job start only with a ticket.
func (s *Shard) needsTicket(j *job) bool { return j != nil && s.terms(j.def).NeedsTicket }

// withoutDenied returns the workers but those that the advisor has denied a step. A denial counts as long as the queue has an
// advisor.
func (s *Shard) withoutDenied(step apjob.StepID, workers []*worker) []*worker {
	a := s.advice[step]
	if a == nil || !s.needsTicket(s.jobs[step.Job]) {
		return workers
	}
	var possible []*worker
	for _, w := range workers {
		if allowed, asked := a.allowed[w.info.ID]; allowed || !asked {
			possible = append(possible, w)
		}
	}
	return possible
}

// workersWithTickets returns the possible workers that have a valid ticket for the step, and all of them if it needs none. If
// those with a ticket have no room for the waiting tasks, it queues a question about others that have. If there
// are fewer of them than waiting tasks, the question is also about workers that may have room later.
func (s *Shard) workersWithTickets(j *job, q *search, waiting int, possible []*worker, now time.Time) []*worker {
	if !s.needsTicket(j) {
		return possible
	}
	a := s.advice[q.id]
	if a == nil {
		a = &stepAdvice{allowed: make(map[apjob.WorkerID]bool), tickets: make(map[apjob.WorkerID]ticket)}
		s.advice[q.id] = a
	}
	var ready, candidates []*worker
	room := 0
	for _, w := range possible {
		if now.Add(minTicketValidity).Before(a.tickets[w.info.ID].expiresAt) {
			ready = append(ready, w)
			if s.lastResortPenalty(q, w) == 0 {
				room += q.countIn(w.info.Capacity.Sub(w.used), w)
			}
		}
	}
	if a.questionPending {
		return ready
	}
	for _, w := range possible {
		missing := room < waiting && q.couldRun(w) || len(ready) < waiting && s.countLater(q, w) > 0
		if missing && !slices.Contains(ready, w) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) > 0 {
		a.questionPending = true
		s.queueQuestion(q, a, candidates, a.questionSize(waiting))
	}
	return ready
}

// questionSize returns how many workers the next question names for a number of waiting tasks.
func (a *stepAdvice) questionSize(waiting int) int {
	size := min(workersAskedPerTask*waiting<<max(a.growth, 0), maxWorkersPerQuestion)
	return max(1, size>>max(-a.growth, 0))
}

// queueQuestion queues a question about at most limit of the candidates. Workers that could run the step now come first, then
// those that suit it, those known to be allowed, and those with the least CPU in use.
func (s *Shard) queueQuestion(q *search, a *stepAdvice, candidates []*worker, limit int) {
	slices.SortFunc(candidates, func(x, y *worker) int {
		return cmp.Or(
			-apfleet.CompareBool(q.couldRun(x), q.couldRun(y)), cmp.Compare(s.lastResortPenalty(q, x), s.lastResortPenalty(q, y)),
			-apfleet.CompareBool(a.allowed[x.info.ID], a.allowed[y.info.ID]), cmp.Compare(x.used.CPU, y.used.CPU), cmp.Compare(x.info.ID, y.info.ID),
		)
	})
	question := Question{Step: q.id}
	for _, w := range candidates[:min(limit, len(candidates))] {
		question.Workers = append(question.Workers, w.info.ID)
	}
	s.pendingQuestions = append(s.pendingQuestions, question)
}

// dropTicket forgets a ticket that the worker has refused.
func (s *Shard) dropTicket(step apjob.StepID, workerID apjob.WorkerID) {
	if a := s.advice[step]; a != nil {
		delete(a.tickets, workerID)
	}
}

// dropTickets forgets all tickets for a worker that has restarted. What the advisor allows doesn't change by that.
func (s *Shard) dropTickets(workerID apjob.WorkerID) {
	for _, a := range s.advice {
		delete(a.tickets, workerID)
	}
}

// ticketFor returns the ticket for running the step on a worker, or "" if the step needs none.
func (s *Shard) ticketFor(step apjob.StepID, workerID apjob.WorkerID) string {
	if a := s.advice[step]; a != nil {
		return a.tickets[workerID].text
	}
	return ""
}
