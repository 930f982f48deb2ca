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

// watched notes how long each watch may wait, and fails some.
type watched struct {
	apstore.Ledger
	waits []time.Duration
	fail  map[int]bool
}

func (w *watched) Follow(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	w.waits = append(w.waits, wait)
	if w.fail[len(w.waits)] {
		return apstore.Feed{}, apcode.Errorf(apcode.StoreUnavailable, "away")
	}
	return w.Ledger.Follow(ctx, prefix, after, wait)
}

// After a failure the next watch returns at once, so that the store's return is noticed without a change.
func TestTailNoticesTheStoresReturnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &watched{Ledger: memory.Ledger{Store: memory.New()}, fail: map[int]bool{1: true, 2: true}}
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var regained time.Duration
		began := time.Now()
		tail := apstore.Tail{Ledger: ledger, Prefix: "p/", Wait: 2 * time.Second, Backoff: 100 * time.Millisecond}
		assert.NilError(t, tail.Run(ctx, func(update apstore.Update) {
			if update.Err == nil && !update.Reset && regained == 0 {
				regained = time.Since(began)
			}
		}))
		assert.Equal(t, regained, 200*time.Millisecond)
		assert.DeepEqual(t, ledger.waits[:4], []time.Duration{2 * time.Second, 0, 0, 2 * time.Second})
	})
}
