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
	// ticketReserve is the time that a ticket must still hold when a task is placed by it: a write, an
	// order, and its repetition.
	ticketReserve = 500 * time.Millisecond
	// askFactor times the waiting tasks is how many workers a question names, for the policy allows
	// only some.
	askFactor = 3
	// maxAsked bounds the workers of a question: an answer takes time for each.
	maxAsked = 30
)

// Question asks the advisor about a step.
type Question struct {
	Step    apjob.StepID
	Workers []apjob.WorkerID
}

// advice is what is known of a step's workers.
type advice struct {
	// allowed never changes; a worker that is missing was not asked about.
	allowed map[apjob.WorkerID]bool
	tickets map[apjob.WorkerID]ticket
	asking  bool
}

type ticket struct {
	text  string
	until time.Time
}

// TakeQuestions returns the questions that have come up since the last call. Pass each answer to Advise.
func (s *Shard) TakeQuestions() []Question {
	questions := s.questions
	s.questions = nil
	return questions
}

// Advise applies the answer to a question; a failed one is asked again.
func (s *Shard) Advise(q Question, answer apworker.Advice, err error, now time.Time) {
	a := s.advice[q.Step]
	if a == nil {
		return
	}
	a.asking = false
	s.log("Advised", apjob.RunKey{Task: apjob.TaskID{Job: q.Step.Job, Occurrence: q.Step.Occurrence, Step: q.Step.Step}}, "", map[string]any{
		"Asked": len(q.Workers), "Allowed": len(answer.Tickets), "Error": err,
	})
	if err != nil {
		return
	}
	for _, id := range q.Workers {
		text, ok := answer.Tickets[id]
		a.allowed[id] = ok
		if ok {
			a.tickets[id] = ticket{text: text, until: now.Add(answer.Valid)}
		}
	}
}

// advised returns the workers that may run a step now, and asks about others when they are too few for
// the waiting tasks.
func (s *Shard) advised(step apjob.StepID, waiting int, open []*worker, now time.Time) []*worker {
	a := s.advice[step]
	if a == nil {
		a = &advice{allowed: make(map[apjob.WorkerID]bool), tickets: make(map[apjob.WorkerID]ticket)}
		s.advice[step] = a
	}
	var ready, unknown []*worker
	for _, w := range open {
		allowed, asked := a.allowed[w.info.ID]
		switch {
		case now.Add(ticketReserve).Before(a.tickets[w.info.ID].until):
			ready = append(ready, w)
		case allowed || !asked:
			unknown = append(unknown, w)
		}
	}
	if len(ready) < waiting && len(unknown) > 0 && !a.asking {
		a.asking = true
		s.ask(step, a, unknown, min(askFactor*waiting, maxAsked))
	}
	return ready
}

// ask queues a question about the workers that are known to be allowed first, then the emptiest.
func (s *Shard) ask(step apjob.StepID, a *advice, workers []*worker, n int) {
	slices.SortFunc(workers, func(x, y *worker) int {
		return cmp.Or(-apfleet.CompareBool(a.allowed[x.info.ID], a.allowed[y.info.ID]), cmp.Compare(x.used.CPU, y.used.CPU), cmp.Compare(x.info.ID, y.info.ID))
	})
	q := Question{Step: step}
	for _, w := range workers[:min(n, len(workers))] {
		q.Workers = append(q.Workers, w.info.ID)
	}
	s.questions = append(s.questions, q)
}

// ticketFor returns the ticket by which a task is placed on a worker; empty where none is needed.
func (s *Shard) ticketFor(step apjob.StepID, on apjob.WorkerID) string {
	if a := s.advice[step]; a != nil {
		return a.tickets[on].text
	}
	return ""
}
