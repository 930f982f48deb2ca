package aproute

import (
	"math"
	"time"
)

const (
	healthHalfLife     = 2 * time.Second
	ejectMinFailures   = 2.5
	ejectRatio         = 0.5
	ejectPeerFactor    = 3
	ejectConsecutive   = 3
	firstEjection      = time.Second
	maxEjection        = 30 * time.Second
	probesToReadmit    = 2
	defaultPeerFailure = 0.05
)

// health is the record of an instance's successes and failures. The zero value is healthy.
type health struct {
	// succeeded and failed decay with healthHalfLife.
	succeeded, failed float64
	updated           time.Time
	consecutive       int
	// ejectedUntil is zero unless the instance is ejected or on probation.
	ejectedUntil time.Time
	ejection     time.Duration
	// probing is true while a probe is in flight; passed counts the probes answered in a row.
	probing bool
	passed  int
}

// admits reports whether the instance may receive a request: always when healthy, one idempotent
// probe at a time on probation, never while ejected.
func (h *health) admits(now time.Time, idempotent bool) bool {
	if h.ejectedUntil.IsZero() {
		return true
	}
	return idempotent && !h.probing && !now.Before(h.ejectedUntil)
}

func (h *health) take(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

func (h *health) release() { h.probing = false }

func (h *health) succeed(now time.Time) {
	h.decay(now)
	h.succeeded++
	h.consecutive = 0
	if !h.probing {
		return
	}
	h.probing = false
	h.passed++
	if h.passed >= probesToReadmit {
		*h = health{}
	}
}

func (h *health) decay(now time.Time) {
	if !h.updated.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.updated)) / float64(healthHalfLife))
		h.succeeded *= factor
		h.failed *= factor
	}
	h.updated = now
}

func (h *health) ratio() float64 {
	total := h.succeeded + h.failed
	if total == 0 {
		return 0
	}
	return h.failed / total
}

func (h *health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, firstEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
	h.probing = false
	h.passed = 0
}

// fail records a failure and ejects the instance when it fails far more often than its peers.
func (b *Balancer) fail(now time.Time, r *row) {
	h := &r.health
	h.decay(now)
	h.failed++
	h.consecutive++
	if h.probing {
		h.eject(now)
		return
	}
	if !h.ejectedUntil.IsZero() || !b.isOutlier(r) || !b.mayEject() {
		return
	}
	h.eject(now)
}

func (b *Balancer) isOutlier(r *row) bool {
	if r.health.consecutive >= ejectConsecutive {
		return true
	}
	ratio := r.health.ratio()
	return r.health.failed >= ejectMinFailures && ratio >= ejectRatio && ratio > ejectPeerFactor*b.peerRatio(r)
}

// peerRatio is the failure ratio of all other instances that are not ejected.
func (b *Balancer) peerRatio(r *row) float64 {
	var peers health
	for i := range b.rows {
		p := &b.rows[i]
		if p.ID != r.ID && p.health.ejectedUntil.IsZero() {
			peers.succeeded += p.health.succeeded
			peers.failed += p.health.failed
		}
	}
	return max(peers.ratio(), defaultPeerFailure)
}

// mayEject reports whether one more ejection stays within the greatest share.
func (b *Balancer) mayEject() bool {
	ejected := 0
	for i := range b.rows {
		if !b.rows[i].health.ejectedUntil.IsZero() {
			ejected++
		}
	}
	return float64(ejected+1) <= b.options.Limits.EjectShare*float64(len(b.rows))
}

// Ejected counts the instances that are ejected or on probation.
func (b *Balancer) Ejected() int {
	n := 0
	for i := range b.rows {
		if !b.rows[i].health.ejectedUntil.IsZero() {
			n++
		}
	}
	return n
}
