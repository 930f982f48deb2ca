package aproute

import "slices"

const (
	// maxRetryTokens bounds a burst of retries.
	maxRetryTokens = 20
	// initialRetryTokens allows retries before requests have filled the budget.
	initialRetryTokens = 5
)

// queue holds waiting requests. It serves callers round-robin and the requests of each caller in FIFO order.
type queue struct {
	// callers holds a queue for each caller that has waiting requests, in the order of service.
	callers []callerQueue
	length  int
}

type callerQueue struct {
	caller  string
	tickets []*Ticket
}

func (q *queue) push(ticket *Ticket) {
	q.length++
	for i := range q.callers {
		if q.callers[i].caller == ticket.Caller {
			q.callers[i].tickets = append(q.callers[i].tickets, ticket)
			return
		}
	}
	q.callers = append(q.callers, callerQueue{caller: ticket.Caller, tickets: []*Ticket{ticket}})
}

// peek returns the next request to serve, or nil when the queue is empty.
func (q *queue) peek() *Ticket {
	if len(q.callers) == 0 {
		return nil
	}
	return q.callers[0].tickets[0]
}

// pop removes the request that peek returns and moves its caller to the end of the rotation.
func (q *queue) pop() {
	first := q.callers[0]
	q.callers = slices.Delete(q.callers, 0, 1)
	first.tickets = slices.Delete(first.tickets, 0, 1)
	q.length--
	if len(first.tickets) > 0 {
		q.callers = append(q.callers, first)
	}
}

// remove removes a request from anywhere in the queue and reports whether it was there.
func (q *queue) remove(ticket *Ticket) bool {
	for i := range q.callers {
		j := slices.Index(q.callers[i].tickets, ticket)
		if j < 0 {
			continue
		}
		q.callers[i].tickets = slices.Delete(q.callers[i].tickets, j, j+1)
		q.length--
		if len(q.callers[i].tickets) == 0 {
			q.callers = slices.Delete(q.callers, i, i+1)
		}
		return true
	}
	return false
}

// retryBudget is a token bucket that limits retries to a share of new requests. The zero value receives
// initialRetryTokens with the first deposit.
type retryBudget struct {
	initialized bool
	tokens      float64
}

// deposit adds the share of a retry that one new request allows.
func (r *retryBudget) deposit(share float64) {
	if !r.initialized {
		r.initialized = true
		r.tokens = initialRetryTokens
	}
	r.tokens = min(r.tokens+share, maxRetryTokens)
}

// withdraw takes one token and reports whether there was one.
func (r *retryBudget) withdraw() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
