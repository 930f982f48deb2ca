package apcontrol

import (
	"cmp"
	"slices"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

func deploymentPath(deployment string) apsettings.Path { return apsettings.Path("/" + deployment) }

// rebalance opens the moves between pools that the policy plans.
func (c *Control) rebalance(v *view) {
	loads := make([]PoolLoad, 0, len(v.pools))
	openMoves := 0
	for p := range v.pools {
		loads = append(loads, c.poolLoad(v, p))
		openMoves += countMoves(v.pools[p].disruptions)
	}
	v.countArriving(loads)
	for _, t := range c.balancer.Plan(v.Now, c.options.Policy, loads, openMoves) {
		if i := v.moveCandidate(v.poolIndex[t.From], v.poolIndex[t.To]); i >= 0 {
			v.openDisruption(i, apfleet.DisruptMove, t.To, t.Reason)
		}
	}
}

func (c *Control) poolLoad(v *view, p int) PoolLoad {
	pool := &v.pools[p]
	load := PoolLoad{
		Pool:         pool.name,
		Available:    pool.available,
		Need:         c.demand.Estimate(pool.service) / float64(pool.settings.Slots),
		Spare:        pool.settings.Spare,
		MoveWeight:   pool.settings.MoveWeight,
		ExpectedTurn: pool.settings.ExpectedTurn,
	}
	if v.tableUnchanged(p) {
		load.Removable = v.removable(p)
	}
	return load
}

// removable estimates how many VMs the availability budget of a pool allows to remove.
func (v *view) removable(p int) int {
	pool := &v.pools[p]
	surplus := pool.available - pool.settings.MinAvailable
	if pool.settings.RackReserve && pool.settings.MinAvailable > 0 {
		surplus -= max(v.largestRackCount(p, noIndex), 1)
	}
	return max(surplus, 0)
}

func countMoves(rows []apfleet.Disruption) int {
	n := 0
	for _, row := range rows {
		if row.Kind == apfleet.DisruptMove {
			n++
		}
	}
	return n
}

// countArriving sets how many VMs are being moved to each pool.
func (v *view) countArriving(loads []PoolLoad) {
	for p := range v.pools {
		for _, row := range v.pools[p].disruptions {
			if target, ok := v.poolIndex[row.Target]; ok && row.Kind == apfleet.DisruptMove {
				loads[target].Arriving++
			}
		}
	}
}

// moveCandidate returns the index of the VM that should move from one pool to another, or noIndex. Of the VMs
// that the availability budget allows to remove, it picks one from the rack with the fewest VMs of the
// target pool, then from the rack with the most VMs of the source pool.
func (v *view) moveCandidate(from, to int) int {
	if !v.tableUnchanged(from) {
		return noIndex
	}
	best := noIndex
	var bestKey [2]int
	for _, i := range v.pools[from].vms {
		if !v.vms[i].available || !v.budgetAllows(i) {
			continue
		}
		sourceCount, _ := v.countNearby(from, v.vms[i].VM)
		targetCount := 0
		if to != noIndex {
			targetCount, _ = v.countNearby(to, v.vms[i].VM)
		}
		key := [2]int{targetCount, -sourceCount}
		if best == noIndex || cmp.Or(slices.Compare(key[:], bestKey[:]), cmp.Compare(v.vms[i].ID, v.vms[best].ID)) < 0 {
			best, bestKey = i, key
		}
	}
	return best
}
