package apentry

import (
	"io"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/pkg/aproute"
)

// Options configure an Entry.
type Options struct {
	// Logger receives a line for each decision at level info.
	Logger *logrus.Logger
	// Metrics receives counters and timers.
	Metrics metrics.Registry
	// Strategy is how the slots of instances are shared among entries.
	Strategy aproute.Strategy
	// Seed makes random choices repeatable.
	Seed uint64
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	silent.SetLevel(logrus.PanicLevel)
	return Options{
		Logger:   silent,
		Metrics:  metrics.NewRegistry(),
		Strategy: aproute.LeastLoaded{},
		Seed:     1,
	}
}

// WithLogger sets the logger.
func WithLogger(logger *logrus.Logger) Option {
	return func(o *Options) { o.Logger = logger }
}

// WithMetrics sets the registry of metrics.
func WithMetrics(registry metrics.Registry) Option {
	return func(o *Options) { o.Metrics = registry }
}

// WithStrategy sets how the slots of instances are shared among entries.
func WithStrategy(strategy aproute.Strategy) Option {
	return func(o *Options) { o.Strategy = strategy }
}

// WithSeed makes random choices repeatable.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}
