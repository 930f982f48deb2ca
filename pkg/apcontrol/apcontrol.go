// Package apcontrol decides what happens to the fleet: each tick, systems run in a fixed order over
// tables and return intents. Systems have no sockets and no clock; an executor carries intents out.
package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// Controller turns tables into intents.
type Controller interface {
	// Step runs every system once over the tables.
	Step(tables *Tables) []Intent
}

// OwnersRow is the table of owners of one data centre with its revision.
type OwnersRow struct {
	Revision apstore.Revision
	Table    apfleet.OwnerTable
}

// DisruptionsRow is the table of disruptions of one pool with its revision.
type DisruptionsRow struct {
	Revision apstore.Revision
	Rows     []apfleet.Disruption
}

// Find returns the row of a VM.
func (d DisruptionsRow) Find(id apfleet.VMID) (apfleet.Disruption, bool) {
	return apfleet.Disruptions{Rows: d.Rows}.Find(id)
}

// WaveRow is the wave with its revision.
type WaveRow struct {
	Revision apstore.Revision
	Wave     apfleet.Wave
}

// OwnersTable maps data centres to their tables of owners.
type OwnersTable map[apfleet.DataCentre]OwnersRow

// DisruptionsTable maps pools to their tables of disruptions.
type DisruptionsTable map[apfleet.PoolName]DisruptionsRow

// Tables is the input of one tick.
type Tables struct {
	Now        time.Time
	Deployment string
	Settings   apsettings.Tree
	// SettingsRevision changes with the settings; 0 means unknown.
	SettingsRevision apstore.Revision
	// VMs is the platform's list.
	VMs         []apfleet.VM
	Owners      OwnersTable
	Disruptions DisruptionsTable
	Wave        WaveRow
	Registry    apfleet.Registry
	// Entries holds the members with their reports; those that are dead or left included.
	Entries []apmesh.Member
	// Epoch is the control lease's epoch.
	Epoch uint64
	// Revision is the highest revision of the store that is known. It numbers new operations.
	Revision apstore.Revision
	// Frozen forbids new disruptions, for example while the store is away.
	Frozen bool
}

// Control implements Controller. It keeps nothing that a successor would need.
type Control struct {
	options Options
	epoch   uint64
	demand  *Demand
	pools   poolCache
	// balancer holds how long each pool has been short; a successor starts anew.
	balancer *Balancer
	started  map[apfleet.VMID]startOrder
	gone     map[apfleet.EntryName]time.Time
}

// New returns a Control.
func New(opts ...Option) *Control {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Control{
		options:  options,
		demand:   NewDemand(),
		balancer: NewBalancer(options.Balance),
		started:  make(map[apfleet.VMID]startOrder),
		gone:     make(map[apfleet.EntryName]time.Time),
	}
}

// Step implements Controller.
func (c *Control) Step(tables *Tables) []Intent {
	if tables.Epoch != c.epoch {
		c.epoch = tables.Epoch
		clear(c.started)
	}
	v := newView(tables, &c.pools)
	c.demand.Observe(tables.Now, v.reports())
	var intents []Intent
	intents = append(intents, c.assign(v)...)
	intents = append(intents, c.start(v)...)
	intents = append(intents, c.progress(v)...)
	intents = append(intents, c.unregister(v)...)
	if tables.Frozen {
		return intents
	}
	intents = append(intents, c.maintain(v)...)
	c.rebalance(v)
	return append(intents, v.opened()...)
}
