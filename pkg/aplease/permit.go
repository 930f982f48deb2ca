package aplease

import (
	"sync"
	"time"

	"auburnport/pkg/apcode"
)

// Clock returns the time since some fixed point in time. A clock for permits must count the time for which the VM was
// suspended.
type Clock func() time.Duration

// Permit tells how long the holder of one lease may act. It ends before the lease can expire in the store, because its
// end is computed from the time before each renewal was sent. The zero value permits nothing. A Permit is safe for
// concurrent use.
type Permit struct {
	clock Clock

	mu sync.Mutex
	// until is the end of the permit by clock. It never decreases.
	until time.Duration
	// ended is never reset, because a lease that was lost is not held again.
	ended bool
}

// NewPermit returns a permit that permits nothing until it is extended.
func NewPermit(clock Clock) *Permit { return &Permit{clock: clock} }

// RequestTime returns the current time, to be passed to Extend. It must be called before the request for a lease or a
// renewal is sent.
func (p *Permit) RequestTime() time.Duration { return p.clock() }

// Extend extends the permit after a request sent at sentAt or later has been granted with a time to live of ttl. It
// never shortens the permit.
func (p *Permit) Extend(sentAt, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = max(p.until, sentAt+ttl)
}

// End revokes the permit permanently.
func (p *Permit) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// Check returns PermitExpired unless the lease is certain to be held for at least margin, the time within which an
// action that begins now either takes effect or is abandoned.
func (p *Permit) Check(margin time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock == nil || p.ended {
		return apcode.Errorf(apcode.PermitExpired, "the lease is not held")
	}
	if remaining := p.until - p.clock(); remaining < margin {
		return apcode.Errorf(apcode.PermitExpired, "the remaining validity of the permit is %v, but the action needs %v", remaining, margin)
	}
	return nil
}
