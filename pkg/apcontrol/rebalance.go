package apcontrol

import (
	"cmp"
	"slices"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
)

func deploymentPath(deployment string) apsettings.Path { return apsettings.Path("/" + deployment) }

// rebalance moves VMs between pools as the policy plans it.
func (c *Control) rebalance(v *view) {
	loads := make([]PoolLoad, 0, len(v.pools))
	openMoves := 0
	for p := range v.pools {
		loads = append(loads, c.poolLoad(v, p))
		openMoves += countMoves(v.pools[p].rows)
	}
	v.countArriving(loads)
	for _, t := range c.balancer.Plan(v.Now, c.options.Policy, loads, openMoves) {
		if i := v.moveCandidate(v.byPool[t.From], v.byPool[t.To]); i >= 0 {
			v.open(i, apfleet.DisruptMove, t.To, t.Reason)
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
	if v.writable(p) {
		load.Removable = v.removable(p)
	}
	return load
}

// removable estimates how many VMs the budget of a pool lets go.
func (v *view) removable(p int) int {
	pool := &v.pools[p]
	spare := pool.available - pool.settings.MinAvailable
	if pool.settings.RackReserve && pool.settings.MinAvailable > 0 {
		spare -= max(v.largestRack(p, noPool), 1)
	}
	return max(spare, 0)
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

// countArriving counts the VMs that are on their way to each pool.
func (v *view) countArriving(loads []PoolLoad) {
	for p := range v.pools {
		for _, row := range v.pools[p].rows {
			if target, ok := v.byPool[row.Target]; ok && row.Kind == apfleet.DisruptMove {
				loads[target].Arriving++
			}
		}
	}
}

// moveCandidate returns the VM of a pool that is best given away, or -1: one that the budget lets
// go, from the rack that holds most of the pool and least of the receiving one.
func (v *view) moveCandidate(from, to int) int {
	if !v.writable(from) {
		return noPool
	}
	best := noPool
	var bestKey [2]int
	for _, i := range v.pools[from].vms {
		if !v.vms[i].available || !v.admits(i) {
			continue
		}
		mine, _ := v.placed(from, v.vms[i].VM)
		theirs := 0
		if to != noPool {
			theirs, _ = v.placed(to, v.vms[i].VM)
		}
		key := [2]int{theirs, -mine}
		if best == noPool || cmp.Or(slices.Compare(key[:], bestKey[:]), cmp.Compare(v.vms[i].ID, v.vms[best].ID)) < 0 {
			best, bestKey = i, key
		}
	}
	return best
}
