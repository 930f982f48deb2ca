package apintake

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
)

const (
	// minPatience is about the time in which an entry regains a store that has dropped its connection.
	minPatience = 500 * time.Millisecond
	// maxHeld bounds the submissions that wait for the store, for each takes memory: at 100 a second they
	// come to 300 within the time that callers have.
	maxHeld = 512
)

// Patience returns how long a submission waits for a store that has been away for a time, when its caller
// waits for left: an outage is taken to last as long again as it has lasted. 0 means that the caller is
// refused at once. It answers the load of an outage of a few seconds: callers that are refused come back
// about every second and give up after five attempts, so that those of the first second were lost.
func Patience(outage, left time.Duration) time.Duration {
	patience := max(outage, minPatience)
	if patience > left {
		return 0
	}
	return patience
}

// Lost notes that the store does not answer, until the settings are confirmed again.
func (i *Intake) Lost() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.lostAt.IsZero() {
		i.lostAt, i.regained = time.Now(), make(chan struct{})
	}
}

// Await waits for the store while it is away and may be back in time. Nothing has been sent to the store
// when it fails, so a refusal is true. Errors: StoreUnavailable.
func (i *Intake) Await(ctx context.Context) error {
	i.mu.Lock()
	lostAt, regained, full := i.lostAt, i.regained, i.held >= maxHeld
	if !lostAt.IsZero() && !full {
		i.held++
		defer i.release()
	}
	i.mu.Unlock()
	if lostAt.IsZero() {
		return nil
	}
	outage, left := time.Since(lostAt), maxPatience
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	patience := Patience(outage, left)
	if full || patience == 0 {
		return apcode.Errorf(apcode.StoreUnavailable, "the store has been away for %s", outage.Round(time.Millisecond))
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-regained:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return apcode.Errorf(apcode.StoreUnavailable, "the store was away for %s and did not come back within %s", outage.Round(time.Millisecond), patience.Round(time.Millisecond))
}

// maxPatience bounds the wait of a caller that doesn't say how long it waits.
const maxPatience = 3 * time.Second

func (i *Intake) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.held--
}
