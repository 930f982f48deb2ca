// Package apload is a population of callers: it sends requests in turns, and checks the promises of
// the system from the callers' and the backend servers' own records.
package apload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apfleet"
)

// Options configure a load.
type Options struct {
	// Entries holds the addresses behind the balancer, of which each request takes one at random.
	Entries  []netip.AddrPort
	Services []apfleet.ServiceName
	// Mean is the mean rate of each service in requests per second.
	Mean float64
	// Turn is how long one service after the other asks for Peak times its mean; the rest ask for
	// Trough times theirs.
	Turn     time.Duration
	Peak     float64
	Trough   float64
	Duration time.Duration
	// NonIdempotent is the share of requests that must not be repeated.
	NonIdempotent float64
	Callers       int
	Seed          uint64
	// Timeout is how long a caller waits for one answer.
	Timeout time.Duration
	// Steady sends the mean rate to every service instead of turns.
	Steady bool
}

// DefaultOptions returns turns of five times the mean and a twentieth of it.
func DefaultOptions() Options {
	return Options{
		Mean: 200, Turn: 8 * time.Second, Peak: 5, Trough: 0.05, Duration: 30 * time.Second,
		NonIdempotent: 0.2, Callers: 50, Seed: 1, Timeout: 5 * time.Second,
	}
}

// maxOutstanding bounds the requests that all callers together have open.
const maxOutstanding = 8000

// Load is a run of callers.
type Load struct {
	options Options
	client  *http.Client
	started time.Time

	mu      sync.Mutex
	records []*record
	skipped int
	result  recorderState
}

// New returns a load that has not started.
func New(options Options) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 5 * time.Second}
	return &Load{
		options: options,
		started: time.Now(),
		client:  &http.Client{Transport: transport, Timeout: options.Timeout},
		result:  newRecorderState(),
	}
}

// Run sends requests for the configured duration and waits for their answers.
func (l *Load) Run(ctx context.Context) error {
	defer l.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, l.options.Duration)
	defer cancel()
	l.mu.Lock()
	l.started = time.Now()
	l.mu.Unlock()
	var callers errgroup.Group
	callers.SetLimit(maxOutstanding)
	var sources errgroup.Group
	for i := range l.options.Services {
		sources.Go(func() error {
			l.source(ctx, i, &callers)
			return nil
		})
	}
	_ = sources.Wait()
	return callers.Wait()
}

// source sends the requests of one service at random times.
func (l *Load) source(ctx context.Context, index int, callers *errgroup.Group) {
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(index)))
	next := l.started
	for sequence := 0; ; sequence++ {
		rate := l.Rate(index, next.Sub(l.started))
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		call := l.newCall(random, index, sequence)
		if !callers.TryGo(func() error {
			l.perform(context.WithoutCancel(ctx), call)
			return nil
		}) {
			l.mu.Lock()
			l.skipped++
			l.mu.Unlock()
		}
	}
}

// Rate returns the rate of a service at a time since the start, in requests per second.
func (l *Load) Rate(index int, since time.Duration) float64 {
	if l.options.Steady {
		return l.options.Mean
	}
	turn := int(since/l.options.Turn) % len(l.options.Services)
	if turn == index {
		return l.options.Mean * l.options.Peak
	}
	return l.options.Mean * l.options.Trough
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// Started returns when the load began.
func (l *Load) Started() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}
