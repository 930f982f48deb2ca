package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// Tasks of a queue with an advisor start only with a valid ticket, and only on workers that the advisor allows.
// A failed question is asked again; a worker that was not allowed is not asked about again.
func TestAdvisedTasksNeedValidTicket(t *testing.T) {
	s := apscheduler.New(1)
	s.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 1, NeedsTicket: true}})
	now := start
	report := func() {
		for _, id := range []apjob.WorkerID{"w1", "w2", "w3"} {
			s.Register(workerInfo(id, 1000), now)
			s.ApplyReport(id, apworker.Report{Clock: now.Sub(start) + time.Second}, now, now)
		}
	}
	plan := func() []apscheduler.Order {
		report()
		s.Plan(now, now)
		storeAll(s)
		return s.Orders(now)
	}
	report()
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, now)
	assert.Equal(t, len(starts(plan())), 0)
	questions := s.TakeQuestions()
	assert.Equal(t, len(questions), 1)
	assert.Equal(t, questions[0].Step.String(), string(jobID)+".0.0")
	assert.Equal(t, len(questions[0].Workers), 3)
	assert.Equal(t, len(starts(plan())), 0)
	assert.Equal(t, len(s.TakeQuestions()), 0, "a second question was asked before the first was answered")
	s.ApplyAdvice(questions[0], apworker.Advice{}, apcode.Errorf(apcode.WorkerRefused, "busy"), now)
	plan()
	questions = s.TakeQuestions()
	assert.Equal(t, len(questions), 1)

	s.ApplyAdvice(questions[0], apworker.Advice{Tickets: map[apjob.WorkerID]string{"w2": "old"}, ValidFor: time.Second}, nil, now)
	now = now.Add(900 * time.Millisecond)
	assert.Equal(t, len(starts(plan())), 0, "the ticket is about to expire")
	questions = s.TakeQuestions()
	assert.DeepEqual(t, questions[0].Workers, []apjob.WorkerID{"w2"})
	s.ApplyAdvice(questions[0], apworker.Advice{Tickets: map[apjob.WorkerID]string{"w2": "new"}, ValidFor: time.Second}, nil, now)
	orders := plan()
	assert.Equal(t, len(orders), 1)
	o, ok := orders[0].(apscheduler.Start)
	assert.Assert(t, ok)
	assert.Equal(t, string(o.To.ID)+" "+o.Order.Ticket, "w2 new")
}
