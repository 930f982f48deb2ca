// Package aplease holds a lease on a key of the store: one holder at a time, with an epoch that
// rises with every new holder.
package aplease

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Holder takes and keeps one lease.
type Holder interface {
	// Step acquires the lease when it is free, or renews it when it is due, and returns the grant.
	Step(ctx context.Context, now time.Time) Grant
	// Held returns the grant without a call to the store.
	Held(now time.Time) Grant
	// Release gives the lease up. Errors: those of the store.
	Release(ctx context.Context) error
}

// Grant tells whether the lease is held.
type Grant struct {
	// Held is false from the local deadline on, which is before the store lets the lease lapse.
	Held bool
	// Epoch rises with every new holder; 0 when not held.
	Epoch uint64
	// Until is the local deadline.
	Until time.Time
}

// record is the value of the lease's key.
type record struct {
	Holder apfleet.EntryName `cbor:"Holder"`
}

// Check returns BadMessage for a record without a holder.
func (r record) Check() error {
	if r.Holder == "" {
		return apcode.Errorf(apcode.BadMessage, "lease without a holder")
	}
	return nil
}

// Lease is a Holder on a store. It is used from one goroutine.
type Lease struct {
	store   apstore.Store
	key     apfleet.Key
	name    apfleet.EntryName
	options Options

	id      apstore.LeaseID
	epoch   uint64
	until   time.Time
	renewAt time.Time
	retryAt time.Time
}

// New returns a lease on key that is not held yet.
func New(store apstore.Store, key apfleet.Key, name apfleet.EntryName, opts ...Option) *Lease {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Lease{store: store, key: key, name: name, options: options}
}

// Held implements Holder.
func (l *Lease) Held(now time.Time) Grant {
	if l.epoch == 0 || !now.Before(l.until) {
		return Grant{}
	}
	return Grant{Held: true, Epoch: l.epoch, Until: l.until}
}

// Step implements Holder.
func (l *Lease) Step(ctx context.Context, now time.Time) Grant {
	if l.Held(now).Held {
		if !now.Before(l.renewAt) {
			l.renew(ctx, now)
		}
		return l.Held(now)
	}
	l.epoch = 0
	if !now.Before(l.retryAt) {
		l.retryAt = now.Add(l.options.RetryEvery)
		l.acquire(ctx, now)
	}
	return l.Held(now)
}

// Release implements Holder.
func (l *Lease) Release(ctx context.Context) error {
	if l.epoch == 0 {
		return nil
	}
	l.epoch = 0
	return l.store.Revoke(ctx, l.id)
}

// renew extends the lease. The local deadline counts from before the call, so that it always comes
// before the store's.
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

func (l *Lease) acquire(ctx context.Context, now time.Time) {
	value, err := l.store.Get(ctx, l.key)
	if err != nil || value.Revision != 0 {
		return
	}
	id, err := l.store.Grant(ctx, l.options.TTL)
	if err != nil {
		return
	}
	data := apfleet.Encode(record{Holder: l.name})
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
