package apmesh

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Options configure a Node and its Membership.
type Options struct {
	// HeartbeatEvery is the time between two heartbeats to each peer.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a member is suspected and its connection replaced.
	SuspectAfter time.Duration
	// DeadAfter is the silence to everybody after which a member no longer counts.
	DeadAfter time.Duration
	// PauseAfter is the time between two ticks above which this process counts as paused.
	PauseAfter time.Duration
	// ForgetAfter is how long an ended member is remembered.
	ForgetAfter time.Duration
	// SendQueue bounds the frames that wait for a peer.
	SendQueue int
	// Key is the secret that all entries of a deployment share; empty disables authentication.
	Key []byte
	// Seeds are addresses of entries that are asked for peers when nothing else is known.
	Seeds []netip.AddrPort
	// Logger receives one line for each event.
	Logger logrus.FieldLogger
	// Metrics receives counters of frames and bytes.
	Metrics metrics.Registry
}

// Option changes an Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		HeartbeatEvery: 250 * time.Millisecond,
		SuspectAfter:   time.Second,
		DeadAfter:      2500 * time.Millisecond,
		PauseAfter:     700 * time.Millisecond,
		ForgetAfter:    time.Minute,
		SendQueue:      512,
		Logger:         logrus.StandardLogger(),
		Metrics:        metrics.NewRegistry(),
	}
}

// WithHeartbeatEvery sets the time between two heartbeats; the other times follow in proportion.
func WithHeartbeatEvery(d time.Duration) Option {
	return func(o *Options) {
		o.HeartbeatEvery = d
		o.SuspectAfter = 4 * d
		o.DeadAfter = 10 * d
		o.PauseAfter = 3 * d
	}
}

// WithKey sets the shared secret.
func WithKey(key []byte) Option {
	return func(o *Options) { o.Key = key }
}

// WithLogger sets the logger.
func WithLogger(logger logrus.FieldLogger) Option {
	return func(o *Options) { o.Logger = logger }
}

// WithMetrics sets the registry of metrics.
func WithMetrics(registry metrics.Registry) Option {
	return func(o *Options) { o.Metrics = registry }
}

// WithSeeds sets the addresses of entries that are asked for peers.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(o *Options) { o.Seeds = seeds }
}
