package apmachine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

// The settings no longer name the pool, whose last report stays in the store and asks for machines.
func TestNoMachineMovesToARemovedPool(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 1, "b": 3}, 10)
	delete(tables.InForce, "a")
	pool := tables.Pools["a"]
	pool.QueuedWork, pool.Unplaced = 128_000, 3
	tables.Pools["a"] = pool
	for range 20 {
		executed, opened := movesByTarget(apmachine.Plan(tables))
		assert.Equal(t, executed["a"]+opened["a"], 0)
		tables.Now = tables.Now.Add(time.Second)
	}
}

// A machine was being emptied for a pool when the settings removed that pool.
func TestMoveUnderWayEndsWhenItsTargetIsRemoved(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9, "b": 3}, 0)
	d := apmachine.Disruption{Machine: "m-a-00", Worker: "i-m-a-00", Pool: "a", Kind: apmachine.KindMove, Target: "b", Revision: 7}
	tables.Disruptions[d.Machine] = d
	tables.Pools["a"].Empty[d.Worker] = apstore.Revision(7)
	executed, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["b"], 1, "the target is in force")
	delete(tables.InForce, "b")
	actions := apmachine.Plan(tables)
	executed, _ = movesByTarget(actions)
	assert.Equal(t, executed["b"], 0)
	assert.Equal(t, actions[0], apmachine.Action(apmachine.CloseDisruption{Machine: d.Machine, Reason: "TargetNotInForce"}))
}

// The pool can't get machines back, and its jobs may have steps to come that need more of them than those that run.
func TestRemovedPoolKeepsItsMachinesWhileItHasJobs(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9, "b": 3}, 3)
	delete(tables.InForce, "a")
	d := apmachine.Disruption{Machine: "m-a-00", Worker: "i-m-a-00", Pool: "a", Kind: apmachine.KindMove, Target: "b"}
	tables.Disruptions[d.Machine] = d
	former, busy := tables.Pools["a"], tables.Pools["b"]
	former.HasJobs, busy.QueuedWork = true, 900_000
	tables.Pools["a"], tables.Pools["b"] = former, busy
	actions := apmachine.Plan(tables)
	assert.Equal(t, actions[0], apmachine.Action(apmachine.CloseDisruption{Machine: d.Machine, Reason: "PoolNotInForce"}))
	delete(tables.Disruptions, d.Machine)
	for range 40 {
		tables.Now = tables.Now.Add(time.Second)
		_, opened := movesByTarget(apmachine.Plan(tables))
		assert.Equal(t, len(opened), 0)
	}

	former.HasJobs = false
	tables.Pools["a"] = former
	tables.Now = tables.Now.Add(29 * time.Second)
	_, opened := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, len(opened), 0, "entries with older settings still accept jobs")
	tables.Now = tables.Now.Add(time.Second)
	_, opened = movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, opened["b"], 5, "at most a third of all machines move at once")
}

// The jobs were accepted before the service became the spare pool, and run on its workers.
func TestMachinesOfANewSparePoolAreEmptiedWhileItHasJobs(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 9, "b": 3}, 0)
	delete(tables.InForce, "a")
	tables.SparePool = "a"
	former, busy := tables.Pools["a"], tables.Pools["b"]
	former.HasJobs, busy.QueuedWork = true, 900_000
	former.ReservedCPU["i-m-a-03"] = 4000
	tables.Pools["a"], tables.Pools["b"] = former, busy
	tables.Waves = []apmachine.Wave{{Number: 1, MaxCount: 9, Duration: time.Second, Machines: []apmachine.Name{"m-a-02", "m-a-03", "m-a-04"}}}
	tables.WaveFirstSeen[1] = start.Add(-time.Minute)
	var upkeep []apmachine.Disruption
	for _, action := range apmachine.Plan(tables) {
		switch action := action.(type) {
		case apmachine.ExecuteDisruption:
			t.Fatalf("%s is ordered although its worker may run tasks", action.Disruption.Machine)
		case apmachine.OpenDisruption:
			upkeep = append(upkeep, action.Disruption)
		}
	}
	assert.Equal(t, len(upkeep), 2, "a quarter of a pool that runs tasks is emptied at once")
	for i, d := range upkeep {
		d.Revision = apstore.Revision(i + 1)
		tables.Disruptions[d.Machine] = d
	}
	tables.Pools["a"].Empty[upkeep[0].Worker] = 1
	actions := apmachine.Plan(tables)
	assert.Equal(t, actions[0], apmachine.Action(apmachine.ExecuteDisruption{Disruption: tables.Disruptions[upkeep[0].Machine]}))
	executed, _ := movesByTarget(actions)
	assert.Equal(t, executed["b"], 0)

	former.HasJobs = false
	tables.Pools["a"] = former
	executed, _ = movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["b"], 6, "all machines but the three of the wave are spare now")
}

// The pool's machines have gone, and its last report is from before it was removed.
func TestPoolThatReturnsGetsMachinesAgain(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 0, "b": 3}, 10)
	delete(tables.InForce, "a")
	for range 40 {
		executed, _ := movesByTarget(apmachine.Plan(tables))
		assert.Equal(t, executed["a"], 0)
		tables.Now = tables.Now.Add(time.Second)
	}
	tables.InForce["a"] = true
	executed, _ := movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, executed["a"], 3)
}
