package apscheduler

import (
	"time"

	"auburnport/pkg/apstore"
)

// Options configure a Shard.
type Options struct {
	// Lease is how long a worker goes on without a word from the owner.
	Lease time.Duration
	// MaxLease is the longest time after the claim of a shard for which its earlier owner may have
	// extended a lease.
	MaxLease time.Duration
	// ClockDrift is how much slower than ours a worker's clock may be.
	ClockDrift float64
	// StopTime is how long a worker takes to stop a run.
	StopTime time.Duration
	// ResendAfter is the first wait for the answer to an order; it doubles up to MaxResend.
	ResendAfter time.Duration
	MaxResend   time.Duration
	// SuspectAfter is how old a worker's last answer may be for its lease to be extended. It is longer
	// than a worker waits with its report.
	SuspectAfter time.Duration
	// MaxSilence is how old a worker's last answer may be for it to get new runs.
	MaxSilence time.Duration
	// BatchEntries bounds the entries of a batch in its transaction.
	BatchEntries int
	// MaxEvents bounds the events kept between two calls of TakeEvents.
	MaxEvents int
}

// Option changes an Options.
type Option func(*Options)

// maxBatchEntries leaves room in a transaction for its condition, the epoch, the counts of waiting
// jobs, the account of the pool and two removals.
const maxBatchEntries = apstore.MaxTransactionEntries - 6

func defaultOptions() Options {
	return Options{
		Lease:        4 * time.Second,
		MaxLease:     5200 * time.Millisecond,
		ClockDrift:   0.02,
		StopTime:     400 * time.Millisecond,
		ResendAfter:  300 * time.Millisecond,
		MaxResend:    2 * time.Second,
		SuspectAfter: 1500 * time.Millisecond,
		MaxSilence:   1800 * time.Millisecond,
		BatchEntries: maxBatchEntries,
		MaxEvents:    4096,
	}
}

// WithOptions replaces the options by what change makes of them.
func WithOptions(change func(*Options)) Option { return change }
