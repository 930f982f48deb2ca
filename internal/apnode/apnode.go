// Package apnode assembles one entry on the users' platform: the API for callers, the membership that
// distributes shards among entries, and the shards that this entry owns.
package apnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"
	"golang.org/x/sync/errgroup"

	"auburnport/internal/apcontroller"
	"auburnport/internal/apgroup"
	"auburnport/internal/apintake"
	"auburnport/internal/apmember"
	"auburnport/internal/apowner"
	"auburnport/internal/aprelay"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
	"auburnport/platform"
)

const (
	// settingsWatchTimeout bounds one watch request for the operators' settings, the queue table. A watch that
	// ends without a change confirms that the table in force is current.
	settingsWatchTimeout = 700 * time.Millisecond
	// settingsRetryDelay is the pause after a failed watch request.
	settingsRetryDelay = 100 * time.Millisecond
	// settingsAgeRatio is the fraction of the deadline for putting a new queue table in force
	// (Bounds.MaxConfigDelay) for which the present one is used without a confirmation from the store.
	settingsAgeRatio = 0.9
	// shutdownDelay is how long an entry keeps serving after SIGTERM: the load balancer needs two health checks,
	// one second apart, to send new callers elsewhere.
	shutdownDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests still in progress after shutdownDelay.
	shutdownTimeout = 2 * time.Second
	// metricsPortOffset is the offset of the metrics port from the first internal port.
	metricsPortOffset = 5
	// relayPortOffset is that of the port at which calls of other entries to the store are relayed.
	relayPortOffset = 6
	// maxConnsPerWorker bounds the connections of this entry to one worker: a long-polling report request
	// occupies one, orders share the others. Each connection costs two goroutines, and opening one costs as
	// much as several orders.
	maxConnsPerWorker = 3
	// leaseRatio is the largest fraction of the platform's maximum lease that is granted to a worker.
	leaseRatio = 0.8
	// defaultLease is the lease of a worker. It outlasts the takeover of a shard by another entry, and is
	// short enough that the tasks of a lost worker are placed again while their result is still useful.
	defaultLease = 4 * time.Second
)

// Node is one entry: a process that serves callers and owns a part of the shards.
type Node struct {
	// startSettings is the content of the settings file at the start. currentSettings is what is in force: it differs only
	// in what a reload may change. lastSettings is the content when it was last read.
	startSettings   apadapter.Settings
	currentSettings atomic.Pointer[apadapter.Settings]
	lastSettings    atomic.Pointer[apadapter.Settings]
	*reporter
	store *apadapter.Store
	// relay serves callers: it reaches the store through other entries when this one can't.
	relay    *aprelay.Store
	workers  *apadapter.Workers
	machines *apadapter.Machines
	// advisor is kept here so that its connections outlive a shard, and a reload reaches the shards that run.
	advisor       *apadapter.Advisor
	intake        *apintake.Intake
	callerHandler *apadapter.CallerHandler
	member        *apmember.Member
	former        *apmember.Former
	table         atomic.Pointer[apqueue.Table]
	gc            gcTuner
}

// Run serves until ctx ends, then shuts down: it gives up the shards first, and stops serving callers last.
func (n *Node) Run(ctx context.Context) error {
	n.gc.update(0)
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.logEvent("Started", map[string]any{"Node": n.startSettings.Node, "Callers": n.startSettings.CallerAddress, "Store": n.startSettings.StoreAddress})
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	background, _ := errgroup.WithContext(servingCtx)
	background.Go(func() error { return n.watchQueueTable(servingCtx) })
	background.Go(func() error { return n.logCallCounts(servingCtx) })
	background.Go(func() error { return n.former.Run(servingCtx, n.table.Load) })
	for _, s := range servers {
		background.Go(s.serve)
	}
	membership := &errgroup.Group{}
	membership.Go(func() error { return n.member.Run(ctx) })
	<-ctx.Done()
	n.intake.MarkLeaving()
	n.logEvent("Leaving", map[string]any{"Shards": len(n.member.Owned())})
	shutdownTimer := time.NewTimer(shutdownDelay)
	_ = membership.Wait()
	<-shutdownTimer.C
	shutdownCtx, cancel := context.WithTimeout(servingCtx, shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.server.Shutdown(shutdownCtx); err != nil {
			n.logEvent("RequestsCut", map[string]any{"Error": err})
		}
	}
	stopServing()
	err = background.Wait()
	n.logEvent("Stopped", map[string]any{"Error": err})
	return err
}

type server struct {
	server   *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		return apcode.Wrapf(apcode.BadAddress, err, "serve %s", s.listener.Addr())
	}
	return nil
}

// listen opens the listeners for callers, for readiness checks and for metrics.
func (n *Node) listen(ctx context.Context) ([]*server, error) {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET /auburnport/ready", n.callerHandler.ServeReadiness)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", n.serveMetrics)
	relayMux := http.NewServeMux()
	relayMux.Handle(aprelay.Path, n.relay)
	metricsAddress := netip.AddrPortFrom(n.startSettings.CallerAddress.Addr(), n.startSettings.FirstPort+metricsPortOffset)
	var servers []*server
	for _, endpoint := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{n.startSettings.CallerAddress, n.withRecovery(n.callerHandler)}, {n.startSettings.ReadinessAddress, readyMux}, {metricsAddress, metricsMux}, {relayAddress(n.startSettings), relayMux}} {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", endpoint.address.String())
		if err != nil {
			return nil, apcode.Wrapf(apcode.BadAddress, err, "listen on %s", endpoint.address)
		}
		servers = append(servers, &server{listener: listener, server: &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: readHeaderTimeout}})
	}
	return servers, nil
}

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 3 * time.Second

// withRecovery answers with status 500 if the handler panics.
func (n *Node) withRecovery(handler http.Handler) http.Handler {
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = n.logger
	stack := negroni.New(recovery)
	stack.UseHandler(handler)
	return stack
}

// watchQueueTable follows the operators' settings, the queue table, in the store and applies each new version. It
// tells the intake when the store confirms the table and when it can't be reached.
func (n *Node) watchQueueTable(ctx context.Context) error {
	watcher := apstore.Watcher{Store: n.relay, Prefix: apadapter.PrefixOperator, Timeout: settingsWatchTimeout, Backoff: settingsRetryDelay}
	failing := false
	return watcher.Run(ctx, func(update apstore.Update) {
		if ctx.Err() != nil {
			return
		}
		if (update.Err != nil) != failing {
			failing = update.Err != nil
			n.logEvent("Store", map[string]any{"Lost": failing, "Error": update.Err})
		}
		if update.Err != nil {
			n.intake.MarkStoreUnavailable()
			return
		}
		for _, event := range update.Events {
			if event.Value.Key == apadapter.KeyConfig && !event.Removed {
				n.applyQueueTable(event.Value)
			}
		}
		n.intake.ConfirmSettings(update.RequestedAt)
	})
}

func (n *Node) applyQueueTable(value apstore.Value) {
	var table *apqueue.Table
	err := apgroup.CatchPanic(func() (err error) {
		table, err = apadapter.ParseConfig(value.Data)
		return err
	})
	if err != nil {
		n.logEvent("SettingsUnreadable", map[string]any{"Revision": value.Revision, "Error": err})
		return
	}
	if n.intake.ApplySettings(table) {
		n.table.Store(table)
		n.settingsVersion.Store(table.Version)
		n.logEvent("SettingsApplied", map[string]any{"Version": table.Version, "Queues": len(table.Queues), "Revision": value.Revision})
	}
}

// requiredShards lists the shards that must have an owner: one for each pool, one for machines if the platform has a
// machine service, and those of earlier pools that still hold jobs or have workers.
func (n *Node) requiredShards() []apjournal.Shard {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	var shards []apjournal.Shard
	if n.currentSettings.Load().MachinesAddress.IsValid() {
		shards = append(shards, apjournal.MachineShard)
	}
	for _, pool := range table.Pools() {
		shards = append(shards, apjournal.Shard(pool))
	}
	for _, shard := range n.former.Shards() {
		if !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// runShard runs a shard that this entry has claimed, until ctx ends.
func (n *Node) runShard(ctx context.Context, shard apjournal.Shard, journal *apjournal.Journal, permit *aplease.Permit) error {
	defer n.gc.addShard()()
	if shard == apjournal.MachineShard {
		return n.runMachineShard(ctx, journal, permit)
	}
	bounds := n.currentSettings.Load().Bounds
	config := apowner.Config{
		Shard: shard, Store: n.store, Workers: n.workers.WithPermit(permit), Registry: workerRegistry{}, Journal: journal,
		Advisor: n.currentAdvisor, Queues: n.table.Load, Log: n.logEvent, ObserveDuration: n.observeDuration,
		SchedulerOptions: []apscheduler.Option{apscheduler.WithOptions(func(o *apscheduler.Options) {
			o.Lease = min(defaultLease, time.Duration(leaseRatio*float64(bounds.MaxLease)))
			o.LongestLease = bounds.MaxLease
			o.StopTime = bounds.StopTime
		})},
	}
	return apowner.New(config).Run(ctx)
}

// currentAdvisor returns the advisor, or nil while the settings name none.
func (n *Node) currentAdvisor() apworker.Advisor {
	if !n.currentSettings.Load().AdvisorAddress.IsValid() {
		return nil
	}
	return n.advisor
}

// runMachineShard runs the controller of the platform's machines.
func (n *Node) runMachineShard(ctx context.Context, journal *apjournal.Journal, permit *aplease.Permit) error {
	bounds := n.currentSettings.Load().Bounds
	return apcontroller.New(apcontroller.Config{
		Store: n.store, Journal: journal, Machines: n.machines.WithPermit(permit), Waves: waveCodec{}, Queues: n.table.Load, Log: n.logEvent,
		OrderLease: bounds.OrderLease, PermitTTL: n.member.TTL(), MinDowntime: min(bounds.UpkeepDuration, bounds.MoveDuration),
	}).Run(ctx)
}

// waveCodec parses the operators' waves and encodes their status.
type waveCodec struct{}

// Prefix implements apcontroller.Waves.
func (waveCodec) Prefix() apfleet.Key { return apadapter.PrefixWaves }

// Parse implements apcontroller.Waves.
func (waveCodec) Parse(data []byte) (apmachine.Wave, error) { return apadapter.ParseWave(data) }

// Status implements apcontroller.Waves.
func (waveCodec) Status(number int, completed bool) (apfleet.Key, []byte, error) {
	return apadapter.WaveStatus(number, completed)
}

// workerRegistry parses the platform's registrations of workers.
type workerRegistry struct{}

// Prefix implements apowner.Registry.
func (workerRegistry) Prefix() apfleet.Key { return apadapter.PrefixWorkers }

// ID implements apowner.Registry.
func (workerRegistry) ID(key apfleet.Key) apjob.WorkerID { return apadapter.WorkerIDFromKey(key) }
