package apmachine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
)

// On the users' platform the queues' peaks of demand alternate: each queue asks for about five times its mean for
// some seconds. So a pool grows immediately, and shrinks when its peak is over or when another pool needs the
// machines more.
const (
	// cpuHeadroom is the factor by which a pool's capacity exceeds the CPU reserved by its running tasks.
	cpuHeadroom = 1.1
	// queueHorizon is the time within which queued work should have begun. It is shorter than the time that a
	// queued task may wait, because demand keeps rising while machines are being moved.
	queueHorizon = 500 * time.Millisecond
	// shrinkDelay is how long a pool keeps its machines after it last needed them, as long as machines are not
	// scarce.
	shrinkDelay = 800 * time.Millisecond
	// minPoolSize is the minimum size of a pool: the scheduler spreads the tasks of a long-running step over that
	// many workers (minWorkersPerStep of apscheduler).
	minPoolSize = 3
	// registrationTimeout is how long a worker may take to report for the first time after its machine has come
	// up. A machine without a report no longer counts towards its pool after that.
	registrationTimeout = 3 * time.Second
	// initialSettleTime is how long the first controller waits before it moves machines, because machines and
	// pools are still starting. A controller that takes over waits only for takeoverSettleTime, until it has
	// read the pools' reports.
	initialSettleTime  = 2500 * time.Millisecond
	takeoverSettleTime = 300 * time.Millisecond
	// maxEmptyingDivisor limits the moves that one plan may open for one shrinking pool to this fraction (1/n) of
	// all machines, less the open disruptions.
	maxEmptyingDivisor = 3
	// unplacedTasksPerMachine is the number of unplaced long-running tasks for which one machine is added: a
	// machine can run a few tasks of the same step, and a machine that turns out not to be needed is returned.
	unplacedTasksPerMachine = 3
	// idleDivisor is the fraction (1/n) of a machine's CPU that may be in use for the machine to leave its pool
	// while machines are not scarce.
	idleDivisor = 3
)

// TargetSize is the number of machines that a pool should have.
type TargetSize struct {
	Machines int
	// At is when the pool last needed that many machines.
	At time.Time
}

// planMoves moves machines to pools that need more, from the spare pool and from pools that need fewer, and
// returns unneeded machines to the spare pool.
func planMoves(t *Tables) []Action {
	settleTime := takeoverSettleTime
	if t.FirstController {
		settleTime = initialSettleTime
	}
	if t.SparePool == "" || t.Now.Sub(t.Started) < settleTime {
		return nil
	}
	size := t.poolSizes()
	t.Sizes = maps.Clone(size)
	spare := t.spareMachines()
	pools := t.poolNames()
	scarce := t.updateTargetSizes(pools, size)
	slices.SortFunc(pools, func(a, b apfleet.ServiceName) int {
		return cmp.Or(cmp.Compare(size[a]-t.TargetSizes[a].Machines, size[b]-t.TargetSizes[b].Machines), cmp.Compare(a, b))
	})
	var actions []Action
	for _, pool := range pools {
		for _, m := range t.takeLabelled(pool, &spare) {
			actions = append(actions, t.moveFromSpare(m, pool))
			size[pool]++
		}
	}
	var lacking []apfleet.ServiceName
	for _, pool := range pools {
		target := t.TargetSizes[pool].Machines
		for ; size[pool] < target && len(spare) > 0; size[pool]++ {
			m := spare[0]
			spare = spare[1:]
			actions = append(actions, t.moveFromSpare(m, pool))
		}
		for n := size[pool]; n < target; n++ {
			lacking = append(lacking, pool)
		}
	}
	for _, pool := range pools {
		if surplus := size[pool] - t.TargetSizes[pool].Machines; surplus > 0 {
			moves := t.shrinkPool(pool, min(surplus, t.maxMoves()), scarce, &lacking)
			actions = append(actions, moves...)
		}
	}
	return append(actions, t.releaseMachines(scarce, lacking)...)
}

// moveFromSpare returns the order to move a spare machine to a pool.
func (t *Tables) moveFromSpare(m Machine, pool apfleet.ServiceName) Action {
	return ExecuteDisruption{Disruption: Disruption{Machine: m.Name, Worker: m.Worker, Pool: t.SparePool, Kind: KindMove, Target: pool}}
}

// maxMoves returns how many moves one plan may open for one pool. Moves from pools that are no longer in force don't count:
// they take no capacity from any pool, and last for as long as there is no owner to empty the machines.
func (t *Tables) maxMoves() int {
	n := len(t.Machines) / maxEmptyingDivisor
	for _, d := range t.Disruptions {
		if d.Kind == KindUpkeep || t.mayGetMachines(d.Pool) {
			n--
		}
	}
	return n
}

// updateTargetSizes sets the number of machines that each pool should have, and reports whether machines are scarce,
// which means that the pools together need more than there are.
func (t *Tables) updateTargetSizes(pools []apfleet.ServiceName, size map[apfleet.ServiceName]int) bool {
	if t.TargetSizes == nil {
		t.TargetSizes = make(map[apfleet.ServiceName]TargetSize)
	}
	needs := make(map[apfleet.ServiceName]poolNeed, len(pools))
	needed, minimum, total := 0, 0, size[t.SparePool]
	for _, pool := range t.releasablePools() {
		total += size[pool]
	}
	for _, pool := range pools {
		n := t.needOf(pool)
		needs[pool] = n
		needed += n.machines
		minimum += n.minimum
		total += size[pool]
	}
	scarce := needed > total
	targets := divideMachines(needs, pools, total-minimum, needed-minimum, scarce)
	for _, pool := range pools {
		target, last := targets[pool], t.TargetSizes[pool]
		if scarce || target >= last.Machines || t.Now.Sub(last.At) >= shrinkDelay {
			t.TargetSizes[pool] = TargetSize{Machines: target, At: t.Now}
		}
	}
	return scarce
}

// poolNeed is the number of machines that a pool needs for its work, and the minimum that its long-running
// tasks require.
type poolNeed struct {
	minimum, machines int
}

// divideMachines returns how many machines each pool should have: what it needs, or, when machines are scarce,
// its minimum and a proportional share of the machines beyond all minimums. The remainder from rounding goes to
// the pool that needs the most machines. Beyond the sum of all minimums, available is
// the number of machines that exist and requested the number that the pools ask for.
func divideMachines(needs map[apfleet.ServiceName]poolNeed, pools []apfleet.ServiceName, available, requested int, scarce bool) map[apfleet.ServiceName]int {
	targets := make(map[apfleet.ServiceName]int, len(pools))
	available = max(0, available)
	leftover := available
	var largest apfleet.ServiceName
	for _, pool := range pools {
		n := needs[pool]
		targets[pool] = n.machines
		if n.machines > needs[largest].machines {
			largest = pool
		}
		if scarce {
			share := (n.machines - n.minimum) * available / max(1, requested)
			targets[pool] = n.minimum + share
			leftover -= share
		}
	}
	if scarce && largest != "" {
		targets[largest] += leftover
	}
	return targets
}

// needOf returns how many machines a pool needs.
func (t *Tables) needOf(pool apfleet.ServiceName) poolNeed {
	p := t.Pools[pool]
	var used int64
	for _, cpu := range p.ReservedCPU {
		used += cpu
	}
	queued := max(float64(p.QueuedWork)/queueHorizon.Seconds(), t.forecastQueued(pool)/forecastHorizon.Seconds())
	work := cpuHeadroom*float64(used) + queued
	minimum := max(minPoolSize, p.WidestStep)
	if len(p.LongRunning) > 0 {
		// Tasks that have to leave a machine for its upkeep need another machine in the meantime.
		minimum += t.upkeepCount(pool)
	}
	if p.Unplaced > 0 {
		// A task can be unable to run on any existing worker because of memory or of a limit per worker.
		minimum = max(minimum, len(p.ReservedCPU)+t.upkeepCount(pool)+(p.Unplaced+unplacedTasksPerMachine-1)/unplacedTasksPerMachine)
	}
	return poolNeed{minimum: minimum, machines: max(minimum, int(math.Ceil(work/t.meanCPU())))}
}

// upkeepCount returns the number of a pool's machines that are being emptied for upkeep or are down for it.
func (t *Tables) upkeepCount(pool apfleet.ServiceName) int {
	n := 0
	for _, m := range t.Machines {
		d, disrupted := t.Disruptions[m.Name]
		if m.Pool == pool && (m.State == StateUpkeep || disrupted && d.Kind == KindUpkeep) {
			n++
		}
	}
	return n
}

// meanCPU returns the mean CPU capacity of a machine, in thousandths of a core.
func (t *Tables) meanCPU() float64 {
	sum, n := 0.0, 0
	for _, m := range t.Machines {
		if m.Capacity.CPU > 0 {
			sum += float64(m.Capacity.CPU)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// poolSizes returns the number of machines that each pool has or will have soon. A machine that is being emptied
// for a move counts towards its target pool.
func (t *Tables) poolSizes() map[apfleet.ServiceName]int {
	size := make(map[apfleet.ServiceName]int)
	for _, m := range t.Machines {
		d, disrupted := t.Disruptions[m.Name]
		switch {
		case disrupted && d.Kind == KindMove:
			size[d.Target]++
		case disrupted, t.isSpare(m) && m.State != StateDown, t.countsForPool(m):
			size[m.Pool]++
		}
	}
	return size
}

// countsForPool reports whether a machine runs tasks for its pool or will do so soon.
func (t *Tables) countsForPool(m Machine) bool {
	switch m.State {
	case StateMoving, StateUpkeep:
		return true
	case StateUp:
		if _, ok := t.Pools[m.Pool].ReservedCPU[m.Worker]; ok {
			return true
		}
		return t.Now.Sub(t.UpSince[m.Name]) < registrationTimeout
	default:
		return false
	}
}

// spareMachines returns the spare machines that can be given to any pool. Machines that await upkeep
// come last, because their upkeep costs nothing while they are spare.
func (t *Tables) spareMachines() []Machine {
	var spare []Machine
	for _, m := range t.Machines {
		if _, disrupted := t.Disruptions[m.Name]; t.isSpare(m) && m.State == StateUp && !disrupted && !t.Withheld[m.Name] {
			spare = append(spare, m)
		}
	}
	slices.SortStableFunc(spare, func(a, b Machine) int { return apfleet.CompareBool(t.Awaiting[a.Name], t.Awaiting[b.Name]) })
	return spare
}

// poolNames returns the names of the pools in force that have a report, sorted.
func (t *Tables) poolNames() []apfleet.ServiceName {
	pools := make([]apfleet.ServiceName, 0, len(t.Pools))
	for pool := range t.Pools {
		if t.InForce[pool] {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// mayGetMachines reports whether machines may be moved to a pool: only to those that the newest settings name.
func (t *Tables) mayGetMachines(pool apfleet.ServiceName) bool {
	return t.InForce[pool] || pool == t.SparePool && pool != ""
}

// shrinkPool opens moves of a pool's least used machines: first to the pools in lacking, which it shortens
// accordingly, then to the spare pool. Machines with long-running tasks stay, and busy machines move only while
// machines are scarce.
func (t *Tables) shrinkPool(pool apfleet.ServiceName, surplus int, scarce bool, lacking *[]apfleet.ServiceName) []Action {
	p := t.Pools[pool]
	var movable []Machine
	for _, m := range t.Machines {
		used, working := p.ReservedCPU[m.Worker]
		_, disrupted := t.Disruptions[m.Name]
		if m.Pool == pool && m.State == StateUp && working && !disrupted && !t.Withheld[m.Name] && p.LongRunning[m.Worker] == 0 &&
			(scarce || used <= m.Capacity.CPU/idleDivisor) {
			movable = append(movable, m)
		}
	}
	slices.SortFunc(movable, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(p.ReservedCPU[a.Worker], p.ReservedCPU[b.Worker]),
			apfleet.CompareBool(t.Awaiting[b.Name], t.Awaiting[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	movable = t.withoutLastLabelled(pool, movable)
	var actions []Action
	for _, m := range movable[:max(0, min(surplus, len(movable)))] {
		target := t.SparePool
		if len(*lacking) > 0 {
			target, *lacking = (*lacking)[0], (*lacking)[1:]
		}
		actions = append(actions, OpenDisruption{Disruption: Disruption{
			Machine: m.Name, Worker: m.Worker, Pool: pool, Kind: KindMove, Target: target,
		}})
	}
	return actions
}
