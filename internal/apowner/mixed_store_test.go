package apowner_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// storeFaults are the faults of a store that all entries see.
type storeFaults struct {
	// down means that no call is answered. lossy means that calls go through a lossyStore.
	down, lossy atomic.Bool
	// delay is how long each write takes.
	delay atomic.Int64
	// forgetful means that watches have lost their history.
	forgetful atomic.Bool
}

// faultyStore is the store as an entry sees it.
type faultyStore struct {
	apstore.TransactionalStore
	faults *storeFaults
	lossy  *lossyStore
	// cutOff means that this entry can't reach the store, paused that its process is stopped.
	cutOff, paused atomic.Bool
	// lease is the last lease of the entry.
	lease atomic.Uint64
}

func newFaultyStore(store apstore.TransactionalStore, faults *storeFaults, random *rand.Rand) *faultyStore {
	slow := slowStore{TransactionalStore: store, delay: &faults.delay}
	return &faultyStore{TransactionalStore: slow, faults: faults, lossy: &lossyStore{TransactionalStore: slow, random: random, claimed: true}}
}

// check returns an error after a while if the store can't be reached.
func (f *faultyStore) check(ctx context.Context) error {
	for f.paused.Load() && apstore.Sleep(ctx, 10*time.Millisecond) {
	}
	if !f.faults.down.Load() && !f.cutOff.Load() {
		return nil
	}
	apstore.Sleep(ctx, commitTimeout)
	return apcode.Errorf(apcode.StoreUnavailable, "the store can't be reached")
}

func (f *faultyStore) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if err := f.check(ctx); err != nil {
		return apstore.Value{}, err
	}
	return f.TransactionalStore.Read(ctx, key)
}

func (f *faultyStore) Scan(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	if err := f.check(ctx); err != nil {
		return apstore.Page{}, err
	}
	return f.TransactionalStore.Scan(ctx, prefix)
}

func (f *faultyStore) WatchChanges(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	if err := f.check(ctx); err != nil {
		return apstore.Feed{}, err
	}
	if f.faults.forgetful.Load() {
		apstore.Sleep(ctx, 20*time.Millisecond)
		return apstore.Feed{}, apcode.Errorf(apcode.StoreHistoryLost, "no history")
	}
	feed, err := f.TransactionalStore.WatchChanges(ctx, prefix, after, wait)
	if lost := f.check(ctx); lost != nil {
		return apstore.Feed{}, lost
	}
	return feed, err
}

func (f *faultyStore) Commit(ctx context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	if err := f.check(ctx); err != nil {
		return apstore.TransactionResult{}, err
	}
	commit := f.TransactionalStore.Commit
	if f.faults.lossy.Load() {
		commit = f.lossy.Commit
	}
	result, err := commit(ctx, t)
	if lost := f.check(ctx); lost != nil {
		return apstore.TransactionResult{}, apcode.Errorf(apcode.StoreUnknown, "no answer")
	}
	return result, err
}

func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if err := f.check(ctx); err != nil {
		return 0, err
	}
	lease, err := f.TransactionalStore.Grant(ctx, ttl)
	f.lease.Store(uint64(lease))
	return lease, err
}

func (f *faultyStore) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if err := f.check(ctx); err != nil {
		return err
	}
	return f.TransactionalStore.Renew(ctx, lease)
}

func (f *faultyStore) Revoke(ctx context.Context, lease apstore.LeaseID) error {
	if err := f.check(ctx); err != nil {
		return err
	}
	return f.TransactionalStore.Revoke(ctx, lease)
}
