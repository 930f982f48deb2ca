package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// advanceDisruptions returns the next step of each open disruption. The step depends only on the tables, so
// that a controller that takes over continues where its predecessor stopped.
func (c *Control) advanceDisruptions(v *view) []Intent {
	var intents []Intent
	for p := range v.pools {
		for _, row := range v.pools[p].disruptions {
			steps := v.nextIntents(&v.pools[p], row)
			c.observeDowntime(v, row, steps)
			v.markTableChanged(p, steps)
			intents = append(intents, steps...)
		}
	}
	return intents
}

// observeDowntime reports the length of a disruption to the balancer if the disruption ends with the VM
// restarted.
func (c *Control) observeDowntime(v *view, row apfleet.Disruption, steps []Intent) {
	i, listed := v.vmIndex[row.VM]
	if !listed || v.vms[i].Generation <= row.Generation {
		return
	}
	for _, step := range steps {
		if _, ends := step.(CloseDisruption); ends {
			c.balancer.ObserveDowntime(v.Now.Sub(row.Started))
		}
	}
}

// markTableChanged records that steps change a pool's disruption table, so that no disruption is opened in
// this tick against a revision that is about to be replaced.
func (v *view) markTableChanged(pool int, steps []Intent) {
	for _, step := range steps {
		if _, ok := step.(CloseDisruption); ok {
			v.pools[pool].tableChanged = true
		}
	}
}

// nextIntents returns the next step of one disruption, or nothing while it has to wait.
func (v *view) nextIntents(pool *poolRow, row apfleet.Disruption) []Intent {
	i, ok := v.vmIndex[row.VM]
	if !ok {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the platform no longer lists the VM"}}
	}
	vm := &v.vms[i]
	restarted := vm.Generation > row.Generation
	if restarted {
		return v.afterRestart(pool, row, vm)
	}
	if row.Cancelled && (vm.pool == noIndex || &v.pools[vm.pool] == pool) {
		return v.cancel(pool, row, vm)
	}
	if row.Kind == apfleet.DisruptDrain {
		return v.keepDrained(row, vm)
	}
	if vm.State == apfleet.VMLive {
		return v.beginDrain(pool, row)
	}
	switch vm.State {
	case apfleet.VMLeaving:
		return v.afterDrain(pool, row, vm)
	case apfleet.VMDown:
		return v.restart(pool, row, vm)
	default:
		return nil
	}
}

// beginDrain marks a VM as leaving, or closes a disruption that can no longer be carried out.
func (v *view) beginDrain(pool *poolRow, row apfleet.Disruption) []Intent {
	if _, ok := v.poolIndex[row.Target]; !ok && row.Kind == apfleet.DisruptMove {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the target pool no longer exists"}}
	}
	if v.Now.After(row.Deadline) {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the drain did not complete before its deadline"}}
	}
	return []Intent{v.platformOrder(OrderDrain, row, "")}
}

// cancel undoes the drain and then closes the disruption.
func (v *view) cancel(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	switch vm.State {
	case apfleet.VMLeaving:
		return []Intent{v.platformOrder(OrderReturn, row, "")}
	case apfleet.VMLive:
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "cancelled by an operator"}}
	default:
		return nil
	}
}

// keepDrained drains a VM again if it has become live, until an operator ends the drain.
func (v *view) keepDrained(row apfleet.Disruption, vm *vmRow) []Intent {
	if vm.State != apfleet.VMLive {
		return nil
	}
	return []Intent{v.platformOrder(OrderDrain, row, "")}
}

// afterDrain restarts a leaving VM once no entry has requests in flight to it. It rolls the drain back when
// the deadline has passed, unless the VM already belongs to the target pool of its move.
func (v *view) afterDrain(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if v.drained(row) {
		return v.restart(pool, row, vm)
	}
	moved := row.Kind == apfleet.DisruptMove && vm.pool != noIndex && v.pools[vm.pool].name == row.Target
	if v.Now.After(row.Deadline) && !moved {
		return []Intent{v.platformOrder(OrderReturn, row, "")}
	}
	return nil
}

// restart orders the restart of a drained VM. A VM that moves is first assigned to its new pool, and then
// restarted with that pool's service.
func (v *view) restart(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if row.Kind != apfleet.DisruptMove {
		return []Intent{v.platformOrder(OrderRestart, row, pool.service)}
	}
	target, ok := v.poolIndex[row.Target]
	if !ok {
		return []Intent{v.platformOrder(OrderReturn, row, "")}
	}
	if vm.pool != target {
		return []Intent{SwapOwner{DataCentre: vm.DataCentre, VM: vm.ID, From: pool.name, To: row.Target}}
	}
	return []Intent{v.platformOrder(OrderRestart, row, v.pools[target].service)}
}

// afterRestart closes a disruption when the VM is live again. A VM that rebooted on its own before it changed
// pools continues its move until the deadline. One that came back with a service other than its pool's is
// restarted again.
func (v *view) afterRestart(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if vm.State != apfleet.VMLive {
		return nil
	}
	if row.Kind == apfleet.DisruptMove && vm.pool == v.poolIndex[pool.name] && v.Now.Before(row.Deadline) {
		return v.restart(pool, row, vm)
	}
	if vm.pool != noIndex && vm.Service != v.pools[vm.pool].service {
		return []Intent{v.platformOrder(OrderRestart, row, v.pools[vm.pool].service)}
	}
	return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the VM serves again"}}
}

// platformOrder returns an order that belongs to the operation of a disruption.
func (v *view) platformOrder(order Order, row apfleet.Disruption, service apfleet.ServiceName) Intent {
	return PlatformOrder{Order: order, VM: row.VM, Number: order.Number(row.Operation), Service: service}
}

// drained reports whether every registered entry and every live member of the mesh has confirmed the
// disruption and has no requests in flight to the VM.
func (v *view) drained(row apfleet.Disruption) bool {
	confirmed := make(map[apfleet.EntryName]bool, len(v.Entries))
	for _, entry := range v.Entries {
		if entry.State > apmesh.MemberSuspect {
			continue
		}
		if !hasDrained(entry, row) {
			return false
		}
		confirmed[entry.Name] = true
	}
	for _, entry := range v.Registry.Entries {
		if !confirmed[entry.Name] {
			return false
		}
	}
	return len(confirmed) > 0
}

// hasDrained reports whether an entry has confirmed a disruption and has no requests in flight to its VM.
func hasDrained(entry apmesh.Member, row apfleet.Disruption) bool {
	for _, report := range entry.Report.Drains {
		if report.VM == row.VM {
			return report.Operation == row.Operation && report.InFlight == 0
		}
	}
	return false
}

// openDisruption adds a disruption of a VM to the ones opened in this tick, and counts the VM as unavailable
// for the rest of the tick. The operation number is one above the highest known store revision, so it is
// higher than that of any earlier operation on the VM. Disruptions opened in one tick share it.
func (v *view) openDisruption(i int, kind apfleet.DisruptionKind, target apfleet.PoolName, reason string) {
	vm := v.vms[i].VM
	pool := &v.pools[v.vms[i].pool]
	row := apfleet.Disruption{
		VM:         vm.ID,
		DataCentre: vm.DataCentre,
		Kind:       kind,
		Target:     target,
		Generation: vm.Generation,
		Operation:  uint64(v.Revision) + 1,
		Started:    v.Now,
		Deadline:   v.Now.Add(pool.settings.DrainTimeout),
		Reason:     reason,
	}
	v.markDisrupted(i, row)
	pool.opened = append(pool.opened, row)
}

// openIntents returns one intent for each pool in which disruptions were opened in this tick.
func (v *view) openIntents() []Intent {
	var intents []Intent
	for p := range v.pools {
		if rows := v.pools[p].opened; len(rows) > 0 {
			intents = append(intents, OpenDisruptions{Pool: v.pools[p].name, Revision: v.pools[p].revision, Rows: rows})
		}
	}
	return intents
}

// overdueDisruption returns a disruption, other than an operator's drain, that is still open overdueGrace
// after its deadline.
func (v *view) overdueDisruption() (apfleet.Disruption, bool) {
	for p := range v.pools {
		for _, row := range v.pools[p].disruptions {
			if row.Kind != apfleet.DisruptDrain && v.Now.After(row.Deadline.Add(overdueGrace)) {
				return row, true
			}
		}
	}
	return apfleet.Disruption{}, false
}

// overdueGrace is how long after its deadline a disruption may stay open before the wave is paused.
const overdueGrace = 30 * time.Second
