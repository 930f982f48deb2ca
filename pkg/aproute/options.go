package aproute

import (
	"math"
	"time"
)

const (
	unlimited = math.MaxInt
	// averageSamples is the number of samples over which the moving averages extend.
	averageSamples = 16
	// tailDeviations is the number of mean deviations above the mean that upperEstimate adds.
	tailDeviations = 3
)

// Limits are the settings of a service that a Balancer applies.
type Limits struct {
	// Slots is the number of requests that an instance runs concurrently; at least 1.
	Slots int
	// MaxLocalInFlight is the maximum number of this entry's requests in flight to one instance; 0 means Slots.
	MaxLocalInFlight int
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// RetryShare is the number of retries allowed per new request, such as 0.1.
	RetryShare float64
	// EjectShare is the maximum share of instances that may be ejected at the same time.
	EjectShare float64
}

// Options configure a Balancer.
type Options struct {
	Limits   Limits
	Strategy Strategy
	// Seed initializes the random number generator; equal seeds give equal choices.
	Seed uint64
	// InitialServiceTime is the estimated duration of an attempt before the first one succeeds.
	InitialServiceTime time.Duration
	// RetryAfterNoInstance is the Refuse.RetryAfter when the service has no usable instance.
	RetryAfterNoInstance time.Duration
}

// Option modifies Options.
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

// WithSeed sets the seed of random choices; equal seeds give equal choices.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(o *Options) { o.Limits = limits }
}
