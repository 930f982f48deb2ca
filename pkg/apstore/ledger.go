package apstore

import (
	"context"
	"time"

	"auburnport/pkg/apfleet"
)

// MaxTransactionEntries is the largest number of conditions, puts and removals in one transaction.
const MaxTransactionEntries = 32

// Ledger is a store whose writes span several keys and whose watches report removals.
type Ledger interface {
	// Read returns the value of a key; an absent key has revision 0. Errors: StoreUnavailable.
	Read(ctx context.Context, key apfleet.Key) (Value, error)
	// Scan returns all values under prefix. The revision is the store's before the first page, so
	// that a Follow from it misses nothing. Errors: StoreUnavailable.
	Scan(ctx context.Context, prefix apfleet.Key) (Page, error)
	// Commit carries out all puts and removals, or none. Errors: StoreConflict (the result holds
	// the present values of the conditions), StoreUnavailable (no effect), StoreUnknown (the effect
	// may still come), LeaseLost.
	Commit(ctx context.Context, transaction Transaction) (Result, error)
	// Follow waits until something under prefix changes after a revision. Errors:
	// StoreUnavailable, StoreHistoryLost.
	Follow(ctx context.Context, prefix apfleet.Key, after Revision, wait time.Duration) (Feed, error)
	Leases
}

// Condition is a key with the revision that it must have; 0 means absent.
type Condition struct {
	Key      apfleet.Key
	Revision Revision
}

// Put is a value to be written.
type Put struct {
	Key apfleet.Key
	// Data is at most MaxValueBytes long.
	Data []byte
	// Lease deletes the key when it lapses; 0 keeps the key for good.
	Lease LeaseID
}

// Transaction is a set of changes that happen together.
type Transaction struct {
	// Conditions, Puts and Removals together are at most MaxTransactionEntries.
	Conditions []Condition
	Puts       []Put
	Removals   []apfleet.Key
}

// Result is the answer to a transaction.
type Result struct {
	// Revision is that of every key written; 0 when nothing was.
	Revision Revision
	// Present holds the values of the conditions' keys after a conflict.
	Present []Value
}

// Event is a key that was written or removed.
type Event struct {
	// Value has no data when Removed.
	Value   Value
	Removed bool
}

// Feed is an answer to Follow.
type Feed struct {
	// Revision is where the next Follow goes on.
	Revision Revision
	Events   []Event
}
