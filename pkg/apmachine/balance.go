package apmachine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
)

// A queue asks for about five times its mean for some seconds, in turns with the others, so a pool grows
// at once, and shrinks when its turn is over or when another pool lacks more.
const (
	// headroom is the room that a pool keeps beyond its running tasks.
	headroom = 1.1
	// horizon is the time within which queued work should have begun. It is shorter than a queued
	// task may wait, for demand rises further while machines are on their way.
	horizon = 500 * time.Millisecond
	// calm is how long a pool keeps what it wanted last while no other pool lacks machines.
	calm = 800 * time.Millisecond
	// floor is the least size of a pool: its long-running tasks stand in that many racks.
	floor = 3
	// arrival is how long a worker may take from its machine's being up to its first report.
	arrival = 3 * time.Second
	// settle is how long the first controller only looks: machines and pools start within it. A
	// successor looks for takeover, until it has read what pools have said.
	settle   = 2500 * time.Millisecond
	takeover = 300 * time.Millisecond
	// emptyingShare is the part of all machines, as a divisor, that may be emptied at once.
	emptyingShare = 3
	// homelessShare is how many long-running tasks without a place share a machine that is brought for
	// them: a machine takes a few of a step, and one that turns out to be too many goes back.
	homelessShare = 3
	// idleShare is the part of a machine, as a divisor, that may still be used when it is shed without
	// need.
	idleShare = 3
)

// Want is how many machines a pool should have.
type Want struct {
	Machines int
	// At is when the pool last needed that many.
	At time.Time
}

// balance moves machines to pools that have work, and back to the spare pool.
func balance(t *Tables) []Action {
	wait := takeover
	if t.First {
		wait = settle
	}
	if t.Spare == "" || t.Now.Sub(t.Started) < wait {
		return nil
	}
	size := t.sizes()
	t.Sizes = maps.Clone(size)
	spare := t.spareMachines()
	pools := t.poolNames()
	short := t.share(pools, size)
	slices.SortFunc(pools, func(a, b apfleet.ServiceName) int {
		return cmp.Or(cmp.Compare(size[a]-t.Wants[a].Machines, size[b]-t.Wants[b].Machines), cmp.Compare(a, b))
	})
	var actions []Action
	var lacking []apfleet.ServiceName
	for _, pool := range pools {
		want := t.Wants[pool].Machines
		for ; size[pool] < want && len(spare) > 0; size[pool]++ {
			m := spare[0]
			spare = spare[1:]
			actions = append(actions, Carry{Disruption: Disruption{
				Machine: m.Name, Worker: m.Worker, Pool: t.Spare, Kind: KindMove, Target: pool,
			}})
		}
		for n := size[pool]; n < want; n++ {
			lacking = append(lacking, pool)
		}
	}
	for _, pool := range pools {
		if surplus := size[pool] - t.Wants[pool].Machines; surplus > 0 {
			moves := t.shed(pool, min(surplus, len(t.Machines)/emptyingShare-len(t.Disruptions)), short, &lacking)
			actions = append(actions, moves...)
		}
	}
	return actions
}

// share works out what each pool should have, and reports whether they lack machines together. Then
// each keeps its floor and gets a part of the rest by its need.
func (t *Tables) share(pools []apfleet.ServiceName, size map[apfleet.ServiceName]int) bool {
	if t.Wants == nil {
		t.Wants = make(map[apfleet.ServiceName]Want)
	}
	needs := make(map[apfleet.ServiceName]need, len(pools))
	asked, least, all := 0, 0, size[t.Spare]
	for _, pool := range pools {
		n := t.need(pool)
		needs[pool] = n
		asked += n.machines
		least += n.least
		all += size[pool]
	}
	short := asked > all
	wants := divide(needs, pools, all-least, asked-least, short)
	for _, pool := range pools {
		want, last := wants[pool], t.Wants[pool]
		if short || want >= last.Machines || t.Now.Sub(last.At) >= calm {
			t.Wants[pool] = Want{Machines: want, At: t.Now}
		}
	}
	return short
}

// need is how many machines a pool's work asks for, and how many its long-running tasks can't do
// without.
type need struct {
	least, machines int
}

// divide returns what each pool should have. When machines are short, each gets its least and a part of
// the rest by its need; what rounding leaves goes to the pool that needs most.
func divide(needs map[apfleet.ServiceName]need, pools []apfleet.ServiceName, rest, extra int, short bool) map[apfleet.ServiceName]int {
	wants := make(map[apfleet.ServiceName]int, len(pools))
	rest = max(0, rest)
	left := rest
	var most apfleet.ServiceName
	for _, pool := range pools {
		n := needs[pool]
		wants[pool] = n.machines
		if n.machines > needs[most].machines {
			most = pool
		}
		if short {
			part := (n.machines - n.least) * rest / max(1, extra)
			wants[pool] = n.least + part
			left -= part
		}
	}
	if short && most != "" {
		wants[most] += left
	}
	return wants
}

// need returns what a pool's work asks for.
func (t *Tables) need(pool apfleet.ServiceName) need {
	p := t.Pools[pool]
	var used int64
	for _, cpu := range p.Used {
		used += cpu
	}
	queued := max(float64(p.Queued)/horizon.Seconds(), t.forecast(pool)/forecastHorizon.Seconds())
	work := headroom*float64(used) + queued
	least := max(floor, p.Widest)
	if len(p.Lasting) > 0 {
		// Tasks that leave a machine for its upkeep need another one meanwhile.
		least += t.inUpkeep(pool)
	}
	if p.Homeless > 0 {
		// Bounds for one worker, and memory, can keep a task from all that there are.
		least = max(least, len(p.Used)+t.inUpkeep(pool)+(p.Homeless+homelessShare-1)/homelessShare)
	}
	return need{least: least, machines: max(least, int(math.Ceil(work/t.typicalCPU())))}
}

// inUpkeep counts the machines of a pool that are being emptied for upkeep or are down for it.
func (t *Tables) inUpkeep(pool apfleet.ServiceName) int {
	n := 0
	for _, m := range t.Machines {
		d, disrupted := t.Disruptions[m.Name]
		if m.Pool == pool && (m.State == StateUpkeep || disrupted && d.Kind == KindUpkeep) {
			n++
		}
	}
	return n
}

// typicalCPU returns the mean capacity of a machine, in thousandths of a core.
func (t *Tables) typicalCPU() float64 {
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

// sizes counts the machines of each pool that work or will soon: those that are being emptied count for
// the pool that they go to.
func (t *Tables) sizes() map[apfleet.ServiceName]int {
	size := make(map[apfleet.ServiceName]int)
	for _, m := range t.Machines {
		d, disrupted := t.Disruptions[m.Name]
		switch {
		case disrupted && d.Kind == KindMove:
			size[d.Target]++
		case disrupted, m.Pool == t.Spare && m.State != StateDown, t.counts(m):
			size[m.Pool]++
		}
	}
	return size
}

// counts reports whether a machine is of use to its pool now or soon.
func (t *Tables) counts(m Machine) bool {
	switch m.State {
	case StateMoving, StateUpkeep:
		return true
	case StateUp:
		if _, ok := t.Pools[m.Pool].Used[m.Worker]; ok {
			return true
		}
		return t.Now.Sub(t.UpSince[m.Name]) < arrival
	default:
		return false
	}
}

// spareMachines returns the machines that any pool may have. Those that await upkeep come last: it costs
// nothing while they are spare.
func (t *Tables) spareMachines() []Machine {
	var spare []Machine
	for _, m := range t.Machines {
		if _, disrupted := t.Disruptions[m.Name]; m.Pool == t.Spare && m.State == StateUp && !disrupted {
			spare = append(spare, m)
		}
	}
	slices.SortStableFunc(spare, func(a, b Machine) int { return apfleet.CompareBool(t.Awaiting[a.Name], t.Awaiting[b.Name]) })
	return spare
}

// poolNames returns the pools that run tasks.
func (t *Tables) poolNames() []apfleet.ServiceName {
	pools := make([]apfleet.ServiceName, 0, len(t.Pools))
	for pool := range t.Pools {
		if pool != t.Spare {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// shed opens moves of a pool's least used machines, to pools that lack some and else to the spare
// pool. Machines with long-running tasks stay; busy ones go only where machines are short.
func (t *Tables) shed(pool apfleet.ServiceName, surplus int, short bool, lacking *[]apfleet.ServiceName) []Action {
	p := t.Pools[pool]
	var movable []Machine
	for _, m := range t.Machines {
		used, working := p.Used[m.Worker]
		_, disrupted := t.Disruptions[m.Name]
		if m.Pool == pool && m.State == StateUp && working && !disrupted && p.Lasting[m.Worker] == 0 &&
			(short || used <= m.Capacity.CPU/idleShare) {
			movable = append(movable, m)
		}
	}
	slices.SortFunc(movable, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(p.Used[a.Worker], p.Used[b.Worker]),
			apfleet.CompareBool(t.Awaiting[b.Name], t.Awaiting[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	var actions []Action
	for _, m := range movable[:max(0, min(surplus, len(movable)))] {
		target := t.Spare
		if len(*lacking) > 0 {
			target, *lacking = (*lacking)[0], (*lacking)[1:]
		}
		actions = append(actions, Open{Disruption: Disruption{
			Machine: m.Name, Worker: m.Worker, Pool: pool, Kind: KindMove, Target: target,
		}})
	}
	return actions
}
