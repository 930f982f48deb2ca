package apstore

import (
	"context"
	"time"

	"auburnport/pkg/apfleet"
)

// MaxTransactionOperations is the largest number of conditions, puts and removals in one transaction.
const MaxTransactionOperations = 32

// TransactionalStore is a store with transactions over several keys and watches that report removals. The entries on
// the users' platform (package apnode), which schedule jobs, use it.
type TransactionalStore interface {
	// Read returns the value of a key. An absent key has revision 0. Errors: StoreUnavailable.
	Read(ctx context.Context, key apfleet.Key) (Value, error)
	// Scan returns all values under prefix. The revision is the store's revision before the first page was
	// read, so that a WatchChanges call from it misses no change. Errors: StoreUnavailable.
	Scan(ctx context.Context, prefix apfleet.Key) (Page, error)
	// Commit applies all puts and removals if every condition holds, or none. Errors: StoreConflict (the
	// result holds the current values of the conditions' keys), StoreUnavailable (no effect), StoreUnknown
	// (may take effect later), LeaseLost.
	Commit(ctx context.Context, transaction Transaction) (TransactionResult, error)
	// WatchChanges waits up to the duration wait for changes under prefix after a revision, and returns them.
	// Errors: StoreUnavailable, StoreHistoryLost.
	WatchChanges(ctx context.Context, prefix apfleet.Key, after Revision, wait time.Duration) (Feed, error)
	Leases
}

// Condition is the revision that a key must have; 0 means absent.
type Condition struct {
	Key      apfleet.Key `cbor:"Key"`
	Revision Revision    `cbor:"Revision"`
}

// Put is a value to write.
type Put struct {
	Key apfleet.Key `cbor:"Key"`
	// Data is at most MaxValueBytes long.
	Data []byte `cbor:"Data"`
	// Lease is the lease that the key is attached to: the key is deleted when the lease ends. 0 means no
	// lease.
	Lease LeaseID `cbor:"Lease,omitempty"`
}

// Transaction is a set of changes that are applied atomically.
type Transaction struct {
	// Conditions, Puts and Removals have at most MaxTransactionOperations elements in total.
	Conditions []Condition   `cbor:"Conditions,omitempty"`
	Puts       []Put         `cbor:"Puts,omitempty"`
	Removals   []apfleet.Key `cbor:"Removals,omitempty"`
}

// TransactionResult is the result of a transaction.
type TransactionResult struct {
	// Revision is the store's revision after the transaction, which is that of every key written. It is 0 if the
	// transaction was not applied.
	Revision Revision `cbor:"Revision"`
	// Current holds the current values of the conditions' keys after a conflict.
	Current []Value `cbor:"Current,omitempty"`
}

// Event is a change of a key.
type Event struct {
	// Value has no data if the key was removed.
	Value   Value `cbor:"Value"`
	Removed bool  `cbor:"Removed,omitempty"`
}

// Feed is the result of WatchChanges.
type Feed struct {
	// Revision is where the next WatchChanges call continues.
	Revision Revision `cbor:"Revision"`
	Events   []Event  `cbor:"Events,omitempty"`
}
