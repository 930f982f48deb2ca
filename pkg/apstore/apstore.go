// Package apstore defines the interfaces of the platform's store, with compare-and-swap, leases and watches, and a
// client that finds out whether a write whose reply was lost took effect.
package apstore

import (
	"context"
	"time"

	"auburnport/pkg/apfleet"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Store is a key-value store with compare-and-swap, leases and watches. The entries that proxy requests (package
// apdaemon) use it.
type Store interface {
	// Get returns the value of a key. An absent key has revision 0. Errors: StoreUnavailable.
	Get(ctx context.Context, key apfleet.Key) (Value, error)
	// List returns the values whose key starts with prefix, and the store's revision. Errors:
	// StoreUnavailable.
	List(ctx context.Context, prefix apfleet.Key) (Page, error)
	// Swap writes a value if the key's revision is the expected one; 0 means absent. Errors: StoreConflict,
	// StoreUnavailable (no effect), StoreUnknown (effect unknown), ValueTooLarge, LeaseLost.
	Swap(ctx context.Context, write Write) (Revision, error)
	// Watch waits until a value under prefix has a revision above after, and returns all such values. It
	// returns an empty page if there are none after the duration wait. Errors: StoreUnavailable.
	Watch(ctx context.Context, prefix apfleet.Key, after Revision, wait time.Duration) (Page, error)
	Leases
}

// Leases grants, renews and revokes leases.
type Leases interface {
	// Grant returns a new lease that expires unless it is renewed within ttl. Errors: StoreUnavailable,
	// StoreUnknown.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl. Errors: LeaseLost, StoreUnavailable, StoreUnknown.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it. Errors: as for Renew.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Revision is the store's counter of writes. It never decreases.
type Revision uint64

// LeaseID identifies a lease; 0 means none.
type LeaseID uint64

// Value is a value with its key and the revision of its last write.
type Value struct {
	Key apfleet.Key `cbor:"Key"`
	// Revision is 0 when the key is absent.
	Revision Revision `cbor:"Revision"`
	Data     []byte   `cbor:"Data"`
}

// Check accepts every value.
func (v Value) Check() error { return nil }

// Page is the result of List or Watch.
type Page struct {
	// Revision is the store's revision at the time of the answer.
	Revision Revision `cbor:"Revision"`
	Values   []Value  `cbor:"Values"`
}

// Check accepts every page.
func (p Page) Check() error { return nil }

// Write is a conditional write.
type Write struct {
	Key apfleet.Key `cbor:"Key"`
	// Data is at most MaxValueBytes long.
	Data []byte `cbor:"Data"`
	// Expected is the revision that the key must have for the write to succeed.
	Expected Revision `cbor:"Expected"`
	// Lease is the lease that the key is attached to: the key is deleted when the lease ends. 0 means no
	// lease.
	Lease LeaseID `cbor:"Lease"`
}

// Check accepts every write.
func (w Write) Check() error { return nil }
