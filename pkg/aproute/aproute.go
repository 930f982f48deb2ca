// Package aproute decides where a request of one service goes: choice of instance, limits, queue,
// retry budget and ejection of failing instances. It has no sockets and no clock of its own.
package aproute

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Router decides for the requests of one service.
type Router interface {
	// Submit decides on a new or retried request: Dispatch, Wait or Refuse.
	Submit(now time.Time, ticket *Ticket) Decision
	// Finish ends an attempt and frees its slot.
	Finish(now time.Time, attempt Attempt)
	// Next takes the waiting requests that can be decided now and calls their Notify.
	Next(now time.Time)
}

// Instance is a backend server of the service.
type Instance struct {
	// ID is unique within the service.
	ID      apfleet.VMID
	Address netip.AddrPort
	// Leaving instances receive no new request.
	Leaving bool
}

// Ticket is one request on its way through a Balancer.
type Ticket struct {
	// Caller keeps the queue fair: callers are served in turn.
	Caller string
	// Idempotent requests may probe an instance that has failed.
	Idempotent bool
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Notify receives the decision on a request that had to wait. It must not block nor call the
	// Balancer.
	Notify func(Decision)
	// Tried holds the instances that have failed this request.
	Tried []apfleet.VMID
}

// Decision is what a Balancer decides: Dispatch, Wait or Refuse.
type Decision interface{ decision() }

// Dispatch sends the request to an instance, whose slot is taken until Finish.
type Dispatch struct {
	Instance   apfleet.VMID
	Address    netip.AddrPort
	Candidates int
	Reason     string
}

// Wait tells that the request waits for Notify.
type Wait struct{}

// Refuse ends the request, which was not run.
type Refuse struct {
	Code apcode.Code
	// RetryAfter is a time after which the request may be accepted.
	RetryAfter time.Duration
}

func (Dispatch) decision() {}
func (Wait) decision()     {}
func (Refuse) decision()   {}

// Outcome is how an attempt ended, as far as the instance's health is concerned.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Failed
	// Refused means that the instance was reached but did not run the request for lack of room.
	Refused
	// Abandoned says nothing about the instance.
	Abandoned
)

// Attempt is a finished attempt.
type Attempt struct {
	Instance apfleet.VMID
	Outcome  Outcome
	Elapsed  time.Duration
}

// Balancer is the Router of one service at one entry. It is not safe for concurrent use.
type Balancer struct {
	options   Options
	random    *rand.Rand
	rows      []row
	index     map[apfleet.VMID]int
	queue     queue
	inFlight  int
	share     int
	retries   retryBudget
	service   serviceTime
	cursor    int
	available int
	owners    slotOwners
	// drain is the moving average of the time between two dispatches from the queue.
	drain     time.Duration
	drainedAt time.Time
}

// row is an instance with its load and health.
type row struct {
	Instance
	// local counts this entry's requests in flight; remote is what other entries reported.
	local, remote int
	// allowance bounds local under the strategy OwnedSlots.
	allowance int
	health    health
}

// New returns a Balancer without instances.
func New(opts ...Option) *Balancer {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Balancer{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		index:   make(map[apfleet.VMID]int),
		service: serviceTime{mean: options.InitialServiceTime},
		share:   unlimited,
	}
}

// SetLimits replaces the limits.
func (b *Balancer) SetLimits(limits Limits) { b.options.Limits = limits }

// SetInstances replaces the set of instances. Known ones keep their load and health; one that is
// gone keeps its row until its last request has ended.
func (b *Balancer) SetInstances(instances []Instance) {
	listed := make(map[apfleet.VMID]struct{}, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = struct{}{}
		if i, ok := b.index[instance.ID]; ok {
			b.rows[i].Instance = instance
			continue
		}
		b.index[instance.ID] = len(b.rows)
		b.rows = append(b.rows, row{Instance: instance, allowance: unlimited})
	}
	b.dropUnlisted(listed)
}

func (b *Balancer) dropUnlisted(listed map[apfleet.VMID]struct{}) {
	kept := b.rows[:0]
	for _, r := range b.rows {
		if _, ok := listed[r.ID]; !ok {
			if r.local == 0 {
				continue
			}
			r.Leaving = true
		}
		kept = append(kept, r)
	}
	b.rows = kept
	clear(b.index)
	for i, r := range b.rows {
		b.index[r.ID] = i
	}
}

// InFlight returns the requests in flight to an instance.
func (b *Balancer) InFlight(id apfleet.VMID) int {
	if i, ok := b.index[id]; ok {
		return b.rows[i].local
	}
	return 0
}

// Loads calls visit for each instance with requests in flight.
func (b *Balancer) Loads(visit func(id apfleet.VMID, inFlight int)) {
	for i := range b.rows {
		if b.rows[i].local > 0 {
			visit(b.rows[i].ID, b.rows[i].local)
		}
	}
}

// Demand returns the requests in flight and waiting.
func (b *Balancer) Demand() int { return b.inFlight + b.queue.length }

// Waiting returns the requests that wait.
func (b *Balancer) Waiting() int { return b.queue.length }

// ServiceTime returns the moving average of an attempt's duration.
func (b *Balancer) ServiceTime() time.Duration { return b.service.mean }

// Submit implements Router.
func (b *Balancer) Submit(now time.Time, ticket *Ticket) Decision {
	if len(ticket.Tried) == 0 {
		b.retries.credit(b.options.Limits.RetryShare)
	}
	if b.queue.length == 0 || len(ticket.Tried) > 0 {
		if dispatch, ok := b.dispatch(now, ticket); ok {
			return dispatch
		}
	}
	if b.usable() == 0 {
		return Refuse{Code: apcode.NoInstance, RetryAfter: b.options.RetryAfterNoInstance}
	}
	if b.queue.length >= b.options.Limits.QueueLimit {
		return Refuse{Code: apcode.QueueFull, RetryAfter: b.expectedWait()}
	}
	if now.Add(b.expectedWait() + b.service.tail()).After(ticket.Deadline) {
		return Refuse{Code: apcode.DeadlineUnreachable, RetryAfter: b.expectedWait()}
	}
	b.queue.push(ticket)
	return Wait{}
}

// AllowRetry takes a retry from the budget, which is a share of the live requests.
func (b *Balancer) AllowRetry() bool { return b.retries.take() }

// Suspect records the failure of an attempt that is still under way and keeps its slot.
func (b *Balancer) Suspect(now time.Time, id apfleet.VMID) {
	if i, ok := b.index[id]; ok {
		b.fail(now, &b.rows[i])
	}
}

// Finish implements Router.
func (b *Balancer) Finish(now time.Time, attempt Attempt) {
	i, ok := b.index[attempt.Instance]
	if !ok {
		return
	}
	r := &b.rows[i]
	r.local--
	b.inFlight--
	switch attempt.Outcome {
	case Succeeded:
		b.service.add(attempt.Elapsed)
		r.health.succeed(now)
	case Failed:
		b.fail(now, r)
	case Refused, Abandoned:
		r.health.release()
	}
}

// Next implements Router.
func (b *Balancer) Next(now time.Time) {
	for {
		ticket := b.queue.peek()
		if ticket == nil {
			return
		}
		if now.Add(b.service.mean).After(ticket.Deadline) {
			b.queue.pop()
			ticket.Notify(Refuse{Code: apcode.DeadlineExpired, RetryAfter: b.expectedWait()})
			continue
		}
		dispatch, ok := b.dispatch(now, ticket)
		if !ok {
			return
		}
		b.queue.pop()
		b.observeDrain(now)
		ticket.Notify(dispatch)
	}
}

// observeDrain measures how fast the queue moves while requests wait.
func (b *Balancer) observeDrain(now time.Time) {
	if !b.drainedAt.IsZero() {
		b.drain += (now.Sub(b.drainedAt) - b.drain) / serviceTimeWeight
	}
	b.drainedAt = now
	if b.queue.length == 0 {
		b.drainedAt = time.Time{}
	}
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (b *Balancer) Cancel(ticket *Ticket) bool { return b.queue.remove(ticket) }

// dispatch takes a slot for the ticket.
func (b *Balancer) dispatch(now time.Time, ticket *Ticket) (Dispatch, bool) {
	if b.inFlight >= b.share {
		return Dispatch{}, false
	}
	i, reason := b.choose(now, ticket)
	if i < 0 {
		return Dispatch{}, false
	}
	r := &b.rows[i]
	r.local++
	b.inFlight++
	r.health.take(now)
	return Dispatch{Instance: r.ID, Address: r.Address, Candidates: b.available, Reason: reason}, true
}

// usable counts the instances that are not leaving.
func (b *Balancer) usable() int {
	n := 0
	for i := range b.rows {
		if !b.rows[i].Leaving {
			n++
		}
	}
	return n
}

// expectedWait estimates how long a request that is queued now waits.
func (b *Balancer) expectedWait() time.Duration {
	lanes := min(b.share, b.usable()*b.options.Limits.Slots)
	if lanes < 1 {
		lanes = 1
	}
	perTurn := max(b.service.mean/time.Duration(lanes), b.drain)
	return perTurn * time.Duration(b.queue.length+1)
}

// serviceTime is the moving average of an attempt's duration and of its deviation.
type serviceTime struct {
	mean, deviation time.Duration
	// samples counts up to serviceTimeWeight, so that the first answers replace the initial estimate.
	samples time.Duration
}

func (s *serviceTime) add(elapsed time.Duration) {
	s.samples = min(s.samples+1, serviceTimeWeight)
	difference := elapsed - s.mean
	s.mean += difference / s.samples
	s.deviation += (difference.Abs() - s.deviation) / s.samples
	if s.samples == 1 {
		s.deviation = elapsed / 2
	}
}

// tail is a duration that few attempts exceed.
func (s *serviceTime) tail() time.Duration { return s.mean + tailDeviations*s.deviation }
