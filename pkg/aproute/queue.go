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
	caller   string
	requests []*Request
}

func (q *queue) push(request *Request) {
	q.length++
	for i := range q.callers {
		if q.callers[i].caller == request.Caller {
			q.callers[i].requests = append(q.callers[i].requests, request)
			return
		}
	}
	q.callers = append(q.callers, callerQueue{caller: request.Caller, requests: []*Request{request}})
}

// peek returns the next request to serve, or nil when the queue is empty.
func (q *queue) peek() *Request {
	if len(q.callers) == 0 {
		return nil
	}
	return q.callers[0].requests[0]
}

// pop removes the request that peek returns and moves its caller to the end of the rotation.
func (q *queue) pop() {
	first := q.callers[0]
	q.callers = slices.Delete(q.callers, 0, 1)
	first.requests = slices.Delete(first.requests, 0, 1)
	q.length--
	if len(first.requests) > 0 {
		q.callers = append(q.callers, first)
	}
}

// remove removes a request from anywhere in the queue and reports whether it was there.
func (q *queue) remove(request *Request) bool {
	for i := range q.callers {
		j := slices.Index(q.callers[i].requests, request)
		if j < 0 {
			continue
		}
		q.callers[i].requests = slices.Delete(q.callers[i].requests, j, j+1)
		q.length--
		if len(q.callers[i].requests) == 0 {
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
