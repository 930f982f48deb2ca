package apclaim

// Options configure a Table.
type Options struct {
	// MaxAnswerBytes is the largest body of an answer that is kept.
	MaxAnswerBytes int
	// MaxKeptBytes bounds the bodies of all kept answers.
	MaxKeptBytes int
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{MaxAnswerBytes: 64 << 10, MaxKeptBytes: 16 << 20}
}

// WithMaxKeptBytes bounds the bodies of all kept answers.
func WithMaxKeptBytes(n int) Option {
	return func(o *Options) { o.MaxKeptBytes = n }
}
