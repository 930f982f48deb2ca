// Package aproute is the load balancer of one service: it chooses an instance for each request, applies
// concurrency limits, queues requests, budgets retries and ejects failing instances. It opens no
// connections and reads no clock: callers pass in the current time.
package aproute

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Router schedules the requests of one service.
type Router interface {
	// Submit dispatches, queues or refuses a new or retried request.
	Submit(now time.Time, request *Request) Decision
	// Finish records the end of an attempt and frees its slot.
	Finish(now time.Time, attempt Attempt)
	// ProcessQueue dispatches or refuses the waiting requests that can be decided now and calls their Notify.
	ProcessQueue(now time.Time)
}

// Instance is a backend server of the service.
type Instance struct {
	// ID is unique within the service.
	ID      apfleet.VMID
	Address netip.AddrPort
	// Leaving instances receive no new requests.
	Leaving bool
}

// Request describes one request to a Balancer.
type Request struct {
	// Caller identifies the client for fair queueing: callers are served round-robin.
	Caller string
	// Idempotent requests may be used to probe an ejected instance after its ejection time.
	Idempotent bool
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Notify receives the decision on a request that had to wait. It must neither block nor call the
	// Balancer.
	Notify func(Decision)
	// Tried lists the instances on which earlier attempts of this request failed.
	Tried []apfleet.VMID
}

// Decision is the result of submitting a request: Dispatch, Wait or Refuse.
type Decision interface{ decision() }

// Dispatch assigns the request to an instance. It occupies a slot there until Finish.
type Dispatch struct {
	Instance apfleet.VMID
	Address  netip.AddrPort
	// Candidates is the number of instances that were eligible, whether or not they had a free slot.
	Candidates int
	// Reason is one of the Reason constants.
	Reason string
}

// Wait means that the request is queued and that Notify will receive its decision.
type Wait struct{}

// Refuse rejects the request without running it.
type Refuse struct {
	Code apcode.Code
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (Dispatch) decision() {}
func (Wait) decision()     {}
func (Refuse) decision()   {}

// Outcome is the result of an attempt as it counts for the instance's health.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Failed
	// Refused means that the request did not run, because this entry's connections to the instance were all in
	// use or because the instance reported so. It counts neither for nor against the instance.
	Refused
	// Abandoned means that the attempt ended for reasons that say nothing about the instance.
	Abandoned
)

// Attempt is a finished attempt.
type Attempt struct {
	Instance apfleet.VMID
	Outcome  Outcome
	Elapsed  time.Duration
}

// Balancer implements Router for one service at one entry. It is not safe for concurrent use.
type Balancer struct {
	options   Options
	random    *rand.Rand
	instances []instanceState
	// index maps ids to positions in instances.
	index map[apfleet.VMID]int
	queue queue
	// inFlight counts this entry's requests in flight; maxInFlight is its fair share of the slots.
	inFlight    int
	maxInFlight int
	retryBudget retryBudget
	serviceTime serviceTime
	scanOffset  int
	// candidateCount is the number of candidates at the latest call of chooseInstance.
	candidateCount int
	slotOwners     slotOwners
	// dispatchInterval is the moving average of the time between two dispatches from the queue. The time
	// after a dispatch that empties the queue does not count.
	dispatchInterval  time.Duration
	lastQueueDispatch time.Time
}

// instanceState is an instance with its load and health.
type instanceState struct {
	Instance
	// localInFlight counts this entry's requests; remoteInFlight is the number that other entries reported.
	localInFlight, remoteInFlight int
	// ownedSlots is the maximum of localInFlight under the OwnedSlots strategy.
	ownedSlots int
	health     health
}

// New returns a Balancer without instances.
func New(opts ...Option) *Balancer {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Balancer{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		index:       make(map[apfleet.VMID]int),
		serviceTime: serviceTime{mean: options.InitialServiceTime},
		maxInFlight: unlimited,
	}
}

// SetLimits replaces the limits.
func (b *Balancer) SetLimits(limits Limits) { b.options.Limits = limits }

// SetInstances replaces the set of instances. Known instances keep their load and health. An instance
// that is no longer listed counts as leaving; it is removed by the first call of SetInstances that finds it
// without requests in flight.
func (b *Balancer) SetInstances(instances []Instance) {
	listed := make(map[apfleet.VMID]struct{}, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = struct{}{}
		if i, ok := b.index[instance.ID]; ok {
			b.instances[i].Instance = instance
			continue
		}
		b.index[instance.ID] = len(b.instances)
		b.instances = append(b.instances, instanceState{Instance: instance, ownedSlots: unlimited})
	}
	b.removeUnlisted(listed)
}

// removeUnlisted drops idle instances that are not listed, marks busy ones as leaving and rebuilds the index.
func (b *Balancer) removeUnlisted(listed map[apfleet.VMID]struct{}) {
	kept := b.instances[:0]
	for _, instance := range b.instances {
		if _, ok := listed[instance.ID]; !ok {
			if instance.localInFlight == 0 {
				continue
			}
			instance.Leaving = true
		}
		kept = append(kept, instance)
	}
	b.instances = kept
	clear(b.index)
	for i, instance := range b.instances {
		b.index[instance.ID] = i
	}
}

// InFlight returns the number of this entry's requests in flight to an instance.
func (b *Balancer) InFlight(id apfleet.VMID) int {
	if i, ok := b.index[id]; ok {
		return b.instances[i].localInFlight
	}
	return 0
}

// Loads calls visit for each instance that has requests of this entry in flight.
func (b *Balancer) Loads(visit func(id apfleet.VMID, inFlight int)) {
	for i := range b.instances {
		if b.instances[i].localInFlight > 0 {
			visit(b.instances[i].ID, b.instances[i].localInFlight)
		}
	}
}

// Demand returns the number of requests in flight or waiting.
func (b *Balancer) Demand() int { return b.inFlight + b.queue.length }

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int { return b.queue.length }

// ServiceTime returns the moving average of the duration of successful attempts.
func (b *Balancer) ServiceTime() time.Duration { return b.serviceTime.mean }

// Submit implements Router.
func (b *Balancer) Submit(now time.Time, request *Request) Decision {
	if len(request.Tried) == 0 {
		b.retryBudget.deposit(b.options.Limits.RetryShare)
	}
	if b.queue.length == 0 || len(request.Tried) > 0 {
		if dispatch, ok := b.tryDispatch(now, request); ok {
			return dispatch
		}
	}
	if b.countUsable() == 0 {
		return Refuse{Code: apcode.NoInstance, RetryAfter: b.options.RetryAfterNoInstance}
	}
	if b.queue.length >= b.options.Limits.QueueLimit {
		return Refuse{Code: apcode.QueueFull, RetryAfter: b.expectedWait()}
	}
	if now.Add(b.expectedWait() + b.serviceTime.upperEstimate()).After(request.Deadline) {
		return Refuse{Code: apcode.DeadlineUnreachable, RetryAfter: b.expectedWait()}
	}
	b.queue.push(request)
	return Wait{}
}

// AllowRetry withdraws one retry from the budget and reports whether there was one.
func (b *Balancer) AllowRetry() bool { return b.retryBudget.withdraw() }

// ReportFailure records a failure of the instance for an attempt that is still running. The attempt keeps its
// slot until Finish.
func (b *Balancer) ReportFailure(now time.Time, id apfleet.VMID) {
	if i, ok := b.index[id]; ok {
		b.recordFailure(now, &b.instances[i])
	}
}

// Finish implements Router.
func (b *Balancer) Finish(now time.Time, attempt Attempt) {
	i, ok := b.index[attempt.Instance]
	if !ok {
		return
	}
	instance := &b.instances[i]
	instance.localInFlight--
	b.inFlight--
	switch attempt.Outcome {
	case Succeeded:
		b.serviceTime.add(attempt.Elapsed)
		instance.health.recordSuccess(now)
	case Failed:
		b.recordFailure(now, instance)
	case Refused, Abandoned:
		instance.health.cancelProbe()
	}
}

// ProcessQueue implements Router.
func (b *Balancer) ProcessQueue(now time.Time) {
	for {
		request := b.queue.peek()
		if request == nil {
			return
		}
		if now.Add(b.serviceTime.mean).After(request.Deadline) {
			b.queue.pop()
			request.Notify(Refuse{Code: apcode.DeadlineExpired, RetryAfter: b.expectedWait()})
			continue
		}
		dispatch, ok := b.tryDispatch(now, request)
		if !ok {
			return
		}
		b.queue.pop()
		b.recordQueueDispatch(now)
		request.Notify(dispatch)
	}
}

// recordQueueDispatch updates dispatchInterval after a dispatch from the queue.
func (b *Balancer) recordQueueDispatch(now time.Time) {
	if !b.lastQueueDispatch.IsZero() {
		b.dispatchInterval += (now.Sub(b.lastQueueDispatch) - b.dispatchInterval) / averageSamples
	}
	b.lastQueueDispatch = now
	if b.queue.length == 0 {
		b.lastQueueDispatch = time.Time{}
	}
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (b *Balancer) Cancel(request *Request) bool { return b.queue.remove(request) }

// tryDispatch assigns the request to an instance and takes a slot. It returns false when no slot is free.
func (b *Balancer) tryDispatch(now time.Time, request *Request) (Dispatch, bool) {
	if b.inFlight >= b.maxInFlight {
		return Dispatch{}, false
	}
	i, reason := b.chooseInstance(now, request)
	if i < 0 {
		return Dispatch{}, false
	}
	instance := &b.instances[i]
	instance.localInFlight++
	b.inFlight++
	instance.health.startProbe(now)
	return Dispatch{Instance: instance.ID, Address: instance.Address, Candidates: b.candidateCount, Reason: reason}, true
}

// countUsable counts the instances that are not leaving.
func (b *Balancer) countUsable() int {
	n := 0
	for i := range b.instances {
		if !b.instances[i].Leaving {
			n++
		}
	}
	return n
}

// expectedWait estimates how long a request that is queued now will wait.
func (b *Balancer) expectedWait() time.Duration {
	concurrency := min(b.maxInFlight, b.countUsable()*b.options.Limits.Slots)
	if concurrency < 1 {
		concurrency = 1
	}
	interval := max(b.serviceTime.mean/time.Duration(concurrency), b.dispatchInterval)
	return interval * time.Duration(b.queue.length+1)
}

// serviceTime is the moving average of the durations of successful attempts and of their absolute deviation.
type serviceTime struct {
	mean, deviation time.Duration
	// samples counts up to averageSamples. The first sample replaces the initial estimate, and the next
	// ones weigh more than they do later.
	samples time.Duration
}

func (s *serviceTime) add(elapsed time.Duration) {
	s.samples = min(s.samples+1, averageSamples)
	difference := elapsed - s.mean
	s.mean += difference / s.samples
	s.deviation += (difference.Abs() - s.deviation) / s.samples
	if s.samples == 1 {
		s.deviation = elapsed / 2
	}
}

// upperEstimate returns a duration that few attempts exceed.
func (s *serviceTime) upperEstimate() time.Duration { return s.mean + tailDeviations*s.deviation }
