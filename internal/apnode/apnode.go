// Package apnode composes one entry on the users' platform: callers' side, sharing of shards, and the
// shards that it owns.
package apnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"
	"golang.org/x/sync/errgroup"

	"auburnport/internal/apcontroller"
	"auburnport/internal/apgroup"
	"auburnport/internal/apintake"
	"auburnport/internal/apmember"
	"auburnport/internal/apowner"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/platform"
)

const (
	// settingsWait is how long a watch of the operators' settings may wait; its end confirms them.
	settingsWait = 700 * time.Millisecond
	// settingsBackoff is the pause after a failed watch.
	settingsBackoff = 100 * time.Millisecond
	// freshness is the part of the time within which settings must be in force for which they are
	// trusted without confirmation.
	freshness = 0.9
	// drainTime is how long an entry serves on after SIGTERM: the balancer needs two checks, a
	// second apart, to send new callers elsewhere.
	drainTime = 2500 * time.Millisecond
	// closeTime bounds the rest of the requests after that.
	closeTime = 2 * time.Second
	// metricsOffset is the metrics port, counted from the first free one.
	metricsOffset = 5
	// workerConnections bounds the connections of this entry to one worker: a report that waits takes one,
	// orders share the others. Each costs two goroutines, and opening it as much as several orders.
	workerConnections = 3
	// leaseShare is the part of the longest lease that a worker's lease uses at most.
	leaseShare = 0.8
	// usualLease outlasts a takeover, and is short enough to place the tasks of a lost worker again
	// while they are still worth it.
	usualLease = 4 * time.Second
)

// fencingTime bounds how long an owner that has lost its shard goes on extending leases: until one of its
// workers, each asked in less than a second, has seen the successor's fence.
const fencingTime = 1200 * time.Millisecond

// Node is one entry.
type Node struct {
	// settings are those of the start: what is listened on stays so. current are the newest.
	settings apadapter.Settings
	current  atomic.Pointer[apadapter.Settings]
	*reporter
	store    *apadapter.Store
	workers  *apadapter.Workers
	machines *apadapter.Machines
	// advisorClient keeps connections to the advisor.
	advisorClient *apadapter.Client
	intake        *apintake.Intake
	callers       *apadapter.Callers
	member        *apmember.Member
	table         atomic.Pointer[apqueue.Table]
	collection    collection
}

// Reload applies the settings file when it has changed, and logs what it did: also without a change when
// asked is true. Addresses of the platform apply at once, bounds to shards that are claimed from now on.
// The name, what is listened on and the limits of the machine take a new start. A file that can't be read
// changes nothing.
func (n *Node) Reload(read func() (apadapter.Settings, error), asked bool) {
	settings, err := read()
	present := *n.current.Load()
	changed := err == nil && settings != present
	if !asked && !changed && err == nil {
		return
	}
	fields := map[string]any{"Changed": changed, "Error": err}
	if changed {
		n.current.Store(&settings)
		n.store.Move(settings.Store)
		n.machines.Move(settings.Machines)
		fields["Store"], fields["Machines"] = settings.Store, settings.Machines
		fields["RestartNeeded"] = settings.Node != n.settings.Node || settings.Callers != n.settings.Callers ||
			settings.Ready != n.settings.Ready || settings.FirstPort != n.settings.FirstPort || settings.Memory != n.settings.Memory
	}
	n.logEvent("Reload", fields)
}

// Run serves until ctx ends, then leaves: shards first, callers last.
func (n *Node) Run(ctx context.Context) error {
	n.collection.count(0)
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.logEvent("Started", map[string]any{"Node": n.settings.Node, "Callers": n.settings.Callers, "Store": n.settings.Store})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	background, _ := errgroup.WithContext(serving)
	background.Go(func() error { return n.followSettings(serving) })
	background.Go(func() error { return n.reportCalls(serving) })
	for _, s := range servers {
		background.Go(s.run)
	}
	member := &errgroup.Group{}
	member.Go(func() error { return n.member.Run(ctx) })
	<-ctx.Done()
	n.intake.Leave()
	n.logEvent("Leaving", map[string]any{"Shards": len(n.member.Owned())})
	drained := time.NewTimer(drainTime)
	_ = member.Wait()
	<-drained.C
	closing, cancel := context.WithTimeout(serving, closeTime)
	defer cancel()
	for _, s := range servers {
		if err := s.server.Shutdown(closing); err != nil {
			n.logEvent("RequestsCut", map[string]any{"Error": err})
		}
	}
	stop()
	err = background.Wait()
	n.logEvent("Stopped", map[string]any{"Error": err})
	return err
}

type server struct {
	server   *http.Server
	listener net.Listener
}

func (s *server) run() error {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		return apcode.Wrapf(apcode.BadAddress, err, "serve %s", s.listener.Addr())
	}
	return nil
}

func (n *Node) listen(ctx context.Context) ([]*server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /auburnport/ready", n.callers.ServeReady)
	measured := http.NewServeMux()
	measured.HandleFunc("GET /metrics", n.serveMetrics)
	inner := netip.AddrPortFrom(n.settings.Callers.Addr(), n.settings.FirstPort+metricsOffset)
	var servers []*server
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{n.settings.Callers, n.withRecovery(n.callers)}, {n.settings.Ready, ready}, {inner, measured}} {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", s.address.String())
		if err != nil {
			return nil, apcode.Wrapf(apcode.BadAddress, err, "listen on %s", s.address)
		}
		servers = append(servers, &server{listener: listener, server: &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTime}})
	}
	return servers, nil
}

// headerTime bounds the reading of a request's head.
const headerTime = 3 * time.Second

// withRecovery turns a panic into status 500.
func (n *Node) withRecovery(handler http.Handler) http.Handler {
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = n.logger
	stack := negroni.New(recovery)
	stack.UseHandler(handler)
	return stack
}

// followSettings keeps the operators' settings in force.
func (n *Node) followSettings(ctx context.Context) error {
	tail := apstore.Tail{Ledger: n.store, Prefix: apadapter.PrefixOperator, Wait: settingsWait, Backoff: settingsBackoff}
	failing := false
	return tail.Run(ctx, func(update apstore.Update) {
		if ctx.Err() != nil {
			return
		}
		if (update.Err != nil) != failing {
			failing = update.Err != nil
			n.logEvent("Store", map[string]any{"Lost": failing, "Error": update.Err})
		}
		if update.Err != nil {
			n.intake.Lost()
			return
		}
		for _, event := range update.Events {
			if event.Value.Key == apadapter.KeyConfig && !event.Removed {
				n.applySettings(event.Value)
			}
		}
		n.intake.Confirm(update.Asked)
	})
}

func (n *Node) applySettings(value apstore.Value) {
	var table *apqueue.Table
	err := apgroup.Guard(func() (err error) {
		table, err = apadapter.ParseConfig(value.Data)
		return err
	})
	if err != nil {
		n.logEvent("SettingsUnreadable", map[string]any{"Revision": value.Revision, "Error": err})
		return
	}
	if n.intake.Apply(table) {
		n.table.Store(table)
		n.version.Store(table.Version)
		n.logEvent("SettingsApplied", map[string]any{"Version": table.Version, "Queues": len(table.Queues), "Revision": value.Revision})
	}
}

// shards lists the shards that must have an owner: one a pool.
func (n *Node) shards() []apjournal.Shard {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	var shards []apjournal.Shard
	if n.current.Load().Machines.IsValid() {
		shards = append(shards, apjournal.Machines)
	}
	for _, pool := range table.Pools() {
		shards = append(shards, apjournal.Shard(pool))
	}
	return shards
}

// own runs a shard that this entry has claimed.
func (n *Node) own(ctx context.Context, shard apjournal.Shard, journal *apjournal.Journal, permit *aplease.Permit) error {
	defer n.collection.own()()
	if shard == apjournal.Machines {
		return n.control(ctx, journal, permit)
	}
	settings := n.current.Load()
	bounds := settings.Bounds
	config := apowner.Config{
		Shard: shard, Ledger: n.store, Workers: n.workers.Under(permit), Registry: registry{}, Journal: journal,
		Queues: n.table.Load, Log: n.logEvent, Observe: n.observe,
		Scheduler: []apscheduler.Option{apscheduler.WithOptions(func(o *apscheduler.Options) {
			o.Lease = min(usualLease, time.Duration(leaseShare*float64(bounds.MaxLease)))
			o.MaxLease = min(o.Lease+fencingTime, bounds.MaxLease)
			o.StopTime = bounds.StopTime
		})},
	}
	if settings.Advisor.IsValid() {
		config.Advisor = apadapter.NewAdvisor(n.advisorClient, settings.Advisor)
	}
	return apowner.New(config).Run(ctx)
}

// control runs the shard of machines.
func (n *Node) control(ctx context.Context, journal *apjournal.Journal, permit *aplease.Permit) error {
	bounds := n.current.Load().Bounds
	return apcontroller.New(apcontroller.Config{
		Ledger: n.store, Journal: journal, Machines: n.machines.Under(permit), Waves: waves{}, Queues: n.table.Load, Log: n.logEvent,
		OrderLease: bounds.OrderLease, Permit: n.member.TTL(), Away: min(bounds.Upkeep, bounds.Move),
	}).Run(ctx)
}

// waves reads and writes the operators' waves.
type waves struct{}

// Prefix implements apcontroller.Waves.
func (waves) Prefix() apfleet.Key { return apadapter.PrefixWaves }

// Parse implements apcontroller.Waves.
func (waves) Parse(data []byte) (apmachine.Wave, error) { return apadapter.ParseWave(data) }

// Status implements apcontroller.Waves.
func (waves) Status(number int, completed bool) (apfleet.Key, []byte, error) {
	return apadapter.WaveStatus(number, completed)
}

// registry reads the platform's registrations of workers.
type registry struct{}

// Prefix implements apowner.Registry.
func (registry) Prefix() apfleet.Key { return apadapter.PrefixWorkers }

// ID implements apowner.Registry.
func (registry) ID(key apfleet.Key) apjob.WorkerID { return apadapter.WorkerOf(key) }
