package apcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
)

const settingsText = `
[Nodes."/d"]
WaveParallel = 4
DrainTimeout = "10s"
[Nodes."/d/-/a"]
Size = 6
MinAvailable = 3
[Nodes."/d/-/a/alpha"]
[Nodes."/d/-/b"]
Size = 6
MinAvailable = 3
[Nodes."/d/-/b/beta"]
[Nodes."/d/-/spare"]
Size = 4
Spare = true
[Nodes."/d/-/spare/gamma"]
`

// TestEveryStepSurvivesControllerFailover guards against repeated or lost work after a failover. It replaces
// the controller before and after each step of a move, of a reboot and of a whole wave, delivers the crashed
// controller's last order late, and expects the same outcome as without a crash: no VM rebooted
// twice or owned by two pools, and no availability budget violated.
func TestEveryStepSurvivesControllerFailover(t *testing.T) {
	scenarios := []struct {
		name  string
		begin func(t *testing.T, sim *simulator)
		// boots is the expected number of boots in the whole fleet.
		boots int
		// moved means that vm-01 must end in pool b, instead of the pool it started in.
		moved bool
	}{
		{"Move", func(t *testing.T, sim *simulator) { sim.disrupt(t, "vm-01", apfleet.DisruptMove, "b") }, 1, true},
		{"Reboot", func(t *testing.T, sim *simulator) { sim.disrupt(t, "vm-01", apfleet.DisruptReboot, "") }, 1, false},
		{"Wave", func(_ *testing.T, sim *simulator) { sim.startWave() }, fleetSize, false},
	}
	for _, scenario := range scenarios {
		steps := 0
		for crashAt := 0; crashAt <= steps; crashAt++ {
			for _, before := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/%t", scenario.name, crashAt, before), func(t *testing.T) {
					sim := newSimulator(t)
					origin := sim.owner("vm-01")
					boots := sim.bootCount()
					scenario.begin(t, sim)
					sim.crashAt, sim.crashBefore, sim.executed = crashAt, before, 0
					sim.run(t, 600)
					assert.Equal(t, sim.bootCount()-boots, scenario.boots)
					assert.Equal(t, sim.disruptionCount(), 0)
					assert.Equal(t, sim.owner("vm-01") == "b", scenario.moved || origin == "b")
					if crashAt == 0 {
						steps = sim.executed
					}
				})
			}
		}
	}
}

func TestBudgetHoldsWhenRackFailsDuringWave(t *testing.T) {
	for failAt := range 40 {
		sim := newSimulator(t)
		sim.startWave()
		for tick := range 400 {
			if tick == failAt {
				sim.failRack("rack-1")
			}
			sim.tick(t)
		}
		assert.Equal(t, sim.budgetViolations, 0, "rack failed at tick %d", failAt)
	}
}

func TestWaveRebootsEachVMOnce(t *testing.T) {
	sim := newSimulator(t)
	before := sim.generations()
	sim.startWave()
	sim.run(t, 600)
	assert.Assert(t, !sim.tables.Wave.Wave.Ended.IsZero())
	for id, generation := range sim.generations() {
		assert.Equal(t, generation, before[id]+1, "%s", id)
	}
	assert.Equal(t, sim.moves, 0)
}

func TestDisruptionWaitsForEveryRegisteredEntry(t *testing.T) {
	sim := newSimulator(t)
	sim.silentEntry = "entry-2"
	sim.disrupt(t, "vm-01", apfleet.DisruptReboot, "")
	boots := sim.bootCount()
	for range 40 {
		sim.tick(t)
	}
	assert.Equal(t, sim.bootCount(), boots, "the VM rebooted although an entry did not confirm the drain")
	for range 40 {
		sim.tick(t)
	}
	assert.Equal(t, sim.disruptionCount(), 0, "the drain was not rolled back at its deadline")
	assert.Equal(t, sim.bootCount(), boots)
}

func TestFrozenControllerOpensNoDisruptions(t *testing.T) {
	sim := newSimulator(t)
	sim.startWave()
	sim.tables.Frozen = true
	for range 50 {
		sim.tick(t)
	}
	assert.Equal(t, sim.disruptionCount(), 0)
}

func TestPlanDisruptionErrorCodes(t *testing.T) {
	sim := newSimulator(t)
	code := func(id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) apcode.Code {
		_, err := apcontrol.PlanDisruption(sim.tables, id, kind, target)
		return apcode.Of(err)
	}
	assert.Equal(t, code("nothing", apfleet.DisruptDrain, ""), apcode.NoSuchVM)
	assert.Equal(t, code("vm-01", apfleet.DisruptMove, "nowhere"), apcode.NoSuchPool)
	pool := sim.owner("vm-01")
	assert.Equal(t, code("vm-01", apfleet.DisruptMove, pool), apcode.BadValue)
	sim.disrupt(t, "vm-01", apfleet.DisruptDrain, "")
	assert.Equal(t, code("vm-01", apfleet.DisruptDrain, ""), apcode.VMDisrupted)
	refused := 0
	for id := range sim.vms {
		if sim.owner(id) != pool || id == "vm-01" {
			continue
		}
		plan, err := apcontrol.PlanDisruption(sim.tables, id, apfleet.DisruptDrain, "")
		if err != nil {
			assert.Assert(t, apcode.Is(err, apcode.BudgetExceeded))
			refused++
			continue
		}
		sim.openDisruptions(plan)
	}
	assert.Assert(t, refused > 0)
}

func TestAssignSpreadsPoolsOverRacks(t *testing.T) {
	sim := newSimulator(t)
	perRack := make(map[string]int)
	for id, vm := range sim.vms {
		perRack[string(sim.owner(id))+"/"+string(vm.Rack)]++
	}
	for place, count := range perRack {
		assert.Assert(t, count <= 2, "%d VMs in the same pool and rack %s", count, place)
	}
}

func TestDeadEntryIsUnregistered(t *testing.T) {
	sim := newSimulator(t)
	control := apcontrol.New()
	sim.tables.Entries[1].State = apmesh.MemberDead
	var found bool
	for range 20 {
		sim.tables.Now = sim.tables.Now.Add(time.Second)
		for _, intent := range control.Step(sim.tables) {
			if unregister, ok := intent.(apcontrol.Unregister); ok {
				assert.Equal(t, unregister.Member.Name, apfleet.EntryName("entry-2"))
				found = true
			}
		}
	}
	assert.Assert(t, found)
}

func mustSettings(t *testing.T) apsettings.Tree {
	t.Helper()
	tree, err := apsettings.Parse("test", []byte(settingsText))
	assert.NilError(t, err)
	return tree
}
