package apcontrol

import (
	"cmp"
	"slices"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// assign gives VMs without a pool to the pools that are furthest below their size, and spreads each
// pool over data centres and racks.
func (c *Control) assign(v *view) []Intent {
	added := make(map[apfleet.DataCentre]apfleet.OwnerTable)
	for _, i := range v.byRack() {
		vm := &v.vms[i]
		if vm.pool != noPool || vm.State != apfleet.VMLive {
			continue
		}
		pool := v.neediest(vm.VM)
		if pool == noPool {
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

// byRack returns the VMs in the order of data centre, rack and id.
func (v *view) byRack() []int {
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

// neediest returns the pool to which a VM adds most: one below its size, with the fewest VMs in the
// same rack, then in the same data centre, then the greatest shortfall. A spare pool takes what is
// left over.
func (v *view) neediest(vm apfleet.VM) int {
	best := noPool
	var bestKey [3]int
	for p := range v.pools {
		pool := &v.pools[p]
		if len(pool.vms) >= pool.settings.Size && !pool.settings.Spare {
			continue
		}
		shortfall := max(pool.settings.Size-len(pool.vms), 0)
		rack, dc := v.placed(p, vm)
		key := [3]int{rack, dc, -shortfall}
		if shortfall == 0 {
			key[0] += len(v.vms)
		}
		if best == noPool || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = p, key
		}
	}
	return best
}

// placed counts the VMs of a pool in the rack and in the data centre of vm.
func (v *view) placed(pool int, vm apfleet.VM) (rack, dc int) {
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

// start restarts VMs that run another service than that of their pool although no planned stop is
// under way: they serve nobody.
func (c *Control) start(v *view) []Intent {
	var intents []Intent
	for i := range v.vms {
		vm := &v.vms[i]
		if vm.pool == noPool || vm.disruption != nil || vm.State != apfleet.VMLive {
			continue
		}
		// The owner table of this tick is not written yet for VMs that were assigned just now.
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

// startOperation returns the same number for a VM until it has booted again, so that the platform
// restarts it once although the list lags.
func (c *Control) startOperation(v *view, vm apfleet.VM) uint64 {
	order, ok := c.started[vm.ID]
	if !ok || order.generation != vm.Generation {
		order = startOrder{generation: vm.Generation, operation: uint64(v.Revision)}
		c.started[vm.ID] = order
	}
	return order.operation
}

// startOrder is the operation under which a VM of some generation was started.
type startOrder struct {
	generation, operation uint64
}

// unregister removes entries that have been dead for a while, so that planned stops do not wait for
// them.
func (c *Control) unregister(v *view) []Intent {
	alive := make(map[apfleet.EntryName]uint64)
	for _, entry := range v.Entries {
		if entry.State <= apmesh.MemberSuspect {
			alive[entry.Name] = entry.Incarnation
		}
	}
	var intents []Intent
	for _, entry := range v.Registry.Entries {
		if alive[entry.Name] == entry.Incarnation {
			delete(c.gone, entry.Name)
			continue
		}
		since, ok := c.gone[entry.Name]
		if !ok {
			c.gone[entry.Name] = v.Now
			continue
		}
		if v.Now.Sub(since) > c.options.UnregisterAfter {
			delete(c.gone, entry.Name)
			intents = append(intents, Unregister{Member: entry.Member(), Window: v.Settings.ViewWindow(v.Deployment)})
		}
	}
	return intents
}
