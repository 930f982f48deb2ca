package aproute

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which a recorded success or failure loses half of its weight.
	healthHalfLife = 2 * time.Second
	// ejectMinFailures is the decayed number of failures below which the failure ratio is not judged. Each failure
	// counts for at most 1, so that 2.5 takes at least three.
	ejectMinFailures = 2.5
	// ejectFailureRatio is the minimum failure ratio for an ejection.
	ejectFailureRatio = 0.5
	// ejectOthersRatioFactor is how many times the failure ratio of the other instances an instance's own ratio must
	// exceed for an ejection.
	ejectOthersRatioFactor = 3
	// ejectConsecutiveFailures is the number of failures in a row that suffices for an ejection.
	ejectConsecutiveFailures = 3
	// minEjection is the duration of the first ejection; maxEjection limits that of repeated ones.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probesToReadmit is the number of successful probes that end the probation.
	probesToReadmit = 2
	// minOthersFailureRatio is the failure ratio that the other instances are taken to have at least.
	minOthersFailureRatio = 0.05
)

// health counts an instance's successes and failures to decide on ejection. An ejected instance receives
// no requests until ejectedUntil, unless no candidate is left. After ejectedUntil it is on probation: it receives
// one probe at a time and is readmitted after probesToReadmit successful ones. The zero value is healthy.
type health struct {
	// succeeded and failed are counts that decay exponentially with healthHalfLife.
	succeeded, failed   float64
	decayedAt           time.Time
	consecutiveFailures int
	// ejectedUntil is zero unless the instance is ejected or on probation.
	ejectedUntil time.Time
	// ejectionDuration is the duration of the latest ejection; it doubles each time until readmission.
	ejectionDuration time.Duration
	// probing is true while a probe is in flight.
	probing bool
	// probesPassed counts successful probes since the latest ejection.
	probesPassed int
}

// accepts reports whether the instance may receive a request: always when healthy, one idempotent
// probe at a time on probation, never while ejected.
func (h *health) accepts(now time.Time, idempotent bool) bool {
	if h.ejectedUntil.IsZero() {
		return true
	}
	return idempotent && !h.probing && !now.Before(h.ejectedUntil)
}

// startProbe marks a probe as in flight if the instance is on probation.
func (h *health) startProbe(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// cancelProbe ends a probe without a result, so that another one may start.
func (h *health) cancelProbe() { h.probing = false }

// recordSuccess records a success and readmits the instance when it has passed enough probes.
func (h *health) recordSuccess(now time.Time) {
	h.decay(now)
	h.succeeded++
	h.consecutiveFailures = 0
	if !h.probing {
		return
	}
	h.probing = false
	h.probesPassed++
	if h.probesPassed >= probesToReadmit {
		*h = health{}
	}
}

// decay applies to succeeded and failed the exponential decay since decayedAt.
func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(healthHalfLife))
		h.succeeded *= factor
		h.failed *= factor
	}
	h.decayedAt = now
}

// failureRatio returns the share of failures, or 0 without any results.
func (h *health) failureRatio() float64 {
	total := h.succeeded + h.failed
	if total == 0 {
		return 0
	}
	return h.failed / total
}

// eject starts an ejection that is twice as long as the one before, up to maxEjection.
func (h *health) eject(now time.Time) {
	h.ejectionDuration = min(max(2*h.ejectionDuration, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionDuration)
	h.probing = false
	h.probesPassed = 0
}

// recordFailure records a failure. It ejects an instance that fails a probe, fails
// ejectConsecutiveFailures times in a row, or fails far more often than the other instances.
func (b *Balancer) recordFailure(now time.Time, instance *instanceState) {
	h := &instance.health
	h.decay(now)
	h.failed++
	h.consecutiveFailures++
	if h.probing {
		h.eject(now)
		return
	}
	if !h.ejectedUntil.IsZero() || !b.isOutlier(instance) || !b.mayEject() {
		return
	}
	h.eject(now)
}

// isOutlier reports whether the instance's failures justify an ejection.
func (b *Balancer) isOutlier(instance *instanceState) bool {
	if instance.health.consecutiveFailures >= ejectConsecutiveFailures {
		return true
	}
	ratio := instance.health.failureRatio()
	return instance.health.failed >= ejectMinFailures && ratio >= ejectFailureRatio && ratio > ejectOthersRatioFactor*b.otherInstancesFailureRatio(instance)
}

// otherInstancesFailureRatio returns the failure ratio of all other instances that are not ejected, but at
// least minOthersFailureRatio.
func (b *Balancer) otherInstancesFailureRatio(instance *instanceState) float64 {
	var others health
	for i := range b.instances {
		other := &b.instances[i]
		if other.ID != instance.ID && other.health.ejectedUntil.IsZero() {
			others.succeeded += other.health.succeeded
			others.failed += other.health.failed
		}
	}
	return max(others.failureRatio(), minOthersFailureRatio)
}

// mayEject reports whether one more ejection stays within Limits.EjectShare.
func (b *Balancer) mayEject() bool {
	ejected := 0
	for i := range b.instances {
		if !b.instances[i].health.ejectedUntil.IsZero() {
			ejected++
		}
	}
	return float64(ejected+1) <= b.options.Limits.EjectShare*float64(len(b.instances))
}

// Ejected returns the number of instances that are ejected or on probation.
func (b *Balancer) Ejected() int {
	n := 0
	for i := range b.instances {
		if !b.instances[i].health.ejectedUntil.IsZero() {
			n++
		}
	}
	return n
}
