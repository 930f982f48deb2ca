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

// gate guards the Balancer of one service.
type gate struct {
	name apfleet.ServiceName

	mu       sync.Mutex
	balancer *aproute.Balancer
	resolved apsettings.Resolved
	connCap  int
	arrived  uint64
}

func newGate(name apfleet.ServiceName, options Options) *gate {
	return &gate{
		name:     name,
		balancer: aproute.New(aproute.WithStrategy(options.Strategy), aproute.WithSeed(options.Seed)),
	}
}

// configure applies settings and instances.
func (g *gate) configure(now time.Time, service Service, connCap int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resolved = service.Settings
	g.connCap = connCap
	g.balancer.SetLimits(aproute.Limits{
		Slots:      service.Settings.Slots,
		MaxLocal:   connCap,
		QueueLimit: service.Settings.QueueLimit,
		RetryShare: service.Settings.RetryShare,
		EjectShare: service.Settings.EjectShare,
	})
	g.balancer.SetInstances(service.Instances)
	g.balancer.Next(now)
}

func (g *gate) settings() apsettings.Resolved {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resolved
}

func (g *gate) connectionCap() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connCap
}

// acquire waits until the request has an instance or is refused.
func (g *gate) acquire(ctx context.Context, ticket *aproute.Ticket, deadline time.Time) aproute.Decision {
	ready := make(chan aproute.Decision, 1)
	ticket.Notify = func(d aproute.Decision) { ready <- d }
	g.mu.Lock()
	if len(ticket.Tried) == 0 {
		g.arrived++
	}
	decision := g.balancer.Submit(time.Now(), ticket)
	g.mu.Unlock()
	if _, waits := decision.(aproute.Wait); !waits {
		return decision
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision = <-ready:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.withdraw(ticket, ready)
}

// withdraw takes a waiting request back, or takes the decision that came meanwhile.
func (g *gate) withdraw(ticket *aproute.Ticket, ready <-chan aproute.Decision) aproute.Decision {
	g.mu.Lock()
	cancelled := g.balancer.Cancel(ticket)
	g.mu.Unlock()
	if cancelled {
		return aproute.Refuse{Code: apcode.DeadlineExpired, RetryAfter: time.Second}
	}
	return <-ready
}

// finish ends an attempt and gives the slot to the next request.
func (g *gate) finish(attempt aproute.Attempt) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Finish(now, attempt)
	g.balancer.Next(now)
}

func (g *gate) allowRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.AllowRetry()
}

// suspect records that an instance did not answer in time.
func (g *gate) suspect(id apfleet.VMID) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Suspect(now, id)
}
