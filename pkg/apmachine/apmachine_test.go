package apmachine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

var start = time.Unix(1_000_000, 0)

// newTables returns pools of equal machines, a spare pool with spare machines, and a controller that took over a
// minute ago, so that it may move machines.
func newTables(pools map[apfleet.ServiceName]int, spare int) *apmachine.Tables {
	tables := &apmachine.Tables{
		Now: start, Started: start.Add(-time.Minute), Spare: "spare",
		Since: map[int]time.Time{}, Finished: map[int]apmachine.Finished{},
		Disruptions: map[apmachine.Name]apmachine.Disruption{}, Pools: map[apfleet.ServiceName]apmachine.Pool{},
		UpSince: map[apmachine.Name]time.Time{},
	}
	add := func(pool apfleet.ServiceName, n int) {
		for i := range n {
			m := apmachine.Machine{
				Name: apmachine.Name(fmt.Sprintf("m-%s-%02d", pool, i)), Pool: pool, State: apmachine.StateUp,
				Capacity: apjob.Resources{CPU: 32_000},
			}
			if pool != "spare" {
				m.Worker = apjob.WorkerID("i-" + m.Name)
				tables.Pools[pool].Used[m.Worker] = 0
			}
			tables.Machines = append(tables.Machines, m)
		}
	}
	for _, name := range []apfleet.ServiceName{"a", "b", "c"} {
		if n, ok := pools[name]; ok {
			tables.Pools[name] = apmachine.Pool{Used: map[apjob.WorkerID]int64{}, Lasting: map[apjob.WorkerID]int{}, Empty: map[apjob.WorkerID]apstore.Revision{}}
			add(name, n)
		}
	}
	add("spare", spare)
	return tables
}

// movesByTarget counts, by target pool, the orders given at once and the disruptions opened.
func movesByTarget(actions []apmachine.Action) (carried, opened map[apfleet.ServiceName]int) {
	carried, opened = map[apfleet.ServiceName]int{}, map[apfleet.ServiceName]int{}
	for _, action := range actions {
		switch action := action.(type) {
		case apmachine.Carry:
			carried[action.Disruption.Target]++
		case apmachine.Open:
			opened[action.Disruption.Target]++
		}
	}
	return carried, opened
}

// completeMove puts a machine into the target pool of its move.
func completeMove(tables *apmachine.Tables, d apmachine.Disruption) {
	for i := range tables.Machines {
		m := &tables.Machines[i]
		if m.Name != d.Machine {
			continue
		}
		delete(tables.Pools[m.Pool].Used, m.Worker)
		m.Pool = d.Target
		if d.Target != tables.Spare {
			tables.Pools[d.Target].Used[m.Worker] = 0
		}
	}
}

func TestPoolGrowsFromTheSparePool(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3, "b": 3}, 10)
	pool := tables.Pools["a"]
	pool.Queued = 128_000
	tables.Pools["a"] = pool
	carried, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, carried["a"], 5, "128 core-seconds within half a second need 8 machines")
	assert.Equal(t, carried["b"], 0)
	assert.Equal(t, len(opened), 0)
}

func TestScarceMachinesAreSharedByNeed(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 20, "b": 3, "c": 3}, 0)
	for name, queued := range map[apfleet.ServiceName]int64{"a": 200_000, "b": 600_000} {
		pool := tables.Pools[name]
		pool.Queued = queued
		tables.Pools[name] = pool
	}
	for range 4 {
		for _, action := range apmachine.Plan(tables) {
			if open, ok := action.(apmachine.Open); ok {
				completeMove(tables, open.Disruption)
			}
		}
	}
	count := map[apfleet.ServiceName]int{}
	for _, m := range tables.Machines {
		count[m.Pool]++
	}
	assert.Assert(t, count["b"] > count["a"], "%v", count)
	assert.Assert(t, count["a"] >= 3 && count["c"] == 3, "%v", count)
	assert.Equal(t, count["spare"], 0, "no machine goes to the spare pool while machines are scarce")
}

func TestIdleMachinesReturnToSparePool(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9}, 2)
	pool := tables.Pools["a"]
	pool.Lasting["i-m-a-00"] = 2
	tables.Pools["a"] = pool
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, opened["spare"], 3, "at most a third of all machines move at once")
	for _, action := range apmachine.Plan(tables) {
		if open, ok := action.(apmachine.Open); ok {
			assert.Assert(t, open.Disruption.Machine != "m-a-00", "a machine with long-running tasks must stay")
		}
	}
}

func TestFirstControllerWaitsBeforeMoving(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9}, 2)
	tables.Started = start.Add(-time.Second)
	tables.First = true
	assert.Equal(t, len(apmachine.Plan(tables)), 0)
}

// A controller that takes over during a peak of demand waits only for takeoverSettleTime before it moves machines.
func TestSuccessorMovesMachinesWithinASecond(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 9)
	pool := tables.Pools["a"]
	pool.Queued = 128_000
	tables.Pools["a"] = pool
	tables.Started = start.Add(-time.Second)
	carried, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, carried["a"], 5)
}

// A wave never has more than MaxCount machines down, even when it is late, and completes only when every machine
// still listed is back.
func TestWaveRespectsMaxCount(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 12, "b": 12}, 0)
	tables.Started = tables.Now
	wave := apmachine.Wave{Number: 1, MaxCount: 4, Duration: 20 * time.Second}
	for _, m := range tables.Machines {
		wave.Machines = append(wave.Machines, m.Name)
	}
	tables.Waves = []apmachine.Wave{wave}
	tables.Since[1] = start
	returnAt := make(map[apmachine.Name]time.Time)
	completed := false
	for step := 0; step < 2000 && !completed; step++ {
		tables.Now = tables.Now.Add(100 * time.Millisecond)
		tables.Started = tables.Now
		down := 0
		for i := range tables.Machines {
			m := &tables.Machines[i]
			if at, isAway := returnAt[m.Name]; isAway && tables.Now.After(at) {
				m.State, m.Worker = apmachine.StateUp, apjob.WorkerID(fmt.Sprintf("%s-%d", m.Name, step))
				delete(returnAt, m.Name)
			}
			if m.State != apmachine.StateUp {
				down++
			}
		}
		assert.Assert(t, down <= wave.MaxCount)
		for _, action := range apmachine.Plan(tables) {
			switch action := action.(type) {
			case apmachine.Open:
				d := action.Disruption
				d.Revision = 1
				tables.Disruptions[d.Machine] = d
				tables.Pools[d.Pool].Empty[d.Worker] = 1
			case apmachine.Carry:
				d := action.Disruption
				for i := range tables.Machines {
					if tables.Machines[i].Name == d.Machine {
						tables.Machines[i].State = apmachine.StateUpkeep
					}
				}
				finished := tables.Finished[1]
				finished.Machines = append(finished.Machines, d.Machine)
				tables.Finished[1] = finished
				delete(tables.Disruptions, d.Machine)
				returnAt[d.Machine] = tables.Now.Add(2 * time.Second)
			case apmachine.Complete:
				completed = true
			}
		}
	}
	assert.Assert(t, completed)
	assert.Equal(t, len(tables.Finished[1].Machines), len(wave.Machines))
	assert.Equal(t, len(returnAt), 0)
}

// A long-running task that no worker of the pool can run brings another machine to the pool.
func TestUnplacedTaskAddsMachine(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 2)
	pool := tables.Pools["a"]
	pool.Homeless = 1
	tables.Pools["a"] = pool
	carried, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, carried["a"], 1)
}

// While machines are scarce, a pool still gets the minimum that its long-running tasks require.
func TestScarcityKeepsWorkersOfLongRunningTasks(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 12, "b": 5}, 0)
	busy, wide := tables.Pools["a"], tables.Pools["b"]
	busy.Queued = 900_000
	wide.Widest, wide.Homeless = 5, 1
	tables.Pools["a"], tables.Pools["b"] = busy, wide
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, opened["b"], 1)
	assert.Equal(t, opened["a"], 0)
}

// A machine that moves to another pool after its upkeep does not delay the completion of its wave.
func TestWaveEndsWhileItsMachinesMove(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 0)
	tables.Waves = []apmachine.Wave{{Number: 1, MaxCount: 1, Duration: time.Minute, Machines: []apmachine.Name{"m-a-00", "m-a-01"}}}
	tables.Since[1] = start
	tables.Finished[1] = apmachine.Finished{Machines: []apmachine.Name{"m-a-00", "m-a-01"}}
	completed := func() bool {
		return slices.Contains(apmachine.Plan(tables), apmachine.Action(apmachine.Complete{Wave: 1}))
	}
	tables.Machines[0].State = apmachine.StateUpkeep
	assert.Assert(t, !completed(), "a machine is still down for its upkeep")
	tables.Machines[0].State = apmachine.StateMoving
	assert.Assert(t, completed())
}

// Pools get spare machines whose upkeep is done before others, and idle machines that await upkeep are the first to
// go to the spare pool, where their upkeep disturbs no tasks.
func TestMovesPreferUpkeepInTheSparePool(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9}, 2)
	tables.Waves = []apmachine.Wave{{Number: 1, MaxCount: 0, Duration: time.Minute, Machines: []apmachine.Name{"m-a-07", "m-spare-00"}}}
	tables.Since[1] = start
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Assert(t, opened["spare"] > 0)
	first := slices.IndexFunc(apmachine.Plan(tables), func(a apmachine.Action) bool {
		open, ok := a.(apmachine.Open)
		return ok && open.Disruption.Kind == apmachine.KindMove
	})
	assert.Equal(t, apmachine.Plan(tables)[first].(apmachine.Open).Disruption.Machine, apmachine.Name("m-a-07"))
	assert.DeepEqual(t, tables.AwaitingWorkers()["a"], []apjob.WorkerID{"i-m-a-07"})

	pool := tables.Pools["a"]
	pool.Queued = 160_000
	tables.Pools["a"] = pool
	for _, action := range apmachine.Plan(tables) {
		if carry, ok := action.(apmachine.Carry); ok {
			assert.Equal(t, carry.Disruption.Machine, apmachine.Name("m-spare-01"))
		}
	}
}

// Tasks that have to leave a machine for its upkeep, and may not run on the other workers because of their limit per
// worker, get another machine at once. Without it, one such task delayed a wave by twelve seconds.
func TestUpkeepAddsMachinesForLongRunningTasks(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 6}, 4)
	pool := tables.Pools["a"]
	pool.Widest = 6
	pool.Lasting["i-m-a-02"] = 1
	tables.Pools["a"] = pool
	for _, name := range []apmachine.Name{"m-a-00", "m-a-01"} {
		tables.Disruptions[name] = apmachine.Disruption{Machine: name, Worker: apjob.WorkerID("i-" + name), Pool: "a", Kind: apmachine.KindUpkeep, Wave: 1}
		delete(pool.Used, apjob.WorkerID("i-"+name))
	}
	carried, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, carried["a"], 2)
}

// At the start of a peak a queue grows by the work of 60 machines per second. Machines ordered for the present queue
// would come two seconds late, so they are ordered for the queue expected at their arrival.
func TestMachinesAreOrderedForForecastQueue(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 250)
	wanted := func(elapsed time.Duration, queued int64) int {
		tables.Now = start.Add(elapsed)
		pool := tables.Pools["a"]
		pool.Queued, pool.SeenAt = queued, tables.Now
		tables.Pools["a"] = pool
		apmachine.Plan(tables)
		return tables.Wants["a"].Machines
	}
	wanted(0, 0)
	now := wanted(300*time.Millisecond, 600_000)
	assert.Equal(t, now, 38, "a single jump may be one large job, so only the queued work counts, within half a second")
	assert.Equal(t, wanted(600*time.Millisecond, 1_200_000), 175, "1,200 core-seconds queued, and 2.2 s of growth by 2,000 core-seconds per second")
	tables.Now = start.Add(2 * time.Second)
	apmachine.Plan(tables)
	assert.Equal(t, tables.Wants["a"].Machines, 75, "an old trend is ignored")
}
