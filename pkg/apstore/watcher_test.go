package apstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// recordingStore records the wait of each WatchChanges call, and fails the calls whose numbers are in failOn.
type recordingStore struct {
	apstore.TransactionalStore
	waits  []time.Duration
	failOn map[int]bool
}

func (w *recordingStore) WatchChanges(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	w.waits = append(w.waits, wait)
	if w.failOn[len(w.waits)] {
		return apstore.Feed{}, apcode.Errorf(apcode.StoreUnavailable, "store down")
	}
	return w.TransactionalStore.WatchChanges(ctx, prefix, after, wait)
}

// After a failed watch the next one must not wait for a change. Otherwise the store's recovery is noticed
// only when something changes or the watch times out.
func TestWatcherDetectsRecoveryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordingStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, failOn: map[int]bool{1: true, 2: true}}
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var recoveredAfter time.Duration
		started := time.Now()
		watcher := apstore.Watcher{Store: store, Prefix: "p/", Timeout: 2 * time.Second, Backoff: 100 * time.Millisecond}
		assert.NilError(t, watcher.Run(ctx, func(update apstore.Update) {
			if update.Err == nil && !update.Snapshot && recoveredAfter == 0 {
				recoveredAfter = time.Since(started)
			}
		}))
		assert.Equal(t, recoveredAfter, 200*time.Millisecond)
		assert.DeepEqual(t, store.waits[:4], []time.Duration{2 * time.Second, 0, 0, 2 * time.Second})
	})
}

// unreadableFeedStore answers each watch from before a revision with what can't be decoded.
type unreadableFeedStore struct {
	apstore.TransactionalStore
	until apstore.Revision
}

func (u *unreadableFeedStore) WatchChanges(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	if after < u.until {
		return apstore.Feed{}, apcode.Errorf(apcode.BadMessage, "unreadable")
	}
	return u.TransactionalStore.WatchChanges(ctx, prefix, after, wait)
}

func TestWatcherFollowsOnAfterUnreadableFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unreadableFeedStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, until: 1}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		put := func(key apfleet.Key) {
			_, err := store.Commit(ctx, apstore.Transaction{Puts: []apstore.Put{{Key: key, Data: []byte("v")}}})
			assert.NilError(t, err)
		}
		seen := make(map[apfleet.Key]bool)
		watcher := apstore.Watcher{Store: store, Prefix: "p/", Timeout: 2 * time.Second, Backoff: 100 * time.Millisecond}
		assert.NilError(t, watcher.Run(ctx, func(update apstore.Update) {
			switch {
			case update.Err != nil && len(seen) == 0:
				put("p/1")
			case seen["p/1"] && !seen["p/2"]:
				put("p/2")
			}
			for _, event := range update.Events {
				seen[event.Value.Key] = true
			}
		}))
		assert.Assert(t, seen["p/1"] && seen["p/2"], "%v", seen)
	})
}
