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

// recordingLedger records the wait of each Follow call, and fails the calls whose numbers are in failOn.
type recordingLedger struct {
	apstore.Ledger
	waits  []time.Duration
	failOn map[int]bool
}

func (w *recordingLedger) Follow(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	w.waits = append(w.waits, wait)
	if w.failOn[len(w.waits)] {
		return apstore.Feed{}, apcode.Errorf(apcode.StoreUnavailable, "store down")
	}
	return w.Ledger.Follow(ctx, prefix, after, wait)
}

// After a failed watch the next one must not wait for a change. Otherwise the store's recovery is noticed
// only when something changes or the watch times out.
func TestTailDetectsRecoveryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &recordingLedger{Ledger: memory.Ledger{Store: memory.New()}, failOn: map[int]bool{1: true, 2: true}}
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var recoveredAfter time.Duration
		started := time.Now()
		tail := apstore.Tail{Ledger: ledger, Prefix: "p/", Wait: 2 * time.Second, Backoff: 100 * time.Millisecond}
		assert.NilError(t, tail.Run(ctx, func(update apstore.Update) {
			if update.Err == nil && !update.Reset && recoveredAfter == 0 {
				recoveredAfter = time.Since(started)
			}
		}))
		assert.Equal(t, recoveredAfter, 200*time.Millisecond)
		assert.DeepEqual(t, ledger.waits[:4], []time.Duration{2 * time.Second, 0, 0, 2 * time.Second})
	})
}
