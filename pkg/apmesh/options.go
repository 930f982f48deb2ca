package apmesh

import (
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Options configure a Node and its Membership.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without heartbeats or acks after which a member is suspect. An outgoing
	// connection on which nothing arrives for this time is closed and dialed again.
	SuspectAfter time.Duration
	// DeadAfter is the time after which a member that no entry has heard is dead. A connection accepted from
	// a peer is closed when nothing arrives for this time.
	DeadAfter time.Duration
	// PauseAfter is the time between two ticks above which this process is taken to have been paused. The members'
	// silence during a pause does not count, so PauseAfter should not be longer than SuspectAfter.
	PauseAfter time.Duration
	// ForgetAfter is how long a dead or left member is remembered.
	ForgetAfter time.Duration
	// SendQueueLimit is the maximum number of frames queued for a peer.
	SendQueueLimit int
	// Key is the secret that all entries of a deployment share; empty disables authentication.
	Key []byte
	// Seeds are the mesh addresses of entries to contact while they are not known members.
	Seeds []netip.AddrPort
	// Logger receives one line for each event.
	Logger logrus.FieldLogger
	// Metrics receives the counters of the mesh, such as frames and bytes.
	Metrics metrics.Registry
}

// Option modifies Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		HeartbeatInterval: 250 * time.Millisecond,
		SuspectAfter:      time.Second,
		DeadAfter:         2500 * time.Millisecond,
		PauseAfter:        700 * time.Millisecond,
		ForgetAfter:       time.Minute,
		SendQueueLimit:    512,
		Logger:            logrus.StandardLogger(),
		Metrics:           metrics.NewRegistry(),
	}
}

// WithHeartbeatInterval sets the time between two heartbeats and scales SuspectAfter, DeadAfter and
// PauseAfter with it.
func WithHeartbeatInterval(d time.Duration) Option {
	return func(o *Options) {
		o.HeartbeatInterval = d
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

// WithMetrics sets the metrics registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(o *Options) { o.Metrics = registry }
}

// WithSeeds sets the mesh addresses of entries to contact while they are not known members.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(o *Options) { o.Seeds = seeds }
}
