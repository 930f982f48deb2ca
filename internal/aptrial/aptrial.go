// Package aptrial runs a simulated platform (apstandin), entries and a load generator (apload) in one
// process, for trials and measurements.
package aptrial

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"auburnport/internal/apdaemon"
	"auburnport/internal/apoperator"
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

// Options configure a Cluster.
type Options struct {
	Deployment string
	Settings   apsettings.Tree
	Entries    int
	Standin    apstandin.Options
	Variant    apdaemon.Variant
	Logger     *logrus.Logger
}

// Cluster is a stand-in with entries, all in this process.
type Cluster struct {
	Standin *apstandin.Standin

	options Options
	group   errgroup.Group
	stop    context.CancelFunc
	entries []*Entry
}

// Entry is one entry of a Cluster.
type Entry struct {
	Daemon *apdaemon.Daemon
	// Stop makes the entry leave gracefully; Done is closed when it has left.
	Stop context.CancelFunc
	Done chan struct{}
}

const (
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// Start starts a stand-in and entries, and waits until all pools have their full size.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	options.Standin.DataCentres = dataCentres(options.Settings, options.Deployment)
	standin, err := apstandin.New(options.Standin, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	c := &Cluster{Standin: standin, options: options, stop: stop}
	c.group.Go(func() error { return standin.Run(ctx) })
	for range options.Entries {
		if _, err := c.AddEntry(ctx); err != nil {
			return c, err
		}
	}
	return c, c.waitReady(ctx)
}

// dataCentres returns the data centres that the settings name.
func dataCentres(tree apsettings.Tree, deployment string) []apfleet.DataCentre {
	var names []apfleet.DataCentre
	for _, path := range tree.Paths() {
		if path.Deployment() == deployment && path.Depth() == apsettings.DepthDataCentre && path.DataCentre() != apsettings.AnyDataCentre {
			names = append(names, path.DataCentre())
		}
	}
	return names
}

// AddEntry starts one more entry, which runs until its Stop is called or ctx ends. Entries are assigned
// to the data centres in turn.
func (c *Cluster) AddEntry(ctx context.Context) (*Entry, error) {
	index := len(c.entries)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	centres := c.options.Standin.DataCentres
	config, bound, err := apdaemon.Bind(apdaemon.Config{
		Entry: apdaemon.EntryConfig{
			Name: apfleet.EntryName(fmt.Sprintf("entry-%02d", index+1)), Deployment: c.options.Deployment,
			Region: "region-1", DataCentre: centres[index%len(centres)],
			CallerAddress: loopback, MeshAddress: loopback, OperatorAddress: loopback,
		},
		Platform: apdaemon.PlatformConfig{StoreAddress: c.Standin.Address(), PoolsAddress: c.Standin.Address()},
	})
	if err != nil {
		return nil, err
	}
	daemon, err := apdaemon.New(config, bound, c.options.Variant, c.options.Logger)
	if err != nil {
		return nil, err
	}
	daemon.SetInitialSettings(c.options.Settings)
	ctx, stop := context.WithCancel(ctx)
	entry := &Entry{Daemon: daemon, Stop: stop, Done: make(chan struct{})}
	c.entries = append(c.entries, entry)
	c.group.Go(func() error {
		defer close(entry.Done)
		return daemon.Run(ctx)
	})
	return entry, nil
}

// Entries returns all entries, including those that have left.
func (c *Cluster) Entries() []*Entry { return slices.Clone(c.entries) }

// CallerAddresses returns the address of each entry for callers.
func (c *Cluster) CallerAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(c.entries))
	for _, e := range c.entries {
		caller, _ := e.Daemon.Addresses()
		addresses = append(addresses, caller)
	}
	return addresses
}

// Operator returns a client for the operator API of one entry.
func (c *Cluster) Operator(index int) *apoperator.Client {
	_, operator := c.entries[index].Daemon.Addresses()
	return apoperator.NewClient(operator, nil)
}

// Services returns the names of all services.
func (c *Cluster) Services() []apfleet.ServiceName {
	var names []apfleet.ServiceName
	for _, path := range c.options.Settings.Services(c.options.Deployment) {
		names = append(names, path.Service())
	}
	return names
}

// waitReady waits until every entry knows all entries and sees every pool at its full size.
func (c *Cluster) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range c.entries {
		for !c.isReady(e) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return apcode.Errorf(apcode.PlatformFailed, "the fleet was not ready within %v: not every entry saw all entries and every pool at its full size", readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (c *Cluster) isReady(e *Entry) bool {
	status := e.Daemon.Status()
	if len(status.Pools) == 0 || len(status.Entries) < len(c.entries) {
		return false
	}
	for _, pool := range status.Pools {
		if pool.Available < pool.Size {
			return false
		}
	}
	return true
}

// Close stops the entries, then the stand-in, and waits for them.
func (c *Cluster) Close() error {
	for _, e := range c.entries {
		e.Stop()
	}
	for _, e := range c.entries {
		<-e.Done
	}
	c.stop()
	return c.group.Wait()
}
