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

// TestEveryStepSurvivesTheDeathOfTheHolder replaces the holder at each step of a move, of a reboot and
// of a whole wave, lets the dead holder's last order arrive again later, and checks that all ends as it
// would have: nothing twice, budgets held, no VM in two pools.
func TestEveryStepSurvivesTheDeathOfTheHolder(t *testing.T) {
	scenarios := []struct {
		name  string
		begin func(t *testing.T, w *world)
		// boots is how often the whole fleet boots in the end.
		boots int
		moved bool
	}{
		{"Move", func(t *testing.T, w *world) { w.operator(t, "vm-01", apfleet.DisruptMove, "b") }, 1, true},
		{"Reboot", func(t *testing.T, w *world) { w.operator(t, "vm-01", apfleet.DisruptReboot, "") }, 1, false},
		{"Wave", func(_ *testing.T, w *world) { w.startWave() }, fleetSize, false},
	}
	for _, s := range scenarios {
		steps := 0
		for kill := 0; kill <= steps; kill++ {
			for _, before := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/%t", s.name, kill, before), func(t *testing.T) {
					w := newWorld(t)
					origin := w.owner("vm-01")
					boots := w.boots()
					s.begin(t, w)
					w.killAt, w.killBefore, w.executed = kill, before, 0
					w.run(t, 600)
					assert.Equal(t, w.boots()-boots, s.boots)
					assert.Equal(t, w.rows(), 0)
					assert.Equal(t, w.owner("vm-01") == "b", s.moved || origin == "b")
					if kill == 0 {
						steps = w.executed
					}
				})
			}
		}
	}
}

func TestBudgetHoldsWhenARackFailsInTheWave(t *testing.T) {
	for failAt := range 40 {
		w := newWorld(t)
		w.startWave()
		for tick := range 400 {
			if tick == failAt {
				w.fail("rack-1")
			}
			w.tick(t)
		}
		assert.Equal(t, w.breaches, 0, "rack fails at tick %d", failAt)
	}
}

func TestWaveEndsAndRebootsEachVMOnce(t *testing.T) {
	w := newWorld(t)
	before := w.generations()
	w.startWave()
	w.run(t, 600)
	assert.Assert(t, !w.tables.Wave.Wave.Ended.IsZero())
	for id, generation := range w.generations() {
		assert.Equal(t, generation, before[id]+1, "%s", id)
	}
	assert.Equal(t, w.moves, 0)
}

func TestPlannedStopWaitsForEveryRegisteredEntry(t *testing.T) {
	w := newWorld(t)
	w.mute = "entry-2"
	w.operator(t, "vm-01", apfleet.DisruptReboot, "")
	boots := w.boots()
	for range 40 {
		w.tick(t)
	}
	assert.Equal(t, w.boots(), boots, "rebooted although an entry did not confirm the drain")
	for range 40 {
		w.tick(t)
	}
	assert.Equal(t, w.rows(), 0, "the drain was not rolled back at its deadline")
	assert.Equal(t, w.boots(), boots)
}

func TestFrozenControlStartsNothing(t *testing.T) {
	w := newWorld(t)
	w.startWave()
	w.tables.Frozen = true
	for range 50 {
		w.tick(t)
	}
	assert.Equal(t, w.rows(), 0)
}

func TestOperatorIsToldWhy(t *testing.T) {
	w := newWorld(t)
	code := func(id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) apcode.Code {
		_, err := apcontrol.PlanDisruption(w.tables, id, kind, target)
		return apcode.Of(err)
	}
	assert.Equal(t, code("nothing", apfleet.DisruptDrain, ""), apcode.NoSuchVM)
	assert.Equal(t, code("vm-01", apfleet.DisruptMove, "nowhere"), apcode.NoSuchPool)
	pool := w.owner("vm-01")
	assert.Equal(t, code("vm-01", apfleet.DisruptMove, pool), apcode.BadValue)
	w.operator(t, "vm-01", apfleet.DisruptDrain, "")
	assert.Equal(t, code("vm-01", apfleet.DisruptDrain, ""), apcode.VMDisrupted)
	refused := 0
	for id := range w.machines {
		if w.owner(id) != pool || id == "vm-01" {
			continue
		}
		plan, err := apcontrol.PlanDisruption(w.tables, id, apfleet.DisruptDrain, "")
		if err != nil {
			assert.Assert(t, apcode.Is(err, apcode.BudgetExceeded))
			refused++
			continue
		}
		w.open(plan)
	}
	assert.Assert(t, refused > 0)
}

func TestAssignSpreadsPoolsOverRacks(t *testing.T) {
	w := newWorld(t)
	perRack := make(map[string]int)
	for id, vm := range w.machines {
		perRack[string(w.owner(id))+"/"+string(vm.Rack)]++
	}
	for place, count := range perRack {
		assert.Assert(t, count <= 2, "%d VMs at %s", count, place)
	}
}

func TestEntryThatIsDeadIsUnregistered(t *testing.T) {
	w := newWorld(t)
	control := apcontrol.New()
	w.tables.Entries[1].State = apmesh.MemberDead
	var found bool
	for range 20 {
		w.tables.Now = w.tables.Now.Add(time.Second)
		for _, intent := range control.Step(w.tables) {
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
