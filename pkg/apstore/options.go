package apstore

import "time"

// Options configure a Client.
type Options struct {
	// MaxAttempts bounds how often one write is sent.
	MaxAttempts int
	// MaxConflicts bounds how often Update starts again after a conflict.
	MaxConflicts int
	// KeptOperations bounds the operation ids that a value keeps.
	KeptOperations int
	// RetryDelay is the first delay between attempts; it doubles each time.
	RetryDelay time.Duration
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{MaxAttempts: 5, MaxConflicts: 16, KeptOperations: 64, RetryDelay: 20 * time.Millisecond}
}

// WithMaxAttempts bounds how often one write is sent.
func WithMaxAttempts(n int) Option {
	return func(o *Options) { o.MaxAttempts = n }
}

// WithRetryDelay sets the first delay between attempts.
func WithRetryDelay(d time.Duration) Option {
	return func(o *Options) { o.RetryDelay = d }
}
