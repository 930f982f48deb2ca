package apstore

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Update is what a Tail has learnt since its last one.
type Update struct {
	// Reset tells that Events hold everything under the prefix: what isn't there is gone.
	Reset  bool
	Events []Event
	// Asked is when the question went out: the state is at least as new as that.
	Asked time.Time
	// Err is set when the store did not answer; nothing was learnt then.
	Err error
}

// Tail follows a prefix from its present state on and passes on every change.
type Tail struct {
	Ledger Ledger
	Prefix apfleet.Key
	// Wait is how long one watch may last; its end without a change confirms the state.
	Wait time.Duration
	// Gap is the pause between two watches, so that changes are taken together.
	Gap time.Duration
	// Backoff is the pause after an error.
	Backoff time.Duration
}

// Run passes updates to apply until ctx ends.
func (t Tail) Run(ctx context.Context, apply func(Update)) error {
	for ctx.Err() == nil {
		asked := time.Now()
		page, err := t.Ledger.Scan(ctx, t.Prefix)
		if err != nil {
			apply(Update{Err: err, Asked: asked})
			Pause(ctx, t.Backoff)
			continue
		}
		update := Update{Reset: true, Asked: asked}
		for _, value := range page.Values {
			update.Events = append(update.Events, Event{Value: value})
		}
		apply(update)
		t.follow(ctx, page.Revision, apply)
	}
	return nil
}

// follow watches until the history is lost.
func (t Tail) follow(ctx context.Context, after Revision, apply func(Update)) {
	wait := t.Wait
	for ctx.Err() == nil {
		asked := time.Now()
		feed, err := t.Ledger.Follow(ctx, t.Prefix, after, wait)
		if apcode.Is(err, apcode.StoreHistoryLost) {
			return
		}
		if err != nil {
			apply(Update{Err: err, Asked: asked})
			Pause(ctx, t.Backoff)
			// The first answer tells that the store is back, and must not wait for a change.
			wait = 0
			continue
		}
		wait = t.Wait
		after = max(after, feed.Revision)
		apply(Update{Events: feed.Events, Asked: asked})
		Pause(ctx, t.Gap)
	}
}

// Pause waits until a time has passed, and reports false when ctx ended first.
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
