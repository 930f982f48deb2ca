package apcontrol_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apstore"
)

const (
	fleetSize  = 16
	tickLength = 200 * time.Millisecond
	bootTicks  = 5
)

// simulator runs a controller against a simulated platform and store that carry out its intents.
type simulator struct {
	tables  *apcontrol.Tables
	control *apcontrol.Control
	vms     map[apfleet.VMID]*simulatedVM
	vmIDs   []apfleet.VMID

	// crashAt is the number of the intent at which the controller crashes: before the intent is carried out if
	// crashBefore is set, after it otherwise.
	crashAt     int
	crashBefore bool
	// executed counts the intents carried out.
	executed int
	// lateOrder is the last order of the crashed controller, which arrives late, at the end.
	lateOrder *apcontrol.PlatformOrder
	// silentEntry is an entry that confirms no drains.
	silentEntry apfleet.EntryName
	// budgetViolations counts the ticks in which a pool had fewer VMs than MinAvailable, once per pool.
	budgetViolations int
	moves            int
}

// simulatedVM is a VM with the platform's record of the orders it has carried out.
type simulatedVM struct {
	apfleet.VM
	lastNumber    uint64
	lastRestart   uint64
	bootTicksLeft int
}

// newSimulator returns a simulator whose VMs have all been assigned and started.
func newSimulator(t *testing.T) *simulator {
	t.Helper()
	sim := &simulator{
		control: apcontrol.New(apcontrol.WithPolicy(apcontrol.Static{})),
		vms:     make(map[apfleet.VMID]*simulatedVM),
		crashAt: -1,
		tables: &apcontrol.Tables{
			Now: time.Unix(1_000_000, 0), Deployment: "d", Settings: mustSettings(t), Revision: 10, Epoch: 1,
			Owners: make(apcontrol.OwnersTable), Disruptions: make(apcontrol.DisruptionsTable),
		},
	}
	for i := range fleetSize {
		id := apfleet.VMID(fmt.Sprintf("vm-%02d", i+1))
		sim.vmIDs = append(sim.vmIDs, id)
		sim.vms[id] = &simulatedVM{VM: apfleet.VM{
			ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc", State: apfleet.VMLive,
			Rack: apfleet.Rack(fmt.Sprintf("rack-%d", i/4+1)), Generation: 1,
		}}
	}
	for i := range 3 {
		entry := apfleet.Registration{Name: apfleet.EntryName(fmt.Sprintf("entry-%d", i+1)), Incarnation: 1}
		sim.tables.Registry.Entries = append(sim.tables.Registry.Entries, entry)
		sim.tables.Entries = append(sim.tables.Entries, apmesh.Member{Registration: entry})
	}
	for range 30 {
		sim.tick(t)
	}
	for _, vm := range sim.vms {
		assert.Assert(t, vm.Service != "" && vm.State == apfleet.VMLive, "%s was not started", vm.ID)
	}
	sim.budgetViolations = 0
	return sim
}

// run ticks until no disruption is open and no wave is active, at most limit times. Then it delivers the late
// order and ticks for a further two boot times.
func (sim *simulator) run(t *testing.T, limit int) {
	t.Helper()
	for range limit {
		sim.tick(t)
		if sim.disruptionCount() == 0 && !sim.tables.Wave.Wave.Active() {
			break
		}
	}
	if sim.lateOrder != nil {
		_ = sim.executeOrder(*sim.lateOrder)
	}
	for range 2 * bootTicks {
		sim.tick(t)
	}
	assert.Equal(t, sim.budgetViolations, 0)
}

// tick advances boots and the entries' reports, runs the controller once and carries out its intents.
func (sim *simulator) tick(t *testing.T) {
	t.Helper()
	sim.tables.Now = sim.tables.Now.Add(tickLength)
	sim.advanceBoots()
	sim.tables.VMs = sim.tables.VMs[:0]
	for _, id := range sim.vmIDs {
		sim.tables.VMs = append(sim.tables.VMs, sim.vms[id].VM)
	}
	sim.reportDrains()
	sim.checkBudgets()
	for _, intent := range sim.control.Step(sim.tables) {
		if sim.executed == sim.crashAt {
			sim.crashController(t, intent)
			return
		}
		sim.executed++
		sim.execute(t, intent)
	}
}

// crashController replaces the controller by a new one. The pending intent is carried out first unless
// crashBefore is set; if it is an order, it becomes the late order.
func (sim *simulator) crashController(t *testing.T, intent apcontrol.Intent) {
	t.Helper()
	sim.crashAt = -1
	if !sim.crashBefore {
		sim.execute(t, intent)
	}
	if order, ok := intent.(apcontrol.PlatformOrder); ok {
		sim.lateOrder = &order
	}
	sim.control = apcontrol.New(apcontrol.WithPolicy(apcontrol.Static{}))
	sim.tables.Epoch++
}

func (sim *simulator) advanceBoots() {
	for _, vm := range sim.vms {
		if vm.bootTicksLeft == 0 {
			continue
		}
		vm.bootTicksLeft--
		if vm.bootTicksLeft == 0 {
			vm.State = apfleet.VMLive
			vm.Generation++
		}
	}
}

// reportDrains lets every entry but the silent one confirm the disruptions that were open after the previous
// tick.
func (sim *simulator) reportDrains() {
	for i := range sim.tables.Entries {
		entry := &sim.tables.Entries[i]
		entry.Report.Drains = nil
		if entry.Name == sim.silentEntry {
			continue
		}
		for _, table := range sim.tables.Disruptions {
			for _, row := range table.Rows {
				entry.Report.Drains = append(entry.Report.Drains, apmesh.DrainReport{VM: row.VM, Operation: row.Operation})
			}
		}
	}
}

// checkBudgets counts a violation for each pool that has fewer than MinAvailable VMs serving.
func (sim *simulator) checkBudgets() {
	for _, pool := range apcontrol.Summarise(sim.tables) {
		serving := 0
		for id, vm := range sim.vms {
			if sim.owner(id) == pool.Pool && vm.State == apfleet.VMLive && vm.Service == pool.Service {
				serving++
			}
		}
		if serving < pool.MinAvailable {
			sim.budgetViolations++
		}
	}
}

func (sim *simulator) execute(t *testing.T, intent apcontrol.Intent) {
	t.Helper()
	if _, isOrder := intent.(apcontrol.PlatformOrder); !isOrder {
		sim.tables.Revision++
	}
	switch i := intent.(type) {
	case apcontrol.AssignOwners:
		table := make(apfleet.OwnerTable)
		for id, pool := range sim.tables.Owners[i.DataCentre].Table {
			table[id] = pool
		}
		for id, pool := range i.Owners {
			table[id] = pool
		}
		sim.tables.Owners[i.DataCentre] = apcontrol.OwnersRow{Revision: sim.tables.Revision, Table: table}
	case apcontrol.SwapOwner:
		assert.Equal(t, sim.owner(i.VM), i.From)
		sim.tables.Owners[i.DataCentre].Table[i.VM] = i.To
		sim.moves++
	case apcontrol.OpenDisruptions:
		if sim.tables.Disruptions[i.Pool].Revision == i.Revision {
			sim.openDisruptions(i)
		}
	case apcontrol.CloseDisruption:
		rows := apfleet.Disruptions{Rows: sim.tables.Disruptions[i.Pool].Rows}.Without(i.VM).Rows
		sim.tables.Disruptions[i.Pool] = apcontrol.DisruptionsRow{Revision: sim.tables.Revision, Rows: rows}
	case apcontrol.PlatformOrder:
		_ = sim.executeOrder(i)
	case apcontrol.PauseWave:
		sim.tables.Wave.Wave.Paused = true
	case apcontrol.EndWave:
		sim.tables.Wave.Wave.Ended = sim.tables.Now
	default:
		t.Fatalf("unexpected intent %T", intent)
	}
}

func (sim *simulator) openDisruptions(intent apcontrol.OpenDisruptions) {
	sim.tables.Revision++
	rows := append([]apfleet.Disruption(nil), sim.tables.Disruptions[intent.Pool].Rows...)
	sim.tables.Disruptions[intent.Pool] = apcontrol.DisruptionsRow{Revision: sim.tables.Revision, Rows: append(rows, intent.Rows...)}
}

// executeOrder acts on an order as the platform does: it refuses an order whose number is lower than that of
// the VM's last order, and carries out the same restart only once.
func (sim *simulator) executeOrder(order apcontrol.PlatformOrder) error {
	vm := sim.vms[order.VM]
	if order.Number < vm.lastNumber {
		return fmt.Errorf("the order is older than the last one carried out")
	}
	vm.lastNumber = order.Number
	switch order.Order {
	case apcontrol.OrderDrain:
		if vm.State == apfleet.VMLive {
			vm.State = apfleet.VMLeaving
		}
	case apcontrol.OrderReturn:
		if vm.State == apfleet.VMLeaving {
			vm.State = apfleet.VMLive
		}
	case apcontrol.OrderRestart:
		if vm.lastRestart != order.Number {
			vm.lastRestart = order.Number
			vm.State, vm.Service, vm.bootTicksLeft = apfleet.VMStarting, order.Service, bootTicks
		}
	}
	return nil
}

// disrupt opens a disruption as an operator does. A VM that already belongs to the target pool is first put
// into pool a.
func (sim *simulator) disrupt(t *testing.T, id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) {
	t.Helper()
	if target != "" && sim.owner(id) == target {
		sim.tables.Owners["dc"].Table[id] = "a"
		sim.vms[id].Service = "alpha"
	}
	plan, err := apcontrol.PlanDisruption(sim.tables, id, kind, target)
	assert.NilError(t, err)
	sim.openDisruptions(plan)
}

func (sim *simulator) startWave() {
	sim.tables.Wave = apcontrol.WaveRow{Revision: apstore.Revision(1), Wave: apfleet.Wave{Name: "wave", Started: sim.tables.Now, Generations: sim.generations()}}
}

func (sim *simulator) failRack(rack apfleet.Rack) {
	for _, vm := range sim.vms {
		if vm.Rack == rack {
			vm.State, vm.bootTicksLeft = apfleet.VMDown, 0
		}
	}
}

func (sim *simulator) owner(id apfleet.VMID) apfleet.PoolName {
	return sim.tables.Owners["dc"].Table[id]
}

func (sim *simulator) generations() apfleet.GenerationTable {
	table := make(apfleet.GenerationTable)
	for id, vm := range sim.vms {
		table[id] = vm.Generation
	}
	return table
}

func (sim *simulator) bootCount() int {
	total := 0
	for _, vm := range sim.vms {
		total += int(vm.Generation)
	}
	return total
}

func (sim *simulator) disruptionCount() int {
	total := 0
	for _, table := range sim.tables.Disruptions {
		total += len(table.Rows)
	}
	return total
}
