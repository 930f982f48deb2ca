// Package apload is a load generator. It sends requests as many callers would, and checks the system's
// invariants by comparing the callers' records with those of the backend servers.
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

// Options configure a Load.
type Options struct {
	// Entries holds the entries' addresses for callers. Each attempt of a request goes to one at random,
	// as it would behind a load balancer.
	Entries  []netip.AddrPort
	Services []apfleet.ServiceName
	// MeanRate is the mean request rate of each service in requests per second.
	MeanRate float64
	// PeakDuration is the length of a service's peak. The services peak one after the other: a service at its
	// peak is sent PeakFactor times MeanRate, all others TroughFactor times MeanRate.
	PeakDuration time.Duration
	PeakFactor   float64
	TroughFactor float64
	Duration     time.Duration
	// NonIdempotentShare is the share of requests, from 0 to 1, that must not be executed twice.
	NonIdempotentShare float64
	Callers            int
	Seed               uint64
	// Timeout is how long a caller waits for the response to one attempt.
	Timeout time.Duration
	// Steady sends MeanRate to every service all the time, without peaks.
	Steady bool
}

// DefaultOptions returns options with peaks of five times the mean rate and a twentieth of it between
// peaks. They lack Entries and Services.
func DefaultOptions() Options {
	return Options{
		MeanRate: 200, PeakDuration: 8 * time.Second, PeakFactor: 5, TroughFactor: 0.05, Duration: 30 * time.Second,
		NonIdempotentShare: 0.2, Callers: 50, Seed: 1, Timeout: 5 * time.Second,
	}
}

// maxInFlight limits the requests in flight over all callers. Requests above the limit are not sent; the
// result counts them as skipped.
const maxInFlight = 8000

// Load sends the requests of one run and records their outcomes.
type Load struct {
	options Options
	client  *http.Client
	started time.Time

	mu      sync.Mutex
	records []*requestRecord
	skipped int
	stats   statistics
}

// New returns a Load that has not started.
func New(options Options) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 5 * time.Second}
	return &Load{
		options: options,
		started: time.Now(),
		client:  &http.Client{Transport: transport, Timeout: options.Timeout},
		stats:   newStatistics(),
	}
}

// Run sends requests for the configured duration, then waits for the outstanding responses.
func (l *Load) Run(ctx context.Context) error {
	defer l.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, l.options.Duration)
	defer cancel()
	l.mu.Lock()
	l.started = time.Now()
	l.mu.Unlock()
	var callers errgroup.Group
	callers.SetLimit(maxInFlight)
	var sources errgroup.Group
	for i := range l.options.Services {
		sources.Go(func() error {
			l.generateRequests(ctx, i, &callers)
			return nil
		})
	}
	_ = sources.Wait()
	return callers.Wait()
}

// generateRequests sends the requests of one service as a Poisson process with the rate that Rate
// returns.
func (l *Load) generateRequests(ctx context.Context, index int, callers *errgroup.Group) {
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(index)))
	next := l.started
	for sequence := 0; ; sequence++ {
		rate := l.Rate(index, next.Sub(l.started))
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		spec := l.newRequestSpec(random, index, sequence)
		if !callers.TryGo(func() error {
			l.sendWithRetries(context.WithoutCancel(ctx), spec)
			return nil
		}) {
			l.mu.Lock()
			l.skipped++
			l.mu.Unlock()
		}
	}
}

// Rate returns the request rate of the service at index, in requests per second, at a time since the
// start.
func (l *Load) Rate(index int, since time.Duration) float64 {
	if l.options.Steady {
		return l.options.MeanRate
	}
	peaking := int(since/l.options.PeakDuration) % len(l.options.Services)
	if peaking == index {
		return l.options.MeanRate * l.options.PeakFactor
	}
	return l.options.MeanRate * l.options.TroughFactor
}

// sleepUntil returns false when ctx ends first.
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
