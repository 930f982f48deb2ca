package aplease

import "time"

const renewalsPerTTL = 3

// Options configure a Lease.
type Options struct {
	// TTL is how long the store keeps the lease without a renewal.
	TTL time.Duration
	// Margin is how long before the store's expiry the holder stops acting.
	Margin time.Duration
	// RetryEvery is the least time between two attempts to acquire.
	RetryEvery time.Duration
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{TTL: 6 * time.Second, Margin: time.Second, RetryEvery: 2 * time.Second}
}

// WithTTL sets the lease's time to live and its margin.
func WithTTL(ttl, margin time.Duration) Option {
	return func(o *Options) {
		o.TTL = ttl
		o.Margin = margin
	}
}

// WithRetryEvery sets the least time between two attempts to acquire.
func WithRetryEvery(d time.Duration) Option {
	return func(o *Options) { o.RetryEvery = d }
}
