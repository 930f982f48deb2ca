package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// progress takes each planned stop its next step. The step follows from the tables alone, so that a
// new holder goes on where the old one stopped.
func (c *Control) progress(v *view) []Intent {
	var intents []Intent
	for p := range v.pools {
		for _, row := range v.pools[p].rows {
			steps := v.advance(&v.pools[p], row)
			c.observeStop(v, row, steps)
			v.markWritten(p, steps)
			intents = append(intents, steps...)
		}
	}
	return intents
}

// observeStop learns from a stop that ends with the VM serving again.
func (c *Control) observeStop(v *view, row apfleet.Disruption, steps []Intent) {
	i, listed := v.byVM[row.VM]
	if !listed || v.vms[i].Generation <= row.Generation {
		return
	}
	for _, step := range steps {
		if _, ends := step.(CloseDisruption); ends {
			c.balancer.ObserveStop(v.Now.Sub(row.Started))
		}
	}
}

// markWritten notes that a pool's table is written in this tick, so that nothing else is added to it
// at a revision that is about to pass.
func (v *view) markWritten(pool int, steps []Intent) {
	for _, step := range steps {
		if _, ok := step.(CloseDisruption); ok {
			v.pools[pool].written = true
		}
	}
}

// advance returns the next step of one planned stop.
func (v *view) advance(pool *poolRow, row apfleet.Disruption) []Intent {
	i, ok := v.byVM[row.VM]
	if !ok {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the platform no longer lists the VM"}}
	}
	vm := &v.vms[i]
	restarted := vm.Generation > row.Generation
	if restarted {
		return v.afterRestart(pool, row, vm)
	}
	if row.Ending && (vm.pool == noPool || &v.pools[vm.pool] == pool) {
		return v.undo(pool, row, vm)
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

// beginDrain marks a VM as leaving, or gives up a planned stop that can no longer be carried out.
func (v *view) beginDrain(pool *poolRow, row apfleet.Disruption) []Intent {
	if _, ok := v.byPool[row.Target]; !ok && row.Kind == apfleet.DisruptMove {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the target pool is gone"}}
	}
	if v.Now.After(row.Deadline) {
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the drain took too long"}}
	}
	return []Intent{v.order(OrderDrain, row, "")}
}

// undo takes a drain back and ends the planned stop.
func (v *view) undo(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	switch vm.State {
	case apfleet.VMLeaving:
		return []Intent{v.order(OrderReturn, row, "")}
	case apfleet.VMLive:
		return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "taken back by an operator"}}
	default:
		return nil
	}
}

// keepDrained holds an operator's drain until the operator takes it back.
func (v *view) keepDrained(row apfleet.Disruption, vm *vmRow) []Intent {
	if vm.State != apfleet.VMLive {
		return nil
	}
	return []Intent{v.order(OrderDrain, row, "")}
}

// afterDrain restarts a leaving VM once no entry has a request in flight to it, and rolls a drain
// back that takes too long.
func (v *view) afterDrain(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if v.drained(row) {
		return v.restart(pool, row, vm)
	}
	moved := row.Kind == apfleet.DisruptMove && vm.pool != noPool && v.pools[vm.pool].name == row.Target
	if v.Now.After(row.Deadline) && !moved {
		return []Intent{v.order(OrderReturn, row, "")}
	}
	return nil
}

// restart gives a moved VM to its new pool first, then has it restarted with that pool's service.
func (v *view) restart(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if row.Kind != apfleet.DisruptMove {
		return []Intent{v.order(OrderRestart, row, pool.service)}
	}
	target, ok := v.byPool[row.Target]
	if !ok {
		return []Intent{v.order(OrderReturn, row, "")}
	}
	if vm.pool != target {
		return []Intent{SwapOwner{DataCentre: vm.DataCentre, VM: vm.ID, From: pool.name, To: row.Target}}
	}
	return []Intent{v.order(OrderRestart, row, v.pools[target].service)}
}

// afterRestart ends a planned stop when the VM serves again. A VM that came back by itself with the
// old service is restarted by the system start.
func (v *view) afterRestart(pool *poolRow, row apfleet.Disruption, vm *vmRow) []Intent {
	if vm.State != apfleet.VMLive {
		return nil
	}
	if row.Kind == apfleet.DisruptMove && vm.pool == v.byPool[pool.name] && v.Now.Before(row.Deadline) {
		return v.restart(pool, row, vm)
	}
	if vm.pool != noPool && vm.Service != v.pools[vm.pool].service {
		return []Intent{v.order(OrderRestart, row, v.pools[vm.pool].service)}
	}
	return []Intent{CloseDisruption{Pool: pool.name, VM: row.VM, Reason: "the VM serves again"}}
}

func (v *view) order(order Order, row apfleet.Disruption, service apfleet.ServiceName) Intent {
	return PlatformOrder{Order: order, VM: row.VM, Number: order.Number(row.Operation), Service: service}
}

// drained reports whether every registered entry and every member obeys the disruption and has
// nothing in flight to the VM.
func (v *view) drained(row apfleet.Disruption) bool {
	obeys := make(map[apfleet.EntryName]bool, len(v.Entries))
	for _, entry := range v.Entries {
		if entry.State > apmesh.MemberSuspect {
			continue
		}
		if !obeysDisruption(entry, row) {
			return false
		}
		obeys[entry.Name] = true
	}
	for _, entry := range v.Registry.Entries {
		if !obeys[entry.Name] {
			return false
		}
	}
	return len(obeys) > 0
}

func obeysDisruption(entry apmesh.Member, row apfleet.Disruption) bool {
	for _, report := range entry.Report.Drains {
		if report.VM == row.VM {
			return report.Operation == row.Operation && report.InFlight == 0
		}
	}
	return false
}

// open records the intent to stop a VM, and counts it as unavailable for the rest of the tick. The number
// is that of the store's next write: it is above that of every order given before.
func (v *view) open(i int, kind apfleet.DisruptionKind, target apfleet.PoolName, reason string) {
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
	v.take(i, row)
	pool.opened = append(pool.opened, row)
}

// opened returns one intent for each pool in which stops were opened in this tick.
func (v *view) opened() []Intent {
	var intents []Intent
	for p := range v.pools {
		if rows := v.pools[p].opened; len(rows) > 0 {
			intents = append(intents, OpenDisruptions{Pool: v.pools[p].name, Revision: v.pools[p].revision, Rows: rows})
		}
	}
	return intents
}

// overdue returns a planned stop whose VM has not come back long after the deadline.
func (v *view) overdue() (apfleet.Disruption, bool) {
	for p := range v.pools {
		for _, row := range v.pools[p].rows {
			if row.Kind != apfleet.DisruptDrain && v.Now.After(row.Deadline.Add(overdueGrace)) {
				return row, true
			}
		}
	}
	return apfleet.Disruption{}, false
}

const overdueGrace = 30 * time.Second
