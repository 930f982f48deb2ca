package aplease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

const key = "auburnport-control/test"

// failingRenewals is a store whose renewals fail.
type failingRenewals struct{ apstore.Store }

func (failingRenewals) Renew(context.Context, apstore.LeaseID) error {
	return apcode.Errorf(apcode.StoreUnavailable, "down")
}

func TestOneHolderAndRisingEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first := aplease.New(store, key, "a")
		second := aplease.New(store, key, "b")
		var epoch uint64
		for range 200 {
			a := first.Step(t.Context(), time.Now())
			b := second.Step(t.Context(), time.Now())
			assert.Assert(t, !a.Held || !b.Held)
			if a.Held {
				epoch = a.Epoch
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, first.Held(time.Now()).Held)
		assert.NilError(t, first.Release(t.Context()))
		time.Sleep(3 * time.Second)
		b := second.Step(t.Context(), time.Now())
		assert.Assert(t, b.Held)
		assert.Assert(t, b.Epoch > epoch)
	})
}

func TestPausedHolderLosesLeaseBeforeAnotherAcquiresIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		paused := aplease.New(store, key, "a")
		other := aplease.New(store, key, "b")
		assert.Assert(t, paused.Step(t.Context(), time.Now()).Held)
		for !other.Step(t.Context(), time.Now()).Held {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, !paused.Held(time.Now()).Held, "both hold the lease")
		assert.Assert(t, !paused.Step(t.Context(), time.Now()).Held)
	})
}

func TestHolderStopsWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := aplease.New(failingRenewals{memory.New()}, key, "a")
		start := time.Now()
		assert.Assert(t, lease.Step(t.Context(), start).Held)
		for lease.Step(t.Context(), time.Now()).Held {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, time.Since(start) <= 5*time.Second, "the lease was held for %v, but its TTL is 6 s", time.Since(start))
	})
}

// slowSwaps is a store whose answers to swaps are late.
type slowSwaps struct {
	apstore.Store
	delay time.Duration
}

func (s slowSwaps) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	revision, err := s.Store.Swap(ctx, write)
	time.Sleep(s.delay)
	return revision, err
}

// The answer to an acquisition that comes after the lease has expired must not grant it: another may hold it by then.
func TestLateAnswerGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		slow := aplease.New(slowSwaps{store, 7 * time.Second}, key, "a")
		other := aplease.New(store, key, "b")
		granted := make(chan aplease.Grant, 1)
		group := &errgroup.Group{}
		group.Go(func() error {
			granted <- slow.Step(t.Context(), time.Now())
			return nil
		})
		time.Sleep(time.Millisecond)
		for !other.Step(t.Context(), time.Now()).Held {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, !(<-granted).Held, "both hold the lease")
		assert.NilError(t, group.Wait())
	})
}
