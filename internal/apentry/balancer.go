package apentry

import (
	"context"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
)

// serviceBalancer holds the Balancer and the settings of one service and synchronizes access to them.
type serviceBalancer struct {
	name apfleet.ServiceName

	mu              sync.Mutex
	balancer        *aproute.Balancer
	currentSettings apsettings.Resolved
	connLimit       int
	// requestsReceived counts new requests, without retries.
	requestsReceived uint64
}

func newServiceBalancer(name apfleet.ServiceName, options Options) *serviceBalancer {
	return &serviceBalancer{
		name:     name,
		balancer: aproute.New(aproute.WithStrategy(options.Strategy), aproute.WithSeed(options.Seed)),
	}
}

// configure applies the settings and the instances of the service.
func (s *serviceBalancer) configure(now time.Time, service Service, connLimit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentSettings = service.Settings
	s.connLimit = connLimit
	s.balancer.SetLimits(aproute.Limits{
		Slots:            service.Settings.Slots,
		MaxLocalInFlight: connLimit,
		QueueLimit:       service.Settings.QueueLimit,
		RetryShare:       service.Settings.RetryShare,
		EjectShare:       service.Settings.EjectShare,
	})
	s.balancer.SetInstances(service.Instances)
	s.balancer.ProcessQueue(now)
}

func (s *serviceBalancer) settings() apsettings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentSettings
}

func (s *serviceBalancer) connectionLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connLimit
}

// acquire waits until the request is assigned an instance or is refused. A request that still waits
// when its deadline passes or ctx is done is refused.
func (s *serviceBalancer) acquire(ctx context.Context, routeRequest *aproute.Request, deadline time.Time) aproute.Decision {
	decided := make(chan aproute.Decision, 1)
	routeRequest.Notify = func(d aproute.Decision) { decided <- d }
	s.mu.Lock()
	if len(routeRequest.Tried) == 0 {
		s.requestsReceived++
	}
	decision := s.balancer.Submit(time.Now(), routeRequest)
	s.mu.Unlock()
	if _, waiting := decision.(aproute.Wait); !waiting {
		return decision
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision = <-decided:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.cancelWait(routeRequest, decided)
}

// cancelWait removes a request from the queue. If a decision was made in the meantime, it returns that
// decision.
func (s *serviceBalancer) cancelWait(routeRequest *aproute.Request, decided <-chan aproute.Decision) aproute.Decision {
	s.mu.Lock()
	cancelled := s.balancer.Cancel(routeRequest)
	s.mu.Unlock()
	if cancelled {
		return aproute.Refuse{Code: apcode.DeadlineExpired, RetryAfter: time.Second}
	}
	return <-decided
}

// finishAttempt records the end of an attempt and passes its slot to the next waiting request.
func (s *serviceBalancer) finishAttempt(attempt aproute.Attempt) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finish(now, attempt)
	s.balancer.ProcessQueue(now)
}

func (s *serviceBalancer) allowRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.AllowRetry()
}

// reportTimeout records that an instance did not answer in time. The attempt keeps its slot.
func (s *serviceBalancer) reportTimeout(id apfleet.VMID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ReportFailure(now, id)
}
