package apcontrol

import (
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// view joins the tables of one tick by VM and pool.
type view struct {
	*Tables
	vms []vmRow
	// vmIndex holds the indexes into vms.
	vmIndex map[apfleet.VMID]int
	pools   []poolRow
	// poolIndex holds the indexes into pools.
	poolIndex map[apfleet.PoolName]int
}

// vmRow is a VM with its pool and its disruption.
type vmRow struct {
	apfleet.VM
	// pool is the index of the pool that owns the VM, or noIndex.
	pool int
	// disruption is nil if the VM has no open disruption.
	disruption *apfleet.Disruption
	// available means that the VM serves its pool's service, has no open disruption, and is unreachable for
	// at most half of the entries.
	available bool
}

// poolRow is a pool with its settings, VMs and disruptions.
type poolRow struct {
	name     apfleet.PoolName
	path     apsettings.Path
	settings apsettings.Resolved
	service  apfleet.ServiceName
	// vms holds the indexes of the pool's VMs.
	vms []int
	// available counts the available VMs.
	available   int
	disruptions []apfleet.Disruption
	// revision is that of the pool's disruption table.
	revision apstore.Revision
	// opened holds the disruptions opened in this tick.
	opened []apfleet.Disruption
	// tableChanged means that another intent of this tick changes the pool's disruption table.
	tableChanged bool
}

// noIndex stands for no pool or no VM where an index is expected.
const noIndex = -1

// poolCache caches the pools defined by one revision of the settings. The zero value is empty.
type poolCache struct {
	revision apstore.Revision
	pools    []poolRow
}

// get returns the pools of the tables, without their VMs and disruptions. It does not use the cache while the
// revision of the settings is unknown.
func (c *poolCache) get(tables *Tables) []poolRow {
	if c.pools == nil || tables.SettingsRevision == 0 || c.revision != tables.SettingsRevision {
		c.revision = tables.SettingsRevision
		c.pools = poolsFromSettings(tables)
	}
	return c.pools
}

func poolsFromSettings(tables *Tables) []poolRow {
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
		Tables:    tables,
		vms:       make([]vmRow, 0, len(tables.VMs)),
		vmIndex:   make(map[apfleet.VMID]int, len(tables.VMs)),
		poolIndex: make(map[apfleet.PoolName]int),
	}
	v.addPools(cache.get(tables))
	unreachable := v.unreachableVotes()
	for _, vm := range tables.VMs {
		v.addVM(vm, unreachable)
	}
	v.addDisruptions()
	for i := range v.vms {
		row := &v.vms[i]
		if row.pool != noIndex && row.available {
			v.pools[row.pool].available++
		}
	}
	return v
}

func (v *view) addPools(cached []poolRow) {
	v.pools = make([]poolRow, 0, len(cached))
	for _, row := range cached {
		disruptions := v.Disruptions[row.name]
		row.disruptions = disruptions.Rows
		row.revision = disruptions.Revision
		v.poolIndex[row.name] = len(v.pools)
		v.pools = append(v.pools, row)
	}
}

func (v *view) addVM(vm apfleet.VM, unreachable map[apfleet.VMID]int) {
	row := vmRow{VM: vm, pool: noIndex}
	if owner, ok := v.Owners[vm.DataCentre].Table[vm.ID]; ok {
		if i, ok := v.poolIndex[owner]; ok {
			row.pool = i
			v.pools[i].vms = append(v.pools[i].vms, len(v.vms))
		}
	}
	if row.pool != noIndex {
		serves := vm.State == apfleet.VMLive && vm.Service == v.pools[row.pool].service
		row.available = serves && 2*unreachable[vm.ID] <= len(v.Entries)
	}
	v.vmIndex[vm.ID] = len(v.vms)
	v.vms = append(v.vms, row)
}

func (v *view) addDisruptions() {
	for p := range v.pools {
		for r := range v.pools[p].disruptions {
			row := &v.pools[p].disruptions[r]
			if i, ok := v.vmIndex[row.VM]; ok {
				v.vms[i].disruption = row
				v.vms[i].available = false
			}
		}
	}
}

// unreachableVotes returns, for each VM, the number of entries that cannot connect to it.
func (v *view) unreachableVotes() map[apfleet.VMID]int {
	votes := make(map[apfleet.VMID]int)
	for _, entry := range v.Entries {
		if entry.State > apmesh.MemberSuspect {
			continue
		}
		for _, id := range entry.Report.UnreachableVMs {
			votes[id]++
		}
	}
	return votes
}

func (v *view) demandReports() []EntryDemand {
	reports := make([]EntryDemand, 0, len(v.Entries))
	for _, entry := range v.Entries {
		if entry.State <= apmesh.MemberSuspect {
			reports = append(reports, EntryDemand{Entry: entry.Name, Incarnation: entry.Incarnation, Demands: entry.Report.Demands})
		}
	}
	return reports
}

// budgetAllows reports whether the availability budget of a VM's pool allows to disrupt the VM: at least
// MinAvailable VMs must remain available. With RackReserve, that must hold even if the rack with the most
// of the pool's other VMs fails in the meantime. A VM that is not available may always be disrupted.
func (v *view) budgetAllows(i int) bool {
	vm := v.vms[i]
	if vm.pool == noIndex || !vm.available {
		return true
	}
	pool := v.pools[vm.pool]
	left := pool.available - 1
	if pool.settings.RackReserve && pool.settings.MinAvailable > 0 {
		left -= v.largestRackCount(vm.pool, i)
	}
	return left >= pool.settings.MinAvailable
}

// largestRackCount returns the largest number of available VMs that a pool has in one rack, not counting the
// excluded VM.
func (v *view) largestRackCount(pool, excluded int) int {
	counts := make(map[apfleet.Rack]int)
	largest := 0
	for _, i := range v.pools[pool].vms {
		if i == excluded || !v.vms[i].available {
			continue
		}
		counts[v.vms[i].Rack]++
		largest = max(largest, counts[v.vms[i].Rack])
	}
	return largest
}

// markDisrupted counts a VM as unavailable for the rest of the tick.
func (v *view) markDisrupted(i int, row apfleet.Disruption) {
	v.vms[i].disruption = &row
	if v.vms[i].available {
		v.vms[i].available = false
		v.pools[v.vms[i].pool].available--
	}
}
