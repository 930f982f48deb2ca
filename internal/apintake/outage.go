package apintake

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
)

const (
	// minStoreWait is about how long an entry takes to reconnect after the store has dropped its connection.
	minStoreWait = 500 * time.Millisecond
	// maxWaitingSubmissions bounds the submissions that wait for the store, because each takes memory. At 100
	// submissions per second, about 300 wait if each does so for defaultCallerTimeout.
	maxWaitingSubmissions = 512
)

// StoreWait returns how long a submission waits for a store that has been unavailable for the duration
// outage, when its caller waits for the duration remaining. The outage is assumed to last as long again as it
// has lasted. 0 means that the submission is refused at once. Refused callers retry about every second and
// give up after five attempts, so refusing all submissions would lose those of the first second of an outage of a
// few seconds.
func StoreWait(outage, remaining time.Duration) time.Duration {
	wait := max(outage, minStoreWait)
	if wait > remaining {
		return 0
	}
	return wait
}

// MarkStoreUnavailable records that the store does not answer. ConfirmSettings ends the outage.
func (i *Intake) MarkStoreUnavailable() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unavailableSince.IsZero() {
		i.unavailableSince, i.recovered = time.Now(), make(chan struct{})
	}
}

// WaitForStore waits for the store during an outage if it may recover before the caller's deadline. It sends nothing
// to the store, so a submission that it refuses has had no effect. Errors: StoreUnavailable.
func (i *Intake) WaitForStore(ctx context.Context) error {
	i.mu.Lock()
	unavailableSince, recovered, full := i.unavailableSince, i.recovered, i.waitingSubmissions >= maxWaitingSubmissions
	if !unavailableSince.IsZero() && !full {
		i.waitingSubmissions++
		defer i.releaseWaiter()
	}
	i.mu.Unlock()
	if unavailableSince.IsZero() {
		return nil
	}
	outage, remaining := time.Since(unavailableSince), defaultCallerTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	wait := StoreWait(outage, remaining)
	if full || wait == 0 {
		return apcode.Errorf(apcode.StoreUnavailable, "the store has been unavailable for %s", outage.Round(time.Millisecond))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-recovered:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return apcode.Errorf(apcode.StoreUnavailable, "the store was unavailable for %s and did not recover within %s", outage.Round(time.Millisecond), wait.Round(time.Millisecond))
}

// defaultCallerTimeout is the time assumed for a caller without a deadline.
const defaultCallerTimeout = 3 * time.Second

func (i *Intake) releaseWaiter() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waitingSubmissions--
}
