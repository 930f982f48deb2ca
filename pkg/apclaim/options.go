package apclaim

import "time"

// Options configure a Table.
type Options struct {
	// MaxAnswerBytes is the maximum body size of an answer that is kept.
	MaxAnswerBytes int
	// MaxKeptBytes is the maximum total body size of all kept answers.
	MaxKeptBytes int
	// ReleaseWindow is how long a release is remembered, for claims that are read after it. It is longer than a connection
	// of the mesh delivers messages after the claimant has replaced it.
	ReleaseWindow time.Duration
}

// Option modifies Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{MaxAnswerBytes: 64 << 10, MaxKeptBytes: 16 << 20, ReleaseWindow: time.Minute}
}

// WithMaxKeptBytes sets the maximum total body size of all kept answers.
func WithMaxKeptBytes(n int) Option {
	return func(o *Options) { o.MaxKeptBytes = n }
}
