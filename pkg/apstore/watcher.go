package apstore

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Update holds the changes since the last update of a Watcher.
type Update struct {
	// Snapshot is true when Events holds everything under the prefix, so that a key without an event does not
	// exist.
	Snapshot bool
	Events   []Event
	// RequestedAt is when the request was sent. The state is at least as recent as that.
	RequestedAt time.Time
	// Err is set when the store did not answer. The update has no events then.
	Err error
}

// Omits reports whether the update shows that a key does not exist.
func (u Update) Omits(key apfleet.Key) bool {
	return u.Snapshot && !slices.ContainsFunc(u.Events, func(event Event) bool { return event.Value.Key == key && !event.Removed })
}

// Watcher reads all values under a prefix and then follows their changes.
type Watcher struct {
	Store  TransactionalStore
	Prefix apfleet.Key
	// Timeout bounds a single watch. A watch that ends without a change confirms that the state is current.
	Timeout time.Duration
	// Delay is the delay between two watches, so that changes are batched.
	Delay time.Duration
	// Backoff is the delay after an error.
	Backoff time.Duration
}

// Run passes updates to apply until ctx ends.
func (w Watcher) Run(ctx context.Context, apply func(Update)) error {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := w.Store.Scan(ctx, w.Prefix)
		if err != nil {
			apply(Update{Err: err, RequestedAt: requestedAt})
			Sleep(ctx, w.Backoff)
			continue
		}
		update := Update{Snapshot: true, RequestedAt: requestedAt}
		for _, value := range page.Values {
			update.Events = append(update.Events, Event{Value: value})
		}
		apply(update)
		w.watch(ctx, page.Revision, apply)
	}
	return nil
}

// watch follows changes until the store no longer has the history needed, or gives it in a form that can't be read, which
// would be the same at each further attempt.
func (w Watcher) watch(ctx context.Context, after Revision, apply func(Update)) {
	wait := w.Timeout
	for ctx.Err() == nil {
		requestedAt := time.Now()
		feed, err := w.Store.WatchChanges(ctx, w.Prefix, after, wait)
		if apcode.Is(err, apcode.StoreHistoryLost) {
			return
		}
		if err != nil {
			apply(Update{Err: err, RequestedAt: requestedAt})
			Sleep(ctx, w.Backoff)
			if apcode.Is(err, apcode.BadMessage) {
				return
			}
			// Let the next watch return at once, to report the store's recovery without waiting for a change.
			wait = 0
			continue
		}
		wait = w.Timeout
		after = max(after, feed.Revision)
		apply(Update{Events: feed.Events, RequestedAt: requestedAt})
		Sleep(ctx, w.Delay)
	}
}

// Sleep sleeps for d. It reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
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
