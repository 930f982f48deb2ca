package apcontrol

import (
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// view is the tables of one tick, joined.
type view struct {
	*Tables
	vms   []vmRow
	byVM  map[apfleet.VMID]int
	pools []poolRow
	// byPool maps a pool to its row.
	byPool map[apfleet.PoolName]int
}

// vmRow is a VM with what is known of it.
type vmRow struct {
	apfleet.VM
	pool int
	// disruption is nil unless a planned stop is under way.
	disruption *apfleet.Disruption
	// available VMs serve the service of their pool and no planned stop is under way.
	available bool
}

// poolRow is a pool with its settings and members.
type poolRow struct {
	name     apfleet.PoolName
	path     apsettings.Path
	settings apsettings.Resolved
	service  apfleet.ServiceName
	vms      []int
	// available counts the available VMs.
	available int
	rows      []apfleet.Disruption
	revision  apstore.Revision
	// opened holds the stops that are begun in this tick; written tells that the pool's table of
	// disruptions is written for another reason.
	opened  []apfleet.Disruption
	written bool
}

const noPool = -1

// poolCache holds the pools of one revision of the settings. The zero value is empty.
type poolCache struct {
	revision apstore.Revision
	pools    []poolRow
}

// of returns the pools of the tables, without their VMs and disruptions.
func (c *poolCache) of(tables *Tables) []poolRow {
	if c.pools == nil || tables.SettingsRevision == 0 || c.revision != tables.SettingsRevision {
		c.revision = tables.SettingsRevision
		c.pools = settledPools(tables)
	}
	return c.pools
}

func settledPools(tables *Tables) []poolRow {
	services := make(map[apfleet.PoolName]apfleet.ServiceName)
	for _, path := range tables.Settings.Services(tables.Deployment) {
		services[path.Pool()] = path.Service()
	}
	var pools []poolRow
	for _, path := range tables.Settings.Pools(tables.Deployment) {
		pools = append(pools, poolRow{
			name: path.Pool(), path: path, settings: tables.Settings.Resolve(path), service: services[path.Pool()],
		})
	}
	return pools
}

func newView(tables *Tables, cache *poolCache) *view {
	v := &view{
		Tables: tables,
		vms:    make([]vmRow, 0, len(tables.VMs)),
		byVM:   make(map[apfleet.VMID]int, len(tables.VMs)),
		byPool: make(map[apfleet.PoolName]int),
	}
	v.addPools(cache.of(tables))
	down := v.downVotes()
	for _, vm := range tables.VMs {
		v.addVM(vm, down)
	}
	v.addDisruptions()
	for i := range v.vms {
		row := &v.vms[i]
		if row.pool != noPool && row.available {
			v.pools[row.pool].available++
		}
	}
	return v
}

func (v *view) addPools(settled []poolRow) {
	v.pools = make([]poolRow, 0, len(settled))
	for _, row := range settled {
		disruptions := v.Disruptions[row.name]
		row.rows = disruptions.Rows
		row.revision = disruptions.Revision
		v.byPool[row.name] = len(v.pools)
		v.pools = append(v.pools, row)
	}
}

func (v *view) addVM(vm apfleet.VM, down map[apfleet.VMID]int) {
	row := vmRow{VM: vm, pool: noPool}
	if owner, ok := v.Owners[vm.DataCentre].Table[vm.ID]; ok {
		if i, ok := v.byPool[owner]; ok {
			row.pool = i
			v.pools[i].vms = append(v.pools[i].vms, len(v.vms))
		}
	}
	if row.pool != noPool {
		serves := vm.State == apfleet.VMLive && vm.Service == v.pools[row.pool].service
		row.available = serves && 2*down[vm.ID] <= len(v.Entries)
	}
	v.byVM[vm.ID] = len(v.vms)
	v.vms = append(v.vms, row)
}

func (v *view) addDisruptions() {
	for p := range v.pools {
		for r := range v.pools[p].rows {
			row := &v.pools[p].rows[r]
			if i, ok := v.byVM[row.VM]; ok {
				v.vms[i].disruption = row
				v.vms[i].available = false
			}
		}
	}
}

// downVotes counts the entries that cannot connect to each VM.
func (v *view) downVotes() map[apfleet.VMID]int {
	votes := make(map[apfleet.VMID]int)
	for _, entry := range v.Entries {
		if entry.State > apmesh.MemberSuspect {
			continue
		}
		for _, id := range entry.Report.Down {
			votes[id]++
		}
	}
	return votes
}

func (v *view) reports() []EntryDemand {
	reports := make([]EntryDemand, 0, len(v.Entries))
	for _, entry := range v.Entries {
		if entry.State <= apmesh.MemberSuspect {
			reports = append(reports, EntryDemand{Entry: entry.Name, Incarnation: entry.Incarnation, Demands: entry.Report.Demands})
		}
	}
	return reports
}

// admits reports whether the budget of a VM's pool allows to stop the VM: as many VMs as
// MinAvailable stay, even if the rack with most of the pool's other VMs fails meanwhile.
func (v *view) admits(i int) bool {
	vm := v.vms[i]
	if vm.pool == noPool || !vm.available {
		return true
	}
	pool := v.pools[vm.pool]
	left := pool.available - 1
	if pool.settings.RackReserve && pool.settings.MinAvailable > 0 {
		left -= v.largestRack(vm.pool, i)
	}
	return left >= pool.settings.MinAvailable
}

// largestRack counts the available VMs of a pool in the rack that holds most of them, without one VM.
func (v *view) largestRack(pool, without int) int {
	counts := make(map[apfleet.Rack]int)
	largest := 0
	for _, i := range v.pools[pool].vms {
		if i == without || !v.vms[i].available {
			continue
		}
		counts[v.vms[i].Rack]++
		largest = max(largest, counts[v.vms[i].Rack])
	}
	return largest
}

// take counts a VM as unavailable for the rest of the tick.
func (v *view) take(i int, row apfleet.Disruption) {
	v.vms[i].disruption = &row
	if v.vms[i].available {
		v.vms[i].available = false
		v.pools[v.vms[i].pool].available--
	}
}
