package apmachine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

const (
	// stopTime is what one machine of a wave takes: emptying it, its upkeep, and its return.
	stopTime = 5 * time.Second
	// reserve is the part of a wave's time that is kept for machines that are late.
	reserve = 0.45
	// poolShare is the part of a pool that a wave empties at once at most.
	poolShare = 0.25
)

// Plan returns the next actions of all waves and moves.
func Plan(t *Tables) []Action {
	t.Awaiting = awaiting(t)
	t.observe()
	actions := carry(t)
	for _, wave := range t.Waves {
		actions = append(actions, maintain(t, wave)...)
	}
	return append(actions, balance(t)...)
}

// carry orders what emptied machines were emptied for, and closes disruptions whose worker has gone.
func carry(t *Tables) []Action {
	var actions []Action
	for _, name := range sortedNames(t.Disruptions) {
		d := t.Disruptions[name]
		m, listed := find(t.Machines, name)
		switch {
		case !listed:
			actions = append(actions, Close{Machine: name, Why: "NotListed"})
		case d.Worker != "" && m.Worker != "" && m.Worker != d.Worker:
			actions = append(actions, Close{Machine: name, Why: "NewLife"})
		case m.Pool == t.Spare || d.Worker == "" || emptied(t, d):
			actions = append(actions, Carry{Disruption: d})
		}
	}
	return actions
}

func emptied(t *Tables, d Disruption) bool {
	revision, ok := t.Pools[d.Pool].Empty[d.Worker]
	return ok && revision == d.Revision
}

// awaiting returns the machines that the waves have not maintained yet.
func awaiting(t *Tables) map[Name]bool {
	names := make(map[Name]bool)
	for _, wave := range t.Waves {
		finished := t.Finished[wave.Number]
		if finished.Completed {
			continue
		}
		for _, name := range wave.Machines {
			names[name] = true
		}
		for _, name := range finished.Machines {
			delete(names, name)
		}
	}
	return names
}

// AwaitingWorkers returns, for each pool but the spare one, the workers whose machines will be emptied for a
// wave, sorted.
func (t *Tables) AwaitingWorkers() map[apfleet.ServiceName][]apjob.WorkerID {
	workers := make(map[apfleet.ServiceName][]apjob.WorkerID, len(t.Pools))
	for pool := range t.Pools {
		workers[pool] = nil
	}
	for _, m := range t.Machines {
		if m.Pool != t.Spare && m.State == StateUp && t.Awaiting[m.Name] {
			workers[m.Pool] = append(workers[m.Pool], m.Worker)
		}
	}
	for _, ids := range workers {
		slices.Sort(ids)
	}
	return workers
}

// maintain opens the next disruptions of a wave. It goes no faster than the wave's time asks for, so
// that the pools keep their capacity.
func maintain(t *Tables, wave Wave) []Action {
	finished := t.Finished[wave.Number]
	left, down := 0, 0
	var waiting []Machine
	for _, name := range wave.Machines {
		m, listed := find(t.Machines, name)
		_, disrupted := t.Disruptions[name]
		done := slices.Contains(finished.Machines, name)
		switch {
		case !listed:
			// A machine that has left for good needs no upkeep.
		case done && m.State != StateUpkeep:
			// Its upkeep has ended, or it has failed or moved on since.
		case done, disrupted && t.Disruptions[name].Kind == KindUpkeep:
			down++
		case m.State == StateUp && !disrupted:
			left++
			waiting = append(waiting, m)
		default:
			left++
		}
	}
	if left == 0 && down == 0 && !finished.Completed {
		return []Action{Complete{Wave: wave.Number}}
	}
	return openNext(t, wave, waiting, left+down, down)
}

func openNext(t *Tables, wave Wave, waiting []Machine, left, down int) []Action {
	limit := pace(t.Now.Sub(t.Since[wave.Number]), wave, left)
	slices.SortFunc(waiting, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(t.cost(a), t.cost(b)), cmp.Compare(a.Name, b.Name))
	})
	opening := make(map[apfleet.ServiceName]int)
	var actions []Action
	for _, m := range waiting {
		if down >= limit {
			break
		}
		if m.Pool != t.Spare && t.disrupted(m.Pool)+opening[m.Pool] >= t.poolLimit(m.Pool) {
			continue
		}
		down++
		opening[m.Pool]++
		actions = append(actions, Open{Disruption: Disruption{
			Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Kind: KindUpkeep, Wave: wave.Number,
		}})
	}
	return actions
}

// pace returns how many machines may be down at once so that a wave ends in time.
func pace(passed time.Duration, wave Wave, left int) int {
	remaining := time.Duration((1-reserve)*float64(wave.Duration)) - passed
	if remaining <= stopTime {
		return wave.MaxCount
	}
	wanted := math.Ceil(float64(left) * float64(stopTime) / float64(remaining))
	return min(max(1, int(wanted)), wave.MaxCount)
}

// cost orders the machines of a wave: spare ones first, then those with few long-running tasks and
// little work.
func (t *Tables) cost(m Machine) float64 {
	if m.Pool == t.Spare {
		return -1
	}
	pool := t.Pools[m.Pool]
	full := 0.0
	if m.Capacity.CPU > 0 {
		full = float64(pool.Used[m.Worker]) / float64(m.Capacity.CPU)
	}
	return float64(pool.Lasting[m.Worker]) + full
}

// disrupted counts the machines of a pool that are being emptied.
func (t *Tables) disrupted(pool apfleet.ServiceName) int {
	n := 0
	for _, d := range t.Disruptions {
		if d.Pool == pool {
			n++
		}
	}
	return n
}

// poolLimit returns how many machines of a pool may be emptied at once.
func (t *Tables) poolLimit(pool apfleet.ServiceName) int {
	size := 0
	for _, m := range t.Machines {
		if m.Pool == pool {
			size++
		}
	}
	return max(1, int(poolShare*float64(size)))
}

func find(machines []Machine, name Name) (Machine, bool) {
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
