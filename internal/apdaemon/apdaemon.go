// Package apdaemon composes one entry: callers, mesh, control and operators.
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
	listEvery    = 500 * time.Millisecond
	shareEvery   = 100 * time.Millisecond
	controlEvery = 200 * time.Millisecond
	joinRetry    = 200 * time.Millisecond
	watchWait    = 25 * time.Second
	idleRelay    = time.Second
	relayRetry   = 500 * time.Millisecond

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10

	// leaveNotice is how long an entry still answers after its health check says that it leaves.
	leaveNotice = 500 * time.Millisecond
	leaveLimit  = 30 * time.Second
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

	// initial is the settings tree of a deployment that has none.
	initial *apsettings.Tree

	leaving  chan struct{}
	listener Listeners
	// controlling is held during a control tick; the lease and the executor belong to its holder.
	controlling sync.Mutex
	// held tells that this entry holds the control lease.
	held atomic.Bool
	// joined tells that this entry is registered; attached that it may claim request ids.
	joined, attached atomic.Bool
	// members is the number of entries that share the instances.
	members atomic.Int64
}

// Listeners are an entry's bound addresses.
type Listeners struct {
	caller, mesh, operator net.Listener
}

// Bind listens at the entry's addresses and returns the settings with the ports that port 0 became.
// Errors carry BadAddress.
func Bind(config Config) (Config, Listeners, error) {
	var l Listeners
	var err error
	if l.caller, err = listen(&config.Entry.CallerAddress); err != nil {
		return config, l, err
	}
	if l.mesh, err = listen(&config.Entry.MeshAddress); err != nil {
		return config, l, err
	}
	l.operator, err = listen(&config.Entry.OperatorAddress)
	return config, l, err
}

func listen(address *netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadAddress, err, "listen at %s", address)
	}
	bound, ok := listener.Addr().(*net.TCPAddr)
	if ok {
		*address = netip.AddrPortFrom(address.Addr(), bound.AddrPort().Port())
	}
	return listener, nil
}

// Run serves until ctx ends, then leaves gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, run := errgroup.WithContext(run)
	servers := d.serve(group)
	d.node.SetReport(d.report)
	group.Go(func() error { return d.node.Run(run) })
	group.Go(func() error { return every(run, shareEvery, d.share) })
	group.Go(func() error { return d.watchState(run) })
	group.Go(func() error { return every(run, listEvery, func(now time.Time) { d.refreshList(run, now) }) })
	group.Go(func() error { return d.relay(run) })
	group.Go(func() error { return every(run, controlEvery, func(now time.Time) { d.controlTick(run, now) }) })
	group.Go(func() error {
		d.join(run)
		return nil
	})
	select {
	case <-ctx.Done():
		d.leave(run, servers)
	case <-run.Done():
	}
	stop()
	return group.Wait()
}

// every calls act at a fixed interval until ctx ends.
func every(ctx context.Context, interval time.Duration, act func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		act(time.Now())
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

func (d *Daemon) serve(group *errgroup.Group) servers {
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
	start(s.caller, d.listener.caller)
	start(s.mesh, d.listener.mesh)
	start(s.operator, d.listener.operator)
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

// Addresses returns where callers and operators are answered.
func (d *Daemon) Addresses() (caller, operator netip.AddrPort) {
	return d.config.Entry.CallerAddress, d.config.Entry.OperatorAddress
}

// Metrics returns the entry's metrics.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// isLeaving reports whether the entry has begun to leave.
func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// SetInitialSettings sets the settings tree for a deployment that has none.
func (d *Daemon) SetInitialSettings(tree apsettings.Tree) { d.initial = &tree }
