package apentry

import (
	"context"
	"time"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
)

// forward sends a request to instances until it is answered or may not be tried again. A grant is
// completed or released once the outcome is known.
func (e *Entry) forward(ctx context.Context, g *gate, q *request, grant Grant) outcome {
	ticket := &aproute.Ticket{Caller: q.caller, Idempotent: q.idempotent, Deadline: q.deadline}
	ran := false
	last := refusal{code: apcode.NotRunByBackend, detail: "no attempt was made"}
	for attempt := 1; attempt <= q.settings.MaxAttempts; attempt++ {
		if attempt > 1 && !e.mayRetry(ctx, g, q, attempt) {
			break
		}
		decision := g.acquire(ctx, ticket, q.deadline)
		e.logDecision(g, q, attempt, decision)
		dispatch, ok := decision.(aproute.Dispatch)
		if !ok {
			last = e.refusedRetry(decision, ran, last)
			break
		}
		switch result := e.attempt(ctx, g, q, dispatch, grant).(type) {
		case answered:
			return result.answer
		case notRun:
			last = lastRefusal(ran, refusal{code: apcode.NotRunByBackend, detail: result.detail}, last)
		case unknown:
			ran = true
			last = refusal{code: result.code, detail: result.detail}
			if !q.idempotent {
				return last
			}
		}
		ticket.Tried = append(ticket.Tried, dispatch.Instance)
	}
	if grant != nil && !ran {
		grant.Release()
	}
	if ran && q.idempotent {
		last.code = apcode.RetriesExhausted
	}
	e.count(g.name, "Refused")
	return last
}

// lastRefusal keeps the outcome of an attempt that may have run over one that did not.
func lastRefusal(ran bool, fresh, last refusal) refusal {
	if ran {
		return last
	}
	return fresh
}

// refusedRetry is the refusal of a request for which there is no instance.
func (e *Entry) refusedRetry(decision aproute.Decision, ran bool, last refusal) refusal {
	refuse, ok := decision.(aproute.Refuse)
	if !ok || ran {
		return last
	}
	return refusal{code: refuse.Code, detail: "refused before it was sent", retryAfter: refuse.RetryAfter}
}

const (
	firstRetryDelay = 5 * time.Millisecond
	maxRetryDelay   = 100 * time.Millisecond
)

// mayRetry takes a retry from the budget and waits for the backoff.
func (e *Entry) mayRetry(ctx context.Context, g *gate, q *request, attempt int) bool {
	if !g.allowRetry() {
		e.count(g.name, "RetriesDenied")
		return false
	}
	e.count(g.name, "Retries")
	delay := min(firstRetryDelay<<(attempt-2), maxRetryDelay)
	delay = delay/2 + time.Duration(e.backends.jitter(int64(delay/2)))
	if time.Now().Add(delay).After(q.deadline) {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return q.idempotent
	}
}

// attemptResult is answered, notRun or unknown.
type attemptResult interface{ attemptResult() }

// answered carries a backend server's answer.
type answered struct{ answer answer }

// notRun tells that the request did not run.
type notRun struct{ detail string }

// unknown tells that the request may have run.
type unknown struct {
	code   apcode.Code
	detail string
}

func (answered) attemptResult() {}
func (notRun) attemptResult()   {}
func (unknown) attemptResult()  {}

// attempt sends the request once. The caller waits for its answer until the deadline, and in the case
// of an idempotent request for AttemptTimeout at most. The exchange itself goes on for the service's
// Linger, so that the slot and the claim follow what really happens at the instance.
func (e *Entry) attempt(ctx context.Context, g *gate, q *request, dispatch aproute.Dispatch, grant Grant) attemptResult {
	patience := time.Until(q.deadline)
	if q.idempotent {
		patience = min(patience, q.settings.AttemptTimeout)
	}
	done := make(chan attemptResult, 1)
	e.group.Go(func() error {
		done <- e.send(context.WithoutCancel(ctx), g, q, dispatch, grant, patience+q.settings.Linger)
		return nil
	})
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case result := <-done:
		return result
	case <-timer.C:
		e.discard(done)
		g.suspect(dispatch.Instance)
		e.backends.suspect(dispatch.Instance)
		return unknown{code: apcode.AnswerTimeout, detail: "no answer in time"}
	}
}

// discard ends an answer for which nobody waits any more.
func (e *Entry) discard(done <-chan attemptResult) {
	e.group.Go(func() error {
		if a, ok := (<-done).(answered); ok && a.answer.rest != nil {
			a.answer.end(context.Canceled)
		}
		return nil
	})
}

// send makes the exchange with one instance, frees its slot and settles the claim.
func (e *Entry) send(ctx context.Context, g *gate, q *request, dispatch aproute.Dispatch, grant Grant, limit time.Duration) attemptResult {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	b := e.backends.get(dispatch.Instance, dispatch.Address, g.connectionCap(), q.settings.ConnectionFresh)
	exchange := b.exchange(ctx, q)
	finish := func(outcome aproute.Outcome) {
		cancel()
		g.finish(aproute.Attempt{Instance: dispatch.Instance, Outcome: outcome, Elapsed: time.Since(started)})
	}
	result, ok := exchange.result.(answered)
	if !ok {
		finish(exchange.outcome)
		return exchange.result
	}
	settle(grant, result.answer)
	if result.answer.rest == nil {
		finish(exchange.outcome)
		return e.judge(q, result)
	}
	inner := result.answer.end
	result.answer.end = func(err error) {
		inner(err)
		finish(streamOutcome(err))
	}
	return result
}

// settle records the answer of a claimed request.
func settle(grant Grant, a answer) {
	if grant == nil {
		return
	}
	if a.rest != nil {
		grant.Complete(apclaim.Answer{Status: a.status})
		return
	}
	grant.Complete(a.kept())
}

func streamOutcome(err error) aproute.Outcome {
	if err != nil {
		return aproute.Abandoned
	}
	return aproute.Succeeded
}

// judge turns a server error on an idempotent request into a failure that may be retried.
func (e *Entry) judge(q *request, result answered) attemptResult {
	if q.idempotent && result.answer.status >= 500 {
		return unknown{code: apcode.RetriesExhausted, detail: "the backend server answered with status " + statusText(result.answer.status)}
	}
	return result
}

// DropBackend closes the connections to a VM that is gone.
func (e *Entry) DropBackend(id apfleet.VMID) { e.backends.drop(id) }
