package apmachine

import (
	"maps"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
)

// formerKeepTime is how long a pool that is no longer in force keeps its machines after it was last needed. Entries with
// older settings still accept jobs for it meanwhile, and the pool can't get machines any more.
const formerKeepTime = 30 * time.Second

// releaseMachines opens moves of the machines of pools that are no longer in force, once these have no jobs: first to the
// pools in lacking, then to the spare pool. Until then such a pool keeps all its machines, whatever it uses at present.
func (t *Tables) releaseMachines(scarce bool, lacking []apfleet.ServiceName) []Action {
	var actions []Action
	for _, pool := range t.releasablePools() {
		actions = append(actions, t.shrinkPool(pool, t.maxMoves(), scarce, &lacking)...)
	}
	return actions
}

// releasablePools returns the names of the pools that need no machines any more, sorted.
func (t *Tables) releasablePools() []apfleet.ServiceName {
	var pools []apfleet.ServiceName
	for _, pool := range slices.Sorted(maps.Keys(t.Pools)) {
		if !t.mayGetMachines(pool) && !t.keepsMachines(pool) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// keepsMachines reports whether a pool is no longer in force and may still need all its machines.
func (t *Tables) keepsMachines(pool apfleet.ServiceName) bool {
	return !t.mayGetMachines(pool) && t.Now.Sub(t.LastNeeded[pool]) < formerKeepTime
}

// isSpare reports whether a machine belongs to the spare pool and runs nothing, so that it needs no emptying. A service that
// has become the spare pool may still have jobs, and its workers run them.
func (t *Tables) isSpare(m Machine) bool {
	return m.Pool == t.SparePool && (m.Worker == "" || !t.Pools[m.Pool].HasJobs)
}

// updateLastNeeded notes the pools that are in force or have jobs. A pool without a note counts as needed until now.
func (t *Tables) updateLastNeeded() {
	if t.LastNeeded == nil {
		t.LastNeeded = make(map[apfleet.ServiceName]time.Time)
	}
	for pool, report := range t.Pools {
		if _, known := t.LastNeeded[pool]; !known || report.HasJobs || t.mayGetMachines(pool) {
			t.LastNeeded[pool] = t.Now
		}
	}
}
