package apstore

import "time"

// Options configure a Client.
type Options struct {
	// MaxAttempts bounds the attempts of one write, and of reading it back.
	MaxAttempts int
	// MaxConflicts bounds the attempts of Update that may end in conflict.
	MaxConflicts int
	// MaxStoredOperations bounds the operation IDs stored with a value.
	MaxStoredOperations int
	// RetryDelay is the first delay between attempts. It doubles after each attempt.
	RetryDelay time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{MaxAttempts: 5, MaxConflicts: 16, MaxStoredOperations: 64, RetryDelay: 20 * time.Millisecond}
}

// WithMaxAttempts sets Options.MaxAttempts.
func WithMaxAttempts(n int) Option {
	return func(o *Options) { o.MaxAttempts = n }
}

// WithRetryDelay sets Options.RetryDelay.
func WithRetryDelay(d time.Duration) Option {
	return func(o *Options) { o.RetryDelay = d }
}
