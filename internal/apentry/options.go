package apentry

import (
	"io"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/pkg/aproute"
)

// Options configures an Entry.
type Options struct {
	// Logger logs each routing decision and each refusal at level info.
	Logger *logrus.Logger
	// Metrics holds the entry's counters and timers.
	Metrics metrics.Registry
	// Strategy determines how the entries share the slots of the instances.
	Strategy aproute.Strategy
	// Seed initializes the random choices of the balancers.
	Seed uint64
}

// Option sets a field of Options.
type Option func(*Options)

func defaultOptions() Options {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	discard.SetLevel(logrus.PanicLevel)
	return Options{
		Logger:   discard,
		Metrics:  metrics.NewRegistry(),
		Strategy: aproute.LeastLoaded{},
		Seed:     1,
	}
}

// WithLogger sets the logger.
func WithLogger(logger *logrus.Logger) Option {
	return func(o *Options) { o.Logger = logger }
}

// WithMetrics sets the metrics registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(o *Options) { o.Metrics = registry }
}

// WithStrategy sets how the entries share the slots of the instances.
func WithStrategy(strategy aproute.Strategy) Option {
	return func(o *Options) { o.Strategy = strategy }
}

// WithSeed sets the seed of the balancers' random choices.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}
