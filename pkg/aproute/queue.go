package aproute

import "slices"

const (
	maxRetryTokens     = 20
	initialRetryTokens = 5
)

// queue holds waiting tickets and serves callers in turn, each first in, first out.
type queue struct {
	// lanes holds one lane for each caller with waiting tickets, in the order of service.
	lanes  []lane
	length int
}

type lane struct {
	caller  string
	tickets []*Ticket
}

func (q *queue) push(ticket *Ticket) {
	q.length++
	for i := range q.lanes {
		if q.lanes[i].caller == ticket.Caller {
			q.lanes[i].tickets = append(q.lanes[i].tickets, ticket)
			return
		}
	}
	q.lanes = append(q.lanes, lane{caller: ticket.Caller, tickets: []*Ticket{ticket}})
}

func (q *queue) peek() *Ticket {
	if len(q.lanes) == 0 {
		return nil
	}
	return q.lanes[0].tickets[0]
}

// pop removes the ticket that peek returns and puts its caller at the end.
func (q *queue) pop() {
	first := q.lanes[0]
	q.lanes = slices.Delete(q.lanes, 0, 1)
	first.tickets = slices.Delete(first.tickets, 0, 1)
	q.length--
	if len(first.tickets) > 0 {
		q.lanes = append(q.lanes, first)
	}
}

func (q *queue) remove(ticket *Ticket) bool {
	for i := range q.lanes {
		j := slices.Index(q.lanes[i].tickets, ticket)
		if j < 0 {
			continue
		}
		q.lanes[i].tickets = slices.Delete(q.lanes[i].tickets, j, j+1)
		q.length--
		if len(q.lanes[i].tickets) == 0 {
			q.lanes = slices.Delete(q.lanes, i, i+1)
		}
		return true
	}
	return false
}

// retryBudget lets retries be at most a share of the live requests. The zero value holds a few.
type retryBudget struct {
	started bool
	tokens  float64
}

func (r *retryBudget) credit(share float64) {
	if !r.started {
		r.started = true
		r.tokens = initialRetryTokens
	}
	r.tokens = min(r.tokens+share, maxRetryTokens)
}

func (r *retryBudget) take() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
