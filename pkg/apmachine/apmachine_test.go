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
		Now: start, Started: start.Add(-time.Minute), SparePool: "spare", InForce: map[apfleet.ServiceName]bool{},
		WaveFirstSeen: map[int]time.Time{}, Progress: map[int]apmachine.WaveProgress{},
		Disruptions: map[apmachine.Name]apmachine.Disruption{}, Pools: map[apfleet.ServiceName]apmachine.PoolReport{},
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
				tables.Pools[pool].ReservedCPU[m.Worker] = 0
			}
			tables.Machines = append(tables.Machines, m)
		}
	}
	for _, name := range []apfleet.ServiceName{"a", "b", "c"} {
		if n, ok := pools[name]; ok {
			tables.InForce[name] = true
			tables.Pools[name] = apmachine.PoolReport{ReservedCPU: map[apjob.WorkerID]int64{}, LongRunning: map[apjob.WorkerID]int{}, Empty: map[apjob.WorkerID]apstore.Revision{}}
			add(name, n)
		}
	}
	add("spare", spare)
	return tables
}

// movesByTarget counts, by target pool, the orders given at once and the disruptions opened.
func movesByTarget(actions []apmachine.Action) (executed, opened map[apfleet.ServiceName]int) {
	executed, opened = map[apfleet.ServiceName]int{}, map[apfleet.ServiceName]int{}
	for _, action := range actions {
		switch action := action.(type) {
		case apmachine.ExecuteDisruption:
			executed[action.Disruption.Target]++
		case apmachine.OpenDisruption:
			opened[action.Disruption.Target]++
		}
	}
	return executed, opened
}

// completeMove puts a machine into the target pool of its move.
func completeMove(tables *apmachine.Tables, d apmachine.Disruption) {
	for i := range tables.Machines {
		m := &tables.Machines[i]
		if m.Name != d.Machine {
			continue
		}
		delete(tables.Pools[m.Pool].ReservedCPU, m.Worker)
		m.Pool = d.Target
		if d.Target != tables.SparePool {
			tables.Pools[d.Target].ReservedCPU[m.Worker] = 0
		}
	}
}

func TestPoolGrowsFromTheSparePool(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3, "b": 3}, 10)
	pool := tables.Pools["a"]
	pool.QueuedWork = 128_000
	tables.Pools["a"] = pool
	executed, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["a"], 5, "128 core-seconds within half a second need 8 machines")
	assert.Equal(t, executed["b"], 0)
	assert.Equal(t, len(opened), 0)
}

func TestScarceMachinesAreSharedByNeed(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 20, "b": 3, "c": 3}, 0)
	for name, queued := range map[apfleet.ServiceName]int64{"a": 200_000, "b": 600_000} {
		pool := tables.Pools[name]
		pool.QueuedWork = queued
		tables.Pools[name] = pool
	}
	for range 4 {
		for _, action := range apmachine.Plan(tables) {
			if open, ok := action.(apmachine.OpenDisruption); ok {
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
	pool.LongRunning["i-m-a-00"] = 2
	tables.Pools["a"] = pool
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, opened["spare"], 3, "at most a third of all machines move at once")
	for _, action := range apmachine.Plan(tables) {
		if open, ok := action.(apmachine.OpenDisruption); ok {
			assert.Assert(t, open.Disruption.Machine != "m-a-00", "a machine with long-running tasks must stay")
		}
	}
}

func TestFirstControllerWaitsBeforeMoving(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9}, 2)
	tables.Started = start.Add(-time.Second)
	tables.FirstController = true
	assert.Equal(t, len(apmachine.Plan(tables)), 0)
}

// A controller that takes over during a peak of demand waits only for takeoverSettleTime before it moves machines.
func TestSuccessorMovesMachinesWithinASecond(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 9)
	pool := tables.Pools["a"]
	pool.QueuedWork = 128_000
	tables.Pools["a"] = pool
	tables.Started = start.Add(-time.Second)
	executed, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["a"], 5)
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
	tables.WaveFirstSeen[1] = start
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
			case apmachine.OpenDisruption:
				d := action.Disruption
				d.Revision = 1
				tables.Disruptions[d.Machine] = d
				tables.Pools[d.Pool].Empty[d.Worker] = 1
			case apmachine.ExecuteDisruption:
				d := action.Disruption
				for i := range tables.Machines {
					if tables.Machines[i].Name == d.Machine {
						tables.Machines[i].State = apmachine.StateUpkeep
					}
				}
				progress := tables.Progress[1]
				progress.Machines = append(progress.Machines, d.Machine)
				tables.Progress[1] = progress
				delete(tables.Disruptions, d.Machine)
				returnAt[d.Machine] = tables.Now.Add(2 * time.Second)
			case apmachine.CompleteWave:
				completed = true
			}
		}
	}
	assert.Assert(t, completed)
	assert.Equal(t, len(tables.Progress[1].Machines), len(wave.Machines))
	assert.Equal(t, len(returnAt), 0)
}

// A long-running task that no worker of the pool can run brings another machine to the pool.
func TestUnplacedTaskAddsMachine(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 2)
	pool := tables.Pools["a"]
	pool.Unplaced = 1
	tables.Pools["a"] = pool
	executed, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["a"], 1)
}

// While machines are scarce, a pool still gets the minimum that its long-running tasks require.
func TestScarcityKeepsWorkersOfLongRunningTasks(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 12, "b": 5}, 0)
	busy, wide := tables.Pools["a"], tables.Pools["b"]
	busy.QueuedWork = 900_000
	wide.WidestStep, wide.Unplaced = 5, 1
	tables.Pools["a"], tables.Pools["b"] = busy, wide
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, opened["b"], 1)
	assert.Equal(t, opened["a"], 0)
}

// A machine that moves to another pool after its upkeep does not delay the completion of its wave.
func TestWaveEndsWhileItsMachinesMove(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 0)
	tables.Waves = []apmachine.Wave{{Number: 1, MaxCount: 1, Duration: time.Minute, Machines: []apmachine.Name{"m-a-00", "m-a-01"}}}
	tables.WaveFirstSeen[1] = start
	tables.Progress[1] = apmachine.WaveProgress{Machines: []apmachine.Name{"m-a-00", "m-a-01"}}
	completed := func() bool {
		return slices.Contains(apmachine.Plan(tables), apmachine.Action(apmachine.CompleteWave{Wave: 1}))
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
	tables.WaveFirstSeen[1] = start
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Assert(t, opened["spare"] > 0)
	first := slices.IndexFunc(apmachine.Plan(tables), func(a apmachine.Action) bool {
		open, ok := a.(apmachine.OpenDisruption)
		return ok && open.Disruption.Kind == apmachine.KindMove
	})
	assert.Equal(t, apmachine.Plan(tables)[first].(apmachine.OpenDisruption).Disruption.Machine, apmachine.Name("m-a-07"))
	assert.DeepEqual(t, tables.AwaitingWorkers()["a"], []apjob.WorkerID{"i-m-a-07"})

	pool := tables.Pools["a"]
	pool.QueuedWork = 160_000
	tables.Pools["a"] = pool
	for _, action := range apmachine.Plan(tables) {
		if execute, ok := action.(apmachine.ExecuteDisruption); ok {
			assert.Equal(t, execute.Disruption.Machine, apmachine.Name("m-spare-01"))
		}
	}
}

// Tasks that have to leave a machine for its upkeep, and may not run on the other workers because of their limit per
// worker, get another machine at once. Otherwise one such task would delay
// the wave.
func TestUpkeepAddsMachinesForLongRunningTasks(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 6}, 4)
	pool := tables.Pools["a"]
	pool.WidestStep = 6
	pool.LongRunning["i-m-a-02"] = 1
	tables.Pools["a"] = pool
	for _, name := range []apmachine.Name{"m-a-00", "m-a-01"} {
		tables.Disruptions[name] = apmachine.Disruption{Machine: name, Worker: apjob.WorkerID("i-" + name), Pool: "a", Kind: apmachine.KindUpkeep, Wave: 1}
		delete(pool.ReservedCPU, apjob.WorkerID("i-"+name))
	}
	executed, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["a"], 2)
}

// At the start of a peak a queue grows by the work of 60 machines per second. Machines ordered for the present queue
// would come two seconds late, so they are ordered for the queue expected at their arrival.
func TestMachinesAreOrderedForForecastQueue(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3}, 250)
	targetSize := func(elapsed time.Duration, queued int64) int {
		tables.Now = start.Add(elapsed)
		pool := tables.Pools["a"]
		pool.QueuedWork, pool.ReceivedAt = queued, tables.Now
		tables.Pools["a"] = pool
		apmachine.Plan(tables)
		return tables.TargetSizes["a"].Machines
	}
	targetSize(0, 0)
	now := targetSize(300*time.Millisecond, 600_000)
	assert.Equal(t, now, 38, "a single jump may be one large job, so only the queued work counts, within half a second")
	assert.Equal(t, targetSize(600*time.Millisecond, 1_200_000), 175, "1,200 core-seconds queued, and 2.2 s of growth by 2,000 core-seconds per second")
	tables.Now = start.Add(2 * time.Second)
	apmachine.Plan(tables)
	assert.Equal(t, tables.TargetSizes["a"].Machines, 75, "an old trend is ignored")
}

// A machine gets at most one action in a plan: a wave and a pool that shrinks must not open the same machine, and an
// idle spare machine must not get an upkeep and a move.
func TestPlanDisruptsAMachineOnce(t *testing.T) {
	for second := range 15 {
		tables := newTables(map[apfleet.ServiceName]int{"a": 12, "b": 12}, 6)
		queued := tables.Pools["b"]
		queued.QueuedWork = 200_000
		tables.Pools["b"] = queued
		wave := apmachine.Wave{Number: 1, MaxCount: 12, Duration: 30 * time.Second}
		for _, m := range tables.Machines {
			wave.Machines = append(wave.Machines, m.Name)
		}
		tables.Waves = []apmachine.Wave{wave}
		tables.WaveFirstSeen[1] = start.Add(-time.Duration(second) * time.Second)
		disrupted := make(map[apmachine.Name]int)
		for _, action := range apmachine.Plan(tables) {
			switch action := action.(type) {
			case apmachine.OpenDisruption:
				disrupted[action.Disruption.Machine]++
			case apmachine.ExecuteDisruption:
				disrupted[action.Disruption.Machine]++
			}
		}
		for name, n := range disrupted {
			assert.Equal(t, n, 1, "%s after %d s of the wave", name, second)
		}
		assert.Equal(t, len(tables.Disruptions), 0, "a plan must leave the stored disruptions as they are")
	}
}

func TestMachineDoneInOneWaveStillAwaitsUpkeepInAnother(t *testing.T) {
	for _, done := range []int{1, 2} {
		tables := newTables(map[apfleet.ServiceName]int{"a": 4}, 0)
		for number := 1; number <= 2; number++ {
			tables.Waves = append(tables.Waves, apmachine.Wave{Number: number, Duration: time.Minute, Machines: []apmachine.Name{"m-a-01", "m-a-02"}})
			tables.WaveFirstSeen[number] = start
		}
		tables.Progress[done] = apmachine.WaveProgress{Machines: []apmachine.Name{"m-a-01"}}
		apmachine.Plan(tables)
		assert.DeepEqual(t, tables.AwaitingWorkers()["a"], []apjob.WorkerID{"i-m-a-01", "i-m-a-02"})

		tables.Progress[3-done] = apmachine.WaveProgress{Machines: []apmachine.Name{"m-a-01"}}
		apmachine.Plan(tables)
		assert.DeepEqual(t, tables.AwaitingWorkers()["a"], []apjob.WorkerID{"i-m-a-02"})
	}
}
