package apscheduler

import (
	"time"

	"auburnport/pkg/apstore"
)

// Options configure a Shard.
type Options struct {
	// Lease is how long a worker keeps its runs going without hearing from the owner.
	Lease time.Duration
	// MaxLease is how long after the takeover of a shard a lease granted by the previous owner can still last: Lease,
	// and the time for which MayExtend stays true after the shard was last known to be owned.
	MaxLease time.Duration
	// LongestLease is the longest lease that a worker accepts. A worker's next process takes a deadline on the clock of
	// the one before for a lease of this length.
	LongestLease time.Duration
	// MayExtend reports whether workers' leases may be extended now: the shard was owned so lately that they end within
	// MaxLease of a takeover. Nil means always.
	MayExtend func() bool
	// ClockDrift is how much slower a worker's clock may run than the local one, as a fraction.
	ClockDrift float64
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// ResendAfter is the delay after which an unanswered order is first resent. It doubles with each attempt,
	// up to MaxResend.
	ResendAfter time.Duration
	MaxResend   time.Duration
	// SuspectAfter is the age of a worker's last answer above which its lease is no longer extended. It is
	// at least as long as an owner lets a worker delay its report (idlePollTimeout of apowner).
	SuspectAfter time.Duration
	// MaxSilence is the age of a worker's last answer above which it gets no new runs.
	MaxSilence time.Duration
	// BatchEntries limits the store entries of a batch, which is one transaction.
	BatchEntries int
	// MaxEvents limits the events kept between two calls of TakeEvents; further ones are dropped.
	MaxEvents int
}

// Option modifies the options of a new Shard.
type Option func(*Options)

// maxBatchEntries leaves room in the transaction for eight more entries: the precondition, the epoch, the counts
// of waiting jobs, the pool's report and the removal of the progress and the location of two expired jobs
// (maxPurgedPerWrite of apowner).
const maxBatchEntries = apstore.MaxTransactionOperations - 8

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

// WithOptions returns an Option that calls change on the default options.
func WithOptions(change func(*Options)) Option { return change }
