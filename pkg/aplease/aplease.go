// Package aplease implements an exclusive lease on a key of the store. At most one holder has it at a time, and its
// epoch increases with every new holder.
package aplease

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Holder acquires and renews one lease.
type Holder interface {
	// Step acquires the lease if it is free, or renews it if a renewal is due, and returns the current grant.
	Step(ctx context.Context, now time.Time) Grant
	// Held returns the current grant without calling the store.
	Held(now time.Time) Grant
	// Release gives up the lease. It returns errors of the store.
	Release(ctx context.Context) error
}

// Grant is the state of a lease at some time.
type Grant struct {
	// Held tells whether the lease is held. It becomes false at the local deadline, which is before the lease
	// expires in the store.
	Held bool
	// Epoch increases with every new holder; 0 if the lease is not held.
	Epoch uint64
	// Until is the local deadline.
	Until time.Time
}

// record is the value stored under the lease's key.
type record struct {
	Holder apfleet.EntryName `cbor:"Holder"`
}

// Check returns BadMessage for a record without a holder.
func (r record) Check() error {
	if r.Holder == "" {
		return apcode.Errorf(apcode.BadMessage, "lease record has no holder")
	}
	return nil
}

// Lease implements Holder on a store. It is not safe for concurrent use.
type Lease struct {
	store   apstore.Store
	key     apfleet.Key
	holder  apfleet.EntryName
	options Options

	id apstore.LeaseID
	// epoch is 0 while the lease is not held.
	epoch uint64
	// until is the local deadline.
	until   time.Time
	renewAt time.Time
	// retryAt is the earliest time of the next attempt to acquire the lease.
	retryAt time.Time
}

// New returns a lease on key for holder. The lease is not held yet.
func New(store apstore.Store, key apfleet.Key, holder apfleet.EntryName, opts ...Option) *Lease {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Lease{store: store, key: key, holder: holder, options: options}
}

// Held implements Holder.
func (l *Lease) Held(now time.Time) Grant {
	if l.epoch == 0 || !now.Before(l.until) {
		return Grant{}
	}
	return Grant{Held: true, Epoch: l.epoch, Until: l.until}
}

// Step implements Holder. The time that its calls of the store take counts against the lease.
func (l *Lease) Step(ctx context.Context, now time.Time) Grant {
	started := time.Now()
	if l.Held(now).Held {
		if !now.Before(l.renewAt) {
			l.renew(ctx, now)
		}
	} else {
		l.epoch = 0
		if !now.Before(l.retryAt) {
			l.retryAt = now.Add(l.options.RetryEvery)
			l.acquire(ctx, now)
		}
	}
	return l.Held(now.Add(time.Since(started)))
}

// Release implements Holder.
func (l *Lease) Release(ctx context.Context) error {
	if l.epoch == 0 {
		return nil
	}
	l.epoch = 0
	return l.store.Revoke(ctx, l.id)
}

// renew extends the lease. The new local deadline is computed from the time before the call, so that it always comes
// before the expiry in the store.
func (l *Lease) renew(ctx context.Context, now time.Time) {
	l.renewAt = now.Add(l.options.TTL / renewalsPerTTL)
	err := l.store.Renew(ctx, l.id)
	switch apcode.Of(err) {
	case apcode.OK:
		l.until = now.Add(l.options.TTL - l.options.Margin)
	case apcode.LeaseLost:
		l.epoch = 0
	default:
	}
}

// acquire tries to acquire the lease: it writes the lease's key if the key is absent. The revision of that write
// becomes the epoch.
func (l *Lease) acquire(ctx context.Context, now time.Time) {
	value, err := l.store.Get(ctx, l.key)
	if err != nil || value.Revision != 0 {
		return
	}
	id, err := l.store.Grant(ctx, l.options.TTL)
	if err != nil {
		return
	}
	data := apfleet.Encode(record{Holder: l.holder})
	revision, err := l.store.Swap(ctx, apstore.Write{Key: l.key, Data: data, Lease: id})
	if err != nil {
		_ = l.store.Revoke(ctx, id)
		return
	}
	l.id = id
	l.epoch = uint64(revision)
	l.until = now.Add(l.options.TTL - l.options.Margin)
	l.renewAt = now.Add(l.options.TTL / renewalsPerTTL)
}
