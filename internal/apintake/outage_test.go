package apintake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apintake"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore/memory"
)

func TestStoreWaitEqualsOutageDuration(t *testing.T) {
	for _, c := range []struct{ outage, remaining, want time.Duration }{
		{0, 2800 * time.Millisecond, 500 * time.Millisecond},
		{2 * time.Second, 2800 * time.Millisecond, 2 * time.Second},
		{3 * time.Second, 2800 * time.Millisecond, 0},
		{time.Minute, 2800 * time.Millisecond, 0},
		{0, 300 * time.Millisecond, 0},
	} {
		assert.Equal(t, apintake.StoreWait(c.outage, c.remaining), c.want)
	}
}

// Retry behaviour of callers, as observed on the users' platform.
const (
	attemptTimeout = 2800 * time.Millisecond
	attemptDelay   = time.Second
	maxAttempts    = 5
)

// New callers arrive every 100 ms during an outage of 4.2 s, retry one second after a refusal and give up
// after five attempts. None of them may be lost. When submissions were refused at once, all callers of the
// first 0.2 s were.
func TestCallersOutlastAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := intake(memory.TransactionalStore{Store: memory.New()})
		in.ApplySettings(&apqueue.Table{Version: 1})
		in.ConfirmSettings(time.Now())
		in.MarkStoreUnavailable()
		callers := &errgroup.Group{}
		for n := range 40 {
			callers.Go(func() error {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				var err error
				for range maxAttempts {
					ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
					err = in.WaitForStore(ctx)
					cancel()
					if err == nil {
						return nil
					}
					time.Sleep(attemptDelay)
				}
				return err
			})
		}
		time.Sleep(4200 * time.Millisecond)
		in.ConfirmSettings(time.Now())
		assert.NilError(t, callers.Wait())
	})
}

// Late in a long outage submissions are refused at once, and the number of waiting submissions is bounded.
func TestLongOutageRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := intake(memory.TransactionalStore{Store: memory.New()})
		assert.NilError(t, in.WaitForStore(t.Context()), "the store answers")
		in.MarkStoreUnavailable()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		defer cancel()
		started := time.Now()
		assert.Equal(t, apcode.Of(in.WaitForStore(ctx)), apcode.StoreUnavailable)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
	synctest.Test(t, func(t *testing.T) {
		in := intake(memory.TransactionalStore{Store: memory.New()})
		in.MarkStoreUnavailable()
		time.Sleep(time.Second)
		waiting := &errgroup.Group{}
		for range 512 {
			waiting.Go(func() error { return in.WaitForStore(t.Context()) })
		}
		synctest.Wait()
		assert.Equal(t, apcode.Of(in.WaitForStore(t.Context())), apcode.StoreUnavailable)
		in.ConfirmSettings(time.Now())
		assert.NilError(t, waiting.Wait())
		assert.NilError(t, in.WaitForStore(t.Context()))
	})
}
