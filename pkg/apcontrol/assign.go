package apcontrol

import (
	"cmp"
	"slices"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// assignVMs assigns VMs without a pool to pools that are below their size, spreading each pool over data
// centres and racks.
func (c *Control) assignVMs(v *view) []Intent {
	added := make(map[apfleet.DataCentre]apfleet.OwnerTable)
	for _, i := range v.vmsByRack() {
		vm := &v.vms[i]
		if vm.pool != noIndex || vm.State != apfleet.VMLive {
			continue
		}
		pool := v.poolForVM(vm.VM)
		if pool == noIndex {
			continue
		}
		vm.pool = pool
		v.pools[pool].vms = append(v.pools[pool].vms, i)
		if added[vm.DataCentre] == nil {
			added[vm.DataCentre] = make(apfleet.OwnerTable)
		}
		added[vm.DataCentre][vm.ID] = v.pools[pool].name
	}
	var intents []Intent
	for dc, owners := range added {
		intents = append(intents, AssignOwners{DataCentre: dc, Revision: v.Owners[dc].Revision, Owners: owners})
	}
	slices.SortFunc(intents, func(a, b Intent) int {
		return cmp.Compare(a.(AssignOwners).DataCentre, b.(AssignOwners).DataCentre)
	})
	return intents
}

// vmsByRack returns the indexes of all VMs, ordered by data centre, rack and id.
func (v *view) vmsByRack() []int {
	order := make([]int, len(v.vms))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := v.vms[a], v.vms[b]
		return cmp.Or(cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.ID, y.ID))
	})
	return order
}

// poolForVM returns the index of the pool that an unassigned VM should join, or noIndex. Of the pools below
// their size it picks the one with the fewest VMs in the VM's rack, then the fewest in its data centre,
// then the largest shortfall. When no pool is below its size, the VM goes to a spare pool.
func (v *view) poolForVM(vm apfleet.VM) int {
	best := noIndex
	var bestKey [3]int
	for p := range v.pools {
		pool := &v.pools[p]
		if len(pool.vms) >= pool.settings.Size && !pool.settings.Spare {
			continue
		}
		shortfall := max(pool.settings.Size-len(pool.vms), 0)
		rack, dc := v.countNearby(p, vm)
		key := [3]int{rack, dc, -shortfall}
		if shortfall == 0 {
			key[0] += len(v.vms)
		}
		if best == noIndex || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = p, key
		}
	}
	return best
}

// countNearby counts the VMs of a pool in the rack and in the data centre of vm, including vm itself if it
// belongs to the pool.
func (v *view) countNearby(pool int, vm apfleet.VM) (rack, dc int) {
	for _, i := range v.pools[pool].vms {
		if v.vms[i].DataCentre == vm.DataCentre {
			dc++
			if v.vms[i].Rack == vm.Rack {
				rack++
			}
		}
	}
	return rack, dc
}

// startServices restarts VMs that have no disruption but run a service other than their pool's, because
// such a VM serves no requests.
func (c *Control) startServices(v *view) []Intent {
	var intents []Intent
	for i := range v.vms {
		vm := &v.vms[i]
		if vm.pool == noIndex || vm.disruption != nil || vm.State != apfleet.VMLive {
			continue
		}
		// For VMs that were assigned in this tick, the owner table is not written yet.
		if _, owned := v.Owners[vm.DataCentre].Table[vm.ID]; !owned {
			continue
		}
		service := v.pools[vm.pool].service
		if service == "" || vm.Service == service {
			continue
		}
		operation := c.startOperation(v, vm.VM)
		intents = append(intents, PlatformOrder{
			Order: OrderRestart, VM: vm.ID, Number: OrderRestart.Number(operation), Service: service,
		})
	}
	return intents
}

// startOperation returns the operation number for starting a VM's service. It is the same on every tick
// until the VM has booted, so that the platform restarts the VM only once although its list lags.
func (c *Control) startOperation(v *view, vm apfleet.VM) uint64 {
	order, ok := c.serviceStarts[vm.ID]
	if !ok || order.generation != vm.Generation {
		order = serviceStart{generation: vm.Generation, operation: uint64(v.Revision)}
		c.serviceStarts[vm.ID] = order
	}
	return order.operation
}

// serviceStart records the operation that starts a VM's service, and the VM's generation at that time.
type serviceStart struct {
	generation, operation uint64
}

// unregisterDeadEntries removes entries that have been dead for longer than Options.UnregisterAfter, so
// that disruptions do not wait for their confirmation.
func (c *Control) unregisterDeadEntries(v *view) []Intent {
	alive := make(map[apfleet.EntryName]uint64)
	for _, entry := range v.Entries {
		if entry.State <= apmesh.MemberSuspect {
			alive[entry.Name] = entry.Incarnation
		}
	}
	var intents []Intent
	for _, entry := range v.Registry.Entries {
		if alive[entry.Name] == entry.Incarnation {
			delete(c.deadSince, entry.Name)
			continue
		}
		since, ok := c.deadSince[entry.Name]
		if !ok {
			c.deadSince[entry.Name] = v.Now
			continue
		}
		if v.Now.Sub(since) > c.options.UnregisterAfter {
			delete(c.deadSince, entry.Name)
			intents = append(intents, Unregister{Member: entry.Member(), Window: v.Settings.ViewWindow(v.Deployment)})
		}
	}
	return intents
}
