// Package apdaemon runs one entry: the servers for callers, for other entries and for operators, the control loop,
// and the synchronisation with the store and the platform.
package apdaemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"auburnport/internal/apclaimant"
	"auburnport/internal/apentry"
	"auburnport/internal/apoperator"
	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

const (
	// vmListInterval is how often the list of VMs is fetched from the platform.
	vmListInterval = 500 * time.Millisecond
	// applyReportsInterval is how often the reports of other entries are applied.
	applyReportsInterval = 100 * time.Millisecond
	controlInterval      = 200 * time.Millisecond
	joinRetryDelay       = 200 * time.Millisecond
	// watchTimeout limits one long poll of the store.
	watchTimeout = 25 * time.Second
	// relayCheckInterval is how often an entry that does not watch the store checks whether it should.
	relayCheckInterval = time.Second
	watchRetryDelay    = 500 * time.Millisecond

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10

	// leaveNoticePeriod is how long an entry still accepts callers after its health check has started to fail, so
	// that load balancers stop sending to it first.
	leaveNoticePeriod = 500 * time.Millisecond
	// leaveTimeout limits the graceful shutdown, except for the wait for attempts in progress, which end within
	// the services' Deadline plus Linger.
	leaveTimeout = 30 * time.Second
)

// Daemon is one running entry.
type Daemon struct {
	config   Config
	self     apfleet.Registration
	logger   *logrus.Logger
	metrics  metrics.Registry
	store    apstore.Store
	client   *apstore.Client
	lister   applatform.Lister
	state    *State
	claimant *apclaimant.Claimant
	entry    *apentry.Entry
	node     *apmesh.Node
	lease    *aplease.Lease
	control  *apcontrol.Control
	executor *Executor
	token    apoperator.Token

	// initialSettings is written when the deployment has no settings yet; nil writes nothing.
	initialSettings *apsettings.Tree

	// leaving is closed when the graceful shutdown begins.
	leaving   chan struct{}
	listeners Listeners
	// controlMutex is held during a control tick. It protects lease and executor.
	controlMutex sync.Mutex
	// leaseHeld is whether this entry held the control lease at the latest Step of lease, or false after
	// releaseLease.
	leaseHeld atomic.Bool
	// joined is true once this entry is registered; claimsEnabled once it may claim request ids.
	joined, claimsEnabled atomic.Bool
	// memberCount is the number of entries that are not known to be dead or to have left, this one included.
	// They share the capacity of the instances.
	memberCount atomic.Int64
}

// Listeners holds the open listeners of an entry.
type Listeners struct {
	caller, mesh, operator net.Listener
}

// Bind opens the listeners at the entry's addresses. The returned config has each port 0 replaced by the port that
// the operating system chose. Errors: BadAddress.
func Bind(config Config) (Config, Listeners, error) {
	var listeners Listeners
	var err error
	if listeners.caller, err = listen(&config.Entry.CallerAddress); err != nil {
		return config, listeners, err
	}
	if listeners.mesh, err = listen(&config.Entry.MeshAddress); err != nil {
		return config, listeners, err
	}
	listeners.operator, err = listen(&config.Entry.OperatorAddress)
	return config, listeners, err
}

// listen opens a TCP listener and replaces port 0 in address by the chosen port.
func listen(address *netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadAddress, err, "listen on %s", address)
	}
	bound, ok := listener.Addr().(*net.TCPAddr)
	if ok {
		*address = netip.AddrPortFrom(address.Addr(), bound.AddrPort().Port())
	}
	return listener, nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	servers := d.startServers(group)
	d.node.SetReport(d.report)
	group.Go(func() error { return d.node.Run(runCtx) })
	group.Go(func() error { return runPeriodically(runCtx, applyReportsInterval, d.applyReports) })
	group.Go(func() error { return d.applyStateChanges(runCtx) })
	group.Go(func() error {
		return runPeriodically(runCtx, vmListInterval, func(now time.Time) { d.refreshVMList(runCtx, now) })
	})
	group.Go(func() error { return d.watchStore(runCtx) })
	group.Go(func() error {
		return runPeriodically(runCtx, controlInterval, func(now time.Time) { d.controlTick(runCtx, now) })
	})
	group.Go(func() error {
		d.join(runCtx)
		return nil
	})
	select {
	case <-ctx.Done():
		d.leave(runCtx, servers)
	case <-runCtx.Done():
	}
	stop()
	return group.Wait()
}

// runPeriodically calls f at once and then at a fixed interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

type servers struct {
	caller, mesh, operator *http.Server
}

// startServers starts the HTTP servers for callers, other entries and operators. Those of the mesh have no read
// and write timeouts, because mesh connections are long-lived.
func (d *Daemon) startServers(group *errgroup.Group) servers {
	s := servers{
		caller:   newServer(d.callerHandler()),
		mesh:     newServer(d.meshHandler()),
		operator: newServer(d.operatorHandler()),
	}
	s.mesh.ReadTimeout = 0
	s.mesh.WriteTimeout = 0
	start := func(server *http.Server, listener net.Listener) {
		group.Go(func() error {
			_ = server.Serve(listener)
			return nil
		})
	}
	start(s.caller, d.listeners.caller)
	start(s.mesh, d.listeners.mesh)
	start(s.operator, d.listeners.operator)
	return s
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Name returns the entry's name.
func (d *Daemon) Name() apfleet.EntryName { return d.self.Name }

// Addresses returns the addresses for callers and operators.
func (d *Daemon) Addresses() (caller, operator netip.AddrPort) {
	return d.config.Entry.CallerAddress, d.config.Entry.OperatorAddress
}

// Metrics returns the entry's metrics.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// isLeaving reports whether the graceful shutdown has begun.
func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// SetInitialSettings sets the settings that are written when the deployment has none. It must be called before Run.
func (d *Daemon) SetInitialSettings(tree apsettings.Tree) { d.initialSettings = &tree }
