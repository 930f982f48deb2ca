package aproute

import (
	"math"
	"time"
)

const (
	unlimited         = math.MaxInt
	serviceTimeWeight = 16
	tailDeviations    = 3
)

// Limits are the settings of a service that a Balancer obeys.
type Limits struct {
	// Slots is how many requests an instance runs at once; at least 1.
	Slots int
	// MaxLocal bounds this entry's requests in flight to one instance; 0 means Slots.
	MaxLocal int
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// RetryShare is the share of live requests that may be retries.
	RetryShare float64
	// EjectShare is the greatest share of instances that may be ejected.
	EjectShare float64
}

// Options configure a Balancer.
type Options struct {
	Limits   Limits
	Strategy Strategy
	// Seed makes random choices repeatable.
	Seed uint64
	// InitialServiceTime is the estimate before the first answer.
	InitialServiceTime time.Duration
	// RetryAfterNoInstance is told to callers when no instance is usable.
	RetryAfterNoInstance time.Duration
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		Limits:               Limits{Slots: 8, QueueLimit: 256, RetryShare: 0.1, EjectShare: 0.5},
		Strategy:             LeastLoaded{},
		Seed:                 1,
		InitialServiceTime:   20 * time.Millisecond,
		RetryAfterNoInstance: time.Second,
	}
}

// WithStrategy sets how instances are chosen.
func WithStrategy(s Strategy) Option {
	return func(o *Options) { o.Strategy = s }
}

// WithSeed makes random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(o *Options) { o.Limits = limits }
}
