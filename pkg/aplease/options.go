package aplease

import "time"

// renewalsPerTTL is the number of renewals that are due within one TTL, so that a failed one can be followed by
// another before the lease expires.
const renewalsPerTTL = 3

// Options configures a Lease.
type Options struct {
	// TTL is how long the store keeps the lease without renewal.
	TTL time.Duration
	// Margin is how long before the expiry in the store the holder stops acting.
	Margin time.Duration
	// RetryEvery is the minimum time between two attempts to acquire the lease.
	RetryEvery time.Duration
}

// Option sets fields of Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{TTL: 6 * time.Second, Margin: time.Second, RetryEvery: 2 * time.Second}
}

// WithTTL sets the lease's time to live and the margin before its expiry.
func WithTTL(ttl, margin time.Duration) Option {
	return func(o *Options) {
		o.TTL = ttl
		o.Margin = margin
	}
}

// WithRetryEvery sets the minimum time between two attempts to acquire the lease.
func WithRetryEvery(d time.Duration) Option {
	return func(o *Options) { o.RetryEvery = d }
}
