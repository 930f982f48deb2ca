package aplease

import (
	"sync"
	"time"

	"auburnport/pkg/apcode"
)

// Clock returns the time since some fixed moment. A clock for permits counts the time for which the
// machine was suspended.
type Clock func() time.Duration

// Permit tells until when the holder of one lease may act. It ends before the store can let the lease
// lapse, because it counts from before each renewal was sent. The zero value permits nothing. It is safe
// for concurrent use.
type Permit struct {
	clock Clock

	mu sync.Mutex
	// until is a time of clock. It never falls.
	until time.Duration
	// ended is final: a lease that was lost isn't held again.
	ended bool
}

// NewPermit returns a permit that has not begun.
func NewPermit(clock Clock) *Permit { return &Permit{clock: clock} }

// Asked returns the time to pass to Extend; call it before the request for a lease or a renewal is sent.
func (p *Permit) Asked() time.Duration { return p.clock() }

// Extend notes that a request that was sent after asked has given the lease ttl.
func (p *Permit) Extend(asked, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = max(p.until, asked+ttl)
}

// End withdraws the permit for good.
func (p *Permit) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// Check returns PermitExpired unless the lease is surely held for another margin, the time in which an
// action that is begun now has an effect or is given up.
func (p *Permit) Check(margin time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock == nil || p.ended {
		return apcode.Errorf(apcode.PermitExpired, "the lease is not held")
	}
	if left := p.until - p.clock(); left < margin {
		return apcode.Errorf(apcode.PermitExpired, "the lease is certain for %v, and %v are needed", left, margin)
	}
	return nil
}
