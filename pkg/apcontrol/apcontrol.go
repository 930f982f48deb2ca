// Package apcontrol is the decision logic of the fleet controller. On each tick its stages run in a fixed
// order over a snapshot of the fleet's tables and return intents, which an executor carries out. The stages
// do no I/O and read no clock.
package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// Controller computes intents from a snapshot of the tables.
type Controller interface {
	// Step runs every stage once over the tables.
	Step(tables *Tables) []Intent
}

// OwnersRow is the owner table of one data centre with its store revision.
type OwnersRow struct {
	Revision apstore.Revision
	Table    apfleet.OwnerTable
}

// DisruptionsRow is the disruption table of one pool with its store revision.
type DisruptionsRow struct {
	Revision apstore.Revision
	Rows     []apfleet.Disruption
}

// Find returns the disruption of a VM.
func (d DisruptionsRow) Find(id apfleet.VMID) (apfleet.Disruption, bool) {
	return apfleet.Disruptions{Rows: d.Rows}.Find(id)
}

// WaveRow is the maintenance wave with its store revision.
type WaveRow struct {
	Revision apstore.Revision
	Wave     apfleet.Wave
}

// OwnersTable maps data centres to their owner tables.
type OwnersTable map[apfleet.DataCentre]OwnersRow

// DisruptionsTable maps pools to their disruption tables.
type DisruptionsTable map[apfleet.PoolName]DisruptionsRow

// Tables is the input of one tick.
type Tables struct {
	Now        time.Time
	Deployment string
	Settings   apsettings.Tree
	// SettingsRevision changes with the settings; 0 means unknown.
	SettingsRevision apstore.Revision
	// VMs is the platform's list of VMs; it lags behind the actual state.
	VMs         []apfleet.VM
	Owners      OwnersTable
	Disruptions DisruptionsTable
	Wave        WaveRow
	Registry    apfleet.Registry
	// Entries holds the mesh members with their latest reports, including members that are dead or have left.
	Entries []apmesh.Member
	// Epoch is the epoch of the control lease.
	Epoch uint64
	// Revision is the highest known store revision. The numbers of new operations derive from it.
	Revision apstore.Revision
	// Frozen forbids new disruptions, for example while the store is unavailable.
	Frozen bool
}

// Control implements Controller. Its state in memory may be lost: a controller that takes over starts
// without it.
type Control struct {
	options Options
	epoch   uint64
	demand  *DemandEstimator
	pools   poolCache
	// balancer tracks how long each pool has been short of VMs; after a failover it starts from zero.
	balancer *Balancer
	// serviceStarts holds the last start that was ordered for each VM in this epoch.
	serviceStarts map[apfleet.VMID]serviceStart
	// deadSince is when a registered entry was first seen dead or missing.
	deadSince map[apfleet.EntryName]time.Time
}

// New returns a Control with the default options, changed by opts.
func New(opts ...Option) *Control {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Control{
		options:       options,
		demand:        NewDemandEstimator(),
		balancer:      NewBalancer(options.Balance),
		serviceStarts: make(map[apfleet.VMID]serviceStart),
		deadSince:     make(map[apfleet.EntryName]time.Time),
	}
}

// Step implements Controller.
func (c *Control) Step(tables *Tables) []Intent {
	if tables.Epoch != c.epoch {
		c.epoch = tables.Epoch
		clear(c.serviceStarts)
	}
	v := newView(tables, &c.pools)
	c.demand.Observe(tables.Now, v.demandReports())
	var intents []Intent
	intents = append(intents, c.assignVMs(v)...)
	intents = append(intents, c.startServices(v)...)
	intents = append(intents, c.advanceDisruptions(v)...)
	intents = append(intents, c.unregisterDeadEntries(v)...)
	if tables.Frozen {
		return intents
	}
	intents = append(intents, c.advanceWave(v)...)
	c.rebalance(v)
	return append(intents, v.openIntents()...)
}
