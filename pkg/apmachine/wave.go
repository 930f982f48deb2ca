package apmachine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

const (
	// upkeepCycle is the assumed time that one machine of a wave takes to be emptied, get its upkeep and return. It
	// doesn't follow the deployment's Bounds.UpkeepDuration.
	upkeepCycle = 5 * time.Second
	// timeReserveShare is the fraction of a wave's duration that is kept in reserve for machines that are late.
	timeReserveShare = 0.45
	// maxPoolShare is the maximum fraction of a pool's machines that a wave may empty at once.
	maxPoolShare = 0.25
)

// Plan returns the next actions for open disruptions, waves and moves between pools.
func Plan(t *Tables) []Action {
	t.Awaiting = awaitingUpkeep(t)
	t.updateTrends()
	t.updateLastNeeded()
	actions := completeDisruptions(t)
	// What the plan opens counts as open for the rest of the plan, and is left to the caller to store.
	stored := t.Disruptions
	defer func() { t.Disruptions = stored }()
	t.Disruptions = maps.Clone(stored)
	for _, wave := range t.Waves {
		actions = append(actions, t.markOpened(planWave(t, wave))...)
	}
	return append(actions, planMoves(t)...)
}

// markOpened adds the disruptions that the actions open to the table, and returns the actions.
func (t *Tables) markOpened(actions []Action) []Action {
	if t.Disruptions == nil {
		t.Disruptions = make(map[Name]Disruption)
	}
	for _, action := range actions {
		if open, ok := action.(OpenDisruption); ok {
			t.Disruptions[open.Disruption.Machine] = open.Disruption
		}
	}
	return actions
}

// completeDisruptions orders the upkeep or move of machines that have been emptied, and closes disruptions whose
// machine has been removed, whose worker has been replaced, or whose move the newest settings no longer allow.
func completeDisruptions(t *Tables) []Action {
	var actions []Action
	for _, name := range sortedNames(t.Disruptions) {
		d := t.Disruptions[name]
		m, listed := findMachine(t.Machines, name)
		switch {
		case t.isRemoved(name):
			actions = append(actions, CloseDisruption{Machine: name, Reason: "NotListed"})
		case !listed:
			// The next listings show whether the machine stays.
		case d.Worker != "" && m.Worker != "" && m.Worker != d.Worker:
			actions = append(actions, CloseDisruption{Machine: name, Reason: "NewLife"})
		case d.Kind == KindMove && !t.mayGetMachines(d.Target):
			actions = append(actions, CloseDisruption{Machine: name, Reason: "TargetNotInForce"})
		case d.Kind == KindMove && t.keepsMachines(d.Pool):
			actions = append(actions, CloseDisruption{Machine: name, Reason: "PoolNotInForce"})
		case t.isSpare(m) || d.Worker == "" || isEmptied(t, d):
			actions = append(actions, ExecuteDisruption{Disruption: d})
		}
	}
	return actions
}

// isEmptied reports whether the pool's owner has reported the worker of this very disruption as empty.
func isEmptied(t *Tables, d Disruption) bool {
	revision, ok := t.Pools[d.Pool].Empty[d.Worker]
	return ok && revision == d.Revision
}

// awaitingUpkeep returns the machines that still await their upkeep in at least one wave.
func awaitingUpkeep(t *Tables) map[Name]bool {
	names := make(map[Name]bool)
	for _, wave := range t.Waves {
		progress := t.Progress[wave.Number]
		if progress.Completed {
			continue
		}
		waiting := make(map[Name]bool, len(wave.Machines))
		for _, name := range wave.Machines {
			waiting[name] = true
		}
		for _, name := range progress.Machines {
			delete(waiting, name)
		}
		maps.Copy(names, waiting)
	}
	return names
}

// AwaitingWorkers returns, for each pool, the sorted ids of the workers whose machines will be emptied for a wave.
// Spare machines are left out.
func (t *Tables) AwaitingWorkers() map[apfleet.ServiceName][]apjob.WorkerID {
	workers := make(map[apfleet.ServiceName][]apjob.WorkerID, len(t.Pools))
	for pool := range t.Pools {
		workers[pool] = nil
	}
	for _, m := range t.Machines {
		if !t.isSpare(m) && m.State == StateUp && t.Awaiting[m.Name] {
			workers[m.Pool] = append(workers[m.Pool], m.Worker)
		}
	}
	for _, ids := range workers {
		slices.Sort(ids)
	}
	return workers
}

// planWave opens the next disruptions of a wave, or completes it. It proceeds only as fast as the wave's duration
// requires, so that the pools keep as much capacity as possible.
func planWave(t *Tables, wave Wave) []Action {
	progress := t.Progress[wave.Number]
	remaining, down := 0, 0
	var waiting []Machine
	for _, name := range wave.Machines {
		m, listed := findMachine(t.Machines, name)
		_, disrupted := t.Disruptions[name]
		done := slices.Contains(progress.Machines, name)
		switch {
		case t.isRemoved(name):
			// A machine that has been removed for good needs no upkeep.
		case listed && done && m.State != StateUpkeep:
			// The machine's upkeep has ended, or it has failed or been moved since.
		case done, disrupted && t.Disruptions[name].Kind == KindUpkeep:
			// A machine that the last listing omits may still be down.
			down++
		case m.State == StateUp && !disrupted && !t.Withheld[m.Name]:
			remaining++
			waiting = append(waiting, m)
		default:
			remaining++
		}
	}
	if remaining == 0 && down == 0 && !progress.Completed {
		return []Action{CompleteWave{Wave: wave.Number}}
	}
	return openUpkeep(t, wave, waiting, remaining+down, down)
}

// openUpkeep opens disruptions of waiting machines, in the order of their upkeep cost, until as many machines are
// down as the wave's pace requires. remaining counts the machines whose upkeep has not ended, down those of them
// that are being emptied or in upkeep.
func openUpkeep(t *Tables, wave Wave, waiting []Machine, remaining, down int) []Action {
	limit := maxDown(t.Now.Sub(t.WaveFirstSeen[wave.Number]), wave, remaining)
	slices.SortFunc(waiting, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(t.upkeepCost(a), t.upkeepCost(b)), cmp.Compare(a.Name, b.Name))
	})
	opening := make(map[apfleet.ServiceName]int)
	var actions []Action
	for _, m := range waiting {
		if down >= limit {
			break
		}
		if !t.isSpare(m) && t.disruptedCount(m.Pool)+opening[m.Pool] >= t.maxDisrupted(m.Pool) {
			continue
		}
		down++
		opening[m.Pool]++
		actions = append(actions, OpenDisruption{Disruption: Disruption{
			Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Kind: KindUpkeep, Wave: wave.Number,
		}})
	}
	return actions
}

// maxDown returns how many machines may be down at once: as many as the wave needs to end in time, at most
// MaxCount.
func maxDown(elapsed time.Duration, wave Wave, remaining int) int {
	timeLeft := time.Duration((1-timeReserveShare)*float64(wave.Duration)) - elapsed
	if timeLeft <= upkeepCycle {
		return wave.MaxCount
	}
	needed := math.Ceil(float64(remaining) * float64(upkeepCycle) / float64(timeLeft))
	return min(max(1, int(needed)), wave.MaxCount)
}

// upkeepCost returns the sort key for the machines of a wave: spare machines come first, then those with the fewest
// long-running tasks and the lowest CPU use.
func (t *Tables) upkeepCost(m Machine) float64 {
	if t.isSpare(m) {
		return -1
	}
	pool := t.Pools[m.Pool]
	utilisation := 0.0
	if m.Capacity.CPU > 0 {
		utilisation = float64(pool.ReservedCPU[m.Worker]) / float64(m.Capacity.CPU)
	}
	return float64(pool.LongRunning[m.Worker]) + utilisation
}

// disruptedCount returns the number of a pool's machines that are being emptied.
func (t *Tables) disruptedCount(pool apfleet.ServiceName) int {
	n := 0
	for _, d := range t.Disruptions {
		if d.Pool == pool {
			n++
		}
	}
	return n
}

// maxDisrupted returns how many machines of a pool may be emptied at once.
func (t *Tables) maxDisrupted(pool apfleet.ServiceName) int {
	size := 0
	for _, m := range t.Machines {
		if m.Pool == pool {
			size++
		}
	}
	return max(1, int(maxPoolShare*float64(size)))
}

// findMachine looks a machine up in a list that is sorted by name.
func findMachine(machines []Machine, name Name) (Machine, bool) {
	i, ok := slices.BinarySearchFunc(machines, name, func(m Machine, n Name) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return Machine{}, false
	}
	return machines[i], true
}

func sortedNames(disruptions map[Name]Disruption) []Name {
	names := make([]Name, 0, len(disruptions))
	for name := range disruptions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
