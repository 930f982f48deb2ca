package apmember_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apmember"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// owned counts the lives of each shard.
type owned struct {
	mu    sync.Mutex
	lives map[apjournal.Shard]int
	ends  []error
}

// run plays a member of two shards for a time. own runs a shard in its n-th life.
func run(t *testing.T, ledger apstore.Ledger, clock aplease.Clock, d time.Duration, own func(ctx context.Context, shard apjournal.Shard, life int, permit *aplease.Permit) error) *owned {
	t.Helper()
	o := &owned{lives: make(map[apjournal.Shard]int)}
	options := apmember.DefaultOptions()
	options.Clock = clock
	shards := func() []apjournal.Shard { return []apjournal.Shard{"a", "b"} }
	member := apmember.New(ledger, "entry-1", shards,
		func(ctx context.Context, shard apjournal.Shard, _ *apjournal.Journal, permit *aplease.Permit) error {
			o.mu.Lock()
			o.lives[shard]++
			life := o.lives[shard]
			o.mu.Unlock()
			return own(ctx, shard, life, permit)
		},
		func(event string, fields map[string]any) {
			if err, ok := fields["Error"].(error); ok && event == "ShardEnded" {
				o.mu.Lock()
				defer o.mu.Unlock()
				o.ends = append(o.ends, err)
			}
		}, options)
	ctx, stop := context.WithTimeout(t.Context(), d)
	defer stop()
	assert.NilError(t, member.Run(ctx))
	return o
}

// A panic in one shard ends that shard, which is claimed again; the other one goes on.
func TestPanicEndsOneShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := run(t, memory.Ledger{Store: memory.New()}, nil, 5*time.Second, func(ctx context.Context, shard apjournal.Shard, life int, _ *aplease.Permit) error {
			if shard == "a" && life == 1 {
				panic("a message that nobody expected")
			}
			<-ctx.Done()
			return nil
		})
		assert.DeepEqual(t, o.lives, map[apjournal.Shard]int{"a": 2, "b": 1})
		assert.Equal(t, len(o.ends), 1)
		assert.Equal(t, apcode.Of(o.ends[0]), apcode.Panicked)
	})
}

// refusing is a store that answers no renewal from a time on.
type refusing struct {
	memory.Ledger
	from time.Time
}

func (r refusing) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if time.Now().After(r.from) {
		return apcode.Errorf(apcode.StoreUnknown, "no answer")
	}
	return r.Ledger.Renew(ctx, lease)
}

// An owner whose renewals stay without an answer is not told that its lease has ended; its permit ends with the
// lease all the same, also when its machine was suspended meanwhile.
func TestPermitEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		suspended := &atomic.Int64{}
		ledger := refusing{Ledger: memory.Ledger{Store: memory.New()}, from: began.Add(3 * time.Second)}
		clock := func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		checked := &errgroup.Group{}
		run(t, ledger, clock, 8*time.Second, func(ctx context.Context, shard apjournal.Shard, _ int, permit *aplease.Permit) error {
			if shard == "a" {
				checked.Go(func() error {
					time.Sleep(time.Until(began.Add(2 * time.Second)))
					if err := permit.Check(700 * time.Millisecond); err != nil {
						return err
					}
					suspended.Store(int64(2 * time.Second))
					err := permit.Check(0)
					suspended.Store(0)
					assert.Check(t, apcode.Is(err, apcode.PermitExpired), "after the machine was suspended")
					time.Sleep(time.Until(ledger.from.Add(1600 * time.Millisecond)))
					assert.Check(t, apcode.Is(permit.Check(0), apcode.PermitExpired), "after renewals without an answer")
					return nil
				})
			}
			<-ctx.Done()
			return nil
		})
		assert.NilError(t, checked.Wait())
	})
}
