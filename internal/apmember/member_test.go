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

// shardRuns records the runs of each shard.
type shardRuns struct {
	mu sync.Mutex
	// counts is how often each shard was run.
	counts map[apjournal.Shard]int
	// errs holds the errors with which runs ended.
	errs []error
}

// runMember runs a member that may claim the shards a and b until d has passed. It calls runShard for each run of a
// shard, with the number of that run from 1 on.
func runMember(t *testing.T, store apstore.TransactionalStore, clock aplease.Clock, d time.Duration, runShard func(ctx context.Context, shard apjournal.Shard, number int, permit *aplease.Permit) error) *shardRuns {
	t.Helper()
	runs := &shardRuns{counts: make(map[apjournal.Shard]int)}
	options := apmember.DefaultOptions()
	options.Clock = clock
	shards := func() []apjournal.Shard { return []apjournal.Shard{"a", "b"} }
	member := apmember.New(store, "entry-1", shards,
		func(ctx context.Context, shard apjournal.Shard, _ *apjournal.Journal, permit *aplease.Permit) error {
			runs.mu.Lock()
			runs.counts[shard]++
			number := runs.counts[shard]
			runs.mu.Unlock()
			return runShard(ctx, shard, number, permit)
		},
		func(event string, fields map[string]any) {
			if err, ok := fields["Error"].(error); ok && event == "ShardEnded" {
				runs.mu.Lock()
				defer runs.mu.Unlock()
				runs.errs = append(runs.errs, err)
			}
		}, options)
	ctx, stop := context.WithTimeout(t.Context(), d)
	defer stop()
	assert.NilError(t, member.Run(ctx))
	return runs
}

// A panic in one shard must end only the run of that shard, which is claimed again.
func TestPanicEndsOneShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := runMember(t, memory.TransactionalStore{Store: memory.New()}, nil, 5*time.Second, func(ctx context.Context, shard apjournal.Shard, number int, _ *aplease.Permit) error {
			if shard == "a" && number == 1 {
				panic("a message that nobody expected")
			}
			<-ctx.Done()
			return nil
		})
		assert.DeepEqual(t, runs.counts, map[apjournal.Shard]int{"a": 2, "b": 1})
		assert.Equal(t, len(runs.errs), 1)
		assert.Equal(t, apcode.Of(runs.errs[0]), apcode.Panicked)
	})
}

// silentStore does not answer renewals after silentFrom.
type silentStore struct {
	memory.TransactionalStore
	silentFrom time.Time
}

func (l silentStore) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if time.Now().After(l.silentFrom) {
		return apcode.Errorf(apcode.StoreUnknown, "no answer")
	}
	return l.TransactionalStore.Renew(ctx, lease)
}

// An owner whose renewals get no response does not learn that its lease has ended. Its permit must end with the
// lease nevertheless, also when its machine was suspended in the meantime.
func TestPermitEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		suspended := &atomic.Int64{}
		store := silentStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, silentFrom: start.Add(3 * time.Second)}
		clock := func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
		checks := &errgroup.Group{}
		runMember(t, store, clock, 8*time.Second, func(ctx context.Context, shard apjournal.Shard, _ int, permit *aplease.Permit) error {
			if shard == "a" {
				checks.Go(func() error {
					time.Sleep(time.Until(start.Add(2200 * time.Millisecond)))
					if err := permit.Check(700 * time.Millisecond); err != nil {
						return err
					}
					suspended.Store(int64(2 * time.Second))
					err := permit.Check(0)
					suspended.Store(0)
					assert.Check(t, apcode.Is(err, apcode.PermitExpired), "the permit outlasted a suspension of the machine")
					time.Sleep(time.Until(store.silentFrom.Add(1600 * time.Millisecond)))
					assert.Check(t, apcode.Is(permit.Check(0), apcode.PermitExpired), "the permit outlasted a lease that was not renewed")
					return nil
				})
			}
			<-ctx.Done()
			return nil
		})
		assert.NilError(t, checks.Wait())
	})
}

// leaseLosingStore revokes every lease that is renewed between lostAt and backAt, and grants none in that time.
type leaseLosingStore struct {
	memory.TransactionalStore
	lostAt, backAt time.Time
}

// Read makes a claim that starts before lostAt last until after it, so that the lease is lost while the first shard is
// being claimed.
func (l leaseLosingStore) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if key != apjournal.OwnerKey("a") && key != apjournal.OwnerKey("b") && time.Now().Before(l.lostAt) {
		time.Sleep(time.Until(l.lostAt.Add(600 * time.Millisecond)))
	}
	return l.TransactionalStore.Read(ctx, key)
}

func (l leaseLosingStore) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if now := time.Now(); now.After(l.lostAt) && now.Before(l.backAt) {
		_ = l.Revoke(ctx, lease)
		return apcode.Errorf(apcode.LeaseLost, "lapsed")
	}
	return l.TransactionalStore.Renew(ctx, lease)
}

func (l leaseLosingStore) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if now := time.Now(); now.After(l.lostAt) && now.Before(l.backAt) {
		return 0, apcode.Errorf(apcode.StoreUnavailable, "away")
	}
	return l.TransactionalStore.Grant(ctx, ttl)
}

// Guards against a shard that nobody runs: if the lease is lost between two claims and the second shard is claimed
// without a lease, its owner's key never expires.
func TestNoShardIsClaimedWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lostAt := time.Now().Add(1100 * time.Millisecond)
		store := leaseLosingStore{TransactionalStore: memory.TransactionalStore{Store: memory.New()}, lostAt: lostAt, backAt: lostAt.Add(time.Second)}
		clock := func() time.Duration { return time.Since(lostAt) + time.Hour }
		runs := runMember(t, store, clock, 8*time.Second, func(ctx context.Context, _ apjournal.Shard, _ int, permit *aplease.Permit) error {
			assert.Check(t, permit.Check(0), "a shard was started without a permit")
			<-ctx.Done()
			return nil
		})
		assert.Assert(t, runs.counts["a"] > 0 && runs.counts["b"] > 0, "not every shard was run: %v", runs.counts)
		for _, shard := range []apjournal.Shard{"a", "b"} {
			value, err := store.TransactionalStore.Read(t.Context(), apjournal.OwnerKey(shard))
			assert.NilError(t, err)
			assert.Equal(t, value.Revision, apstore.Revision(0), "the owner's key of %s outlived the lease", shard)
		}
	})
}

// lateGrantStore grants no lease in the second before grantsFrom.
type lateGrantStore struct {
	memory.TransactionalStore
	grantsFrom time.Time
}

func (l lateGrantStore) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if now := time.Now(); now.After(l.grantsFrom.Add(-time.Second)) && now.Before(l.grantsFrom) {
		return 0, apcode.Errorf(apcode.StoreUnavailable, "away")
	}
	return l.TransactionalStore.Grant(ctx, ttl)
}

// After the store has lost all leases, an entry with a low weight may register again before one with a high weight.
// It must wait for the latter: otherwise it would own the shards of large pools, for which its CPU share is too
// small, until it stops.
func TestStrongEntriesOwnAfterTheStoreLostAllLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memoryStore := memory.TransactionalStore{Store: memory.New()}
		backAt := time.Now().Add(3 * time.Second)
		owners := make(map[apjournal.Shard][]int)
		var mu sync.Mutex
		ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
		defer stop()
		members := &errgroup.Group{}
		for name, weight := range map[apfleet.EntryName]int{"strong": 800, "weak": 192} {
			store := apstore.TransactionalStore(memoryStore)
			if name == "strong" {
				store = lateGrantStore{memoryStore, backAt}
			}
			options := apmember.DefaultOptions()
			options.Weight = weight
			member := apmember.New(store, name, func() []apjournal.Shard { return []apjournal.Shard{"a"} },
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
			_ = memoryStore.Revoke(t.Context(), lease)
		}
		assert.NilError(t, members.Wait())
		assert.DeepEqual(t, owners["a"], []int{800, 800})
	})
}
