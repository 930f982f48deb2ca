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
	"auburnport/pkg/apfleet"
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
					time.Sleep(time.Until(began.Add(2200 * time.Millisecond)))
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

// forgetful is a store that loses a lease while shards are being claimed, and grants none for a while.
type forgetful struct {
	memory.Ledger
	lostAt, backAt time.Time
}

func (f forgetful) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	// The claim of one shard lasts until the lease has been lost.
	if key != apjournal.OwnerKey("a") && key != apjournal.OwnerKey("b") && time.Now().Before(f.lostAt) {
		time.Sleep(time.Until(f.lostAt.Add(600 * time.Millisecond)))
	}
	return f.Ledger.Read(ctx, key)
}

func (f forgetful) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if now := time.Now(); now.After(f.lostAt) && now.Before(f.backAt) {
		_ = f.Revoke(ctx, lease)
		return apcode.Errorf(apcode.LeaseLost, "lapsed")
	}
	return f.Ledger.Renew(ctx, lease)
}

func (f forgetful) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if now := time.Now(); now.After(f.lostAt) && now.Before(f.backAt) {
		return 0, apcode.Errorf(apcode.StoreUnavailable, "away")
	}
	return f.Ledger.Grant(ctx, ttl)
}

// A lease is lost between two claims of one round. The second shard was claimed without a lease: its key
// stayed for good, and with it a shard without an owner.
func TestNoShardIsClaimedWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lostAt := time.Now().Add(1100 * time.Millisecond)
		ledger := forgetful{Ledger: memory.Ledger{Store: memory.New()}, lostAt: lostAt, backAt: lostAt.Add(time.Second)}
		clock := func() time.Duration { return time.Since(lostAt) + time.Hour }
		o := run(t, ledger, clock, 8*time.Second, func(ctx context.Context, _ apjournal.Shard, _ int, permit *aplease.Permit) error {
			assert.Check(t, permit.Check(0), "a shard began without a permit")
			<-ctx.Done()
			return nil
		})
		assert.Assert(t, o.lives["a"] > 0 && o.lives["b"] > 0, "%v", o.lives)
		for _, shard := range []apjournal.Shard{"a", "b"} {
			value, err := ledger.Ledger.Read(t.Context(), apjournal.OwnerKey(shard))
			assert.NilError(t, err)
			assert.Equal(t, value.Revision, apstore.Revision(0), "the owner's key of %s outlives the lease", shard)
		}
	})
}

// late is a store that grants no lease for a while before a time.
type late struct {
	memory.Ledger
	from time.Time
}

func (l late) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if now := time.Now(); now.After(l.from.Add(-time.Second)) && now.Before(l.from) {
		return 0, apcode.Errorf(apcode.StoreUnavailable, "away")
	}
	return l.Ledger.Grant(ctx, ttl)
}

// The store loses all leases. A weak entry registers again before the strong one, and would own the shards of
// large pools, which it can't bear, until it ends: it waits for the strong one.
func TestStrongEntriesOwnAfterTheStoreLostAllLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.Ledger{Store: memory.New()}
		backAt := time.Now().Add(3 * time.Second)
		owners := make(map[apjournal.Shard][]int)
		var mu sync.Mutex
		ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
		defer stop()
		members := &errgroup.Group{}
		for name, weight := range map[apfleet.EntryName]int{"strong": 800, "weak": 192} {
			ledger := apstore.Ledger(store)
			if name == "strong" {
				ledger = late{store, backAt}
			}
			options := apmember.DefaultOptions()
			options.Weight = weight
			member := apmember.New(ledger, name, func() []apjournal.Shard { return []apjournal.Shard{"a"} },
				func(ctx context.Context, shard apjournal.Shard, _ *apjournal.Journal, _ *aplease.Permit) error {
					mu.Lock()
					owners[shard] = append(owners[shard], weight)
					mu.Unlock()
					<-ctx.Done()
					return nil
				}, func(string, map[string]any) {}, options)
			members.Go(func() error { return member.Run(ctx) })
		}
		time.Sleep(time.Until(backAt.Add(-600 * time.Millisecond)))
		for lease := range apstore.LeaseID(10) {
			_ = store.Revoke(t.Context(), lease)
		}
		assert.NilError(t, members.Wait())
		assert.DeepEqual(t, owners["a"], []int{800, 800})
	})
}
