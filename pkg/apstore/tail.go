package apstore

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Update holds the changes since the last update of a Tail.
type Update struct {
	// Reset is true when Events holds everything under the prefix, so that a key without an event does not
	// exist.
	Reset  bool
	Events []Event
	// Asked is when the request was sent. The state is at least as recent as that.
	Asked time.Time
	// Err is set when the store did not answer. The update has no events then.
	Err error
}

// Tail reads all values under a prefix and then follows their changes.
type Tail struct {
	Ledger Ledger
	Prefix apfleet.Key
	// Wait bounds a single watch. A watch that ends without a change confirms that the state is current.
	Wait time.Duration
	// Gap is the delay between two watches, so that changes are batched.
	Gap time.Duration
	// Backoff is the delay after an error.
	Backoff time.Duration
}

// Run passes updates to apply until ctx ends.
func (t Tail) Run(ctx context.Context, apply func(Update)) error {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := t.Ledger.Scan(ctx, t.Prefix)
		if err != nil {
			apply(Update{Err: err, Asked: requestedAt})
			Pause(ctx, t.Backoff)
			continue
		}
		update := Update{Reset: true, Asked: requestedAt}
		for _, value := range page.Values {
			update.Events = append(update.Events, Event{Value: value})
		}
		apply(update)
		t.watch(ctx, page.Revision, apply)
	}
	return nil
}

// watch follows changes until the store no longer has the history needed.
func (t Tail) watch(ctx context.Context, after Revision, apply func(Update)) {
	wait := t.Wait
	for ctx.Err() == nil {
		requestedAt := time.Now()
		feed, err := t.Ledger.Follow(ctx, t.Prefix, after, wait)
		if apcode.Is(err, apcode.StoreHistoryLost) {
			return
		}
		if err != nil {
			apply(Update{Err: err, Asked: requestedAt})
			Pause(ctx, t.Backoff)
			// Let the next watch return at once, to report the store's recovery without waiting for a change.
			wait = 0
			continue
		}
		wait = t.Wait
		after = max(after, feed.Revision)
		apply(Update{Events: feed.Events, Asked: requestedAt})
		Pause(ctx, t.Gap)
	}
}

// Pause sleeps for d. It reports false if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
