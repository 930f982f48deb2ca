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

// world is a small platform and store that carries intents out.
type world struct {
	tables   *apcontrol.Tables
	control  *apcontrol.Control
	machines map[apfleet.VMID]*machine
	order    []apfleet.VMID

	// killAt is the number of the intent at which the holder dies, before or after it is carried out.
	killAt     int
	killBefore bool
	executed   int
	// last is the dead holder's last order, which arrives again later.
	last *apcontrol.PlatformOrder
	// mute is an entry that confirms nothing.
	mute     apfleet.EntryName
	breaches int
	moves    int
}

type machine struct {
	apfleet.VM
	number    uint64
	restarted uint64
	bootIn    int
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		control:  apcontrol.New(apcontrol.WithPolicy(apcontrol.Static{})),
		machines: make(map[apfleet.VMID]*machine),
		killAt:   -1,
		tables: &apcontrol.Tables{
			Now: time.Unix(1_000_000, 0), Deployment: "d", Settings: mustSettings(t), Revision: 10, Epoch: 1,
			Owners: make(apcontrol.OwnersTable), Disruptions: make(apcontrol.DisruptionsTable),
		},
	}
	for i := range fleetSize {
		id := apfleet.VMID(fmt.Sprintf("vm-%02d", i+1))
		w.order = append(w.order, id)
		w.machines[id] = &machine{VM: apfleet.VM{
			ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc", State: apfleet.VMLive,
			Rack: apfleet.Rack(fmt.Sprintf("rack-%d", i/4+1)), Generation: 1,
		}}
	}
	for i := range 3 {
		entry := apfleet.Registration{Name: apfleet.EntryName(fmt.Sprintf("entry-%d", i+1)), Incarnation: 1}
		w.tables.Registry.Entries = append(w.tables.Registry.Entries, entry)
		w.tables.Entries = append(w.tables.Entries, apmesh.Member{Registration: entry})
	}
	for range 30 {
		w.tick(t)
	}
	for _, m := range w.machines {
		assert.Assert(t, m.Service != "" && m.State == apfleet.VMLive, "%s was not started", m.ID)
	}
	w.breaches = 0
	return w
}

// run ticks until nothing is left to do.
func (w *world) run(t *testing.T, limit int) {
	t.Helper()
	for range limit {
		w.tick(t)
		if w.rows() == 0 && !w.tables.Wave.Wave.Active() {
			break
		}
	}
	if w.last != nil {
		_ = w.platform(*w.last)
	}
	for range 2 * bootTicks {
		w.tick(t)
	}
	assert.Equal(t, w.breaches, 0)
}

// tick boots machines, lets entries report, runs the systems and carries intents out.
func (w *world) tick(t *testing.T) {
	t.Helper()
	w.tables.Now = w.tables.Now.Add(tickLength)
	w.boot()
	w.tables.VMs = w.tables.VMs[:0]
	for _, id := range w.order {
		w.tables.VMs = append(w.tables.VMs, w.machines[id].VM)
	}
	w.report()
	w.checkBudgets()
	for _, intent := range w.control.Step(w.tables) {
		if w.executed == w.killAt {
			w.die(t, intent)
			return
		}
		w.executed++
		w.execute(t, intent)
	}
}

// die replaces the holder. What it was about to do is done or not done.
func (w *world) die(t *testing.T, intent apcontrol.Intent) {
	t.Helper()
	w.killAt = -1
	if !w.killBefore {
		w.execute(t, intent)
	}
	if order, ok := intent.(apcontrol.PlatformOrder); ok {
		w.last = &order
	}
	w.control = apcontrol.New(apcontrol.WithPolicy(apcontrol.Static{}))
	w.tables.Epoch++
}

func (w *world) boot() {
	for _, m := range w.machines {
		if m.bootIn == 0 {
			continue
		}
		m.bootIn--
		if m.bootIn == 0 {
			m.State = apfleet.VMLive
			m.Generation++
		}
	}
}

// report lets every entry obey the disruptions of the tick before.
func (w *world) report() {
	for i := range w.tables.Entries {
		entry := &w.tables.Entries[i]
		entry.Report.Drains = nil
		if entry.Name == w.mute {
			continue
		}
		for _, table := range w.tables.Disruptions {
			for _, row := range table.Rows {
				entry.Report.Drains = append(entry.Report.Drains, apmesh.DrainReport{VM: row.VM, Operation: row.Operation})
			}
		}
	}
}

// checkBudgets counts pools that have fewer VMs than their budget.
func (w *world) checkBudgets() {
	for _, pool := range apcontrol.Summarise(w.tables) {
		serving := 0
		for id, m := range w.machines {
			if w.owner(id) == pool.Pool && m.State == apfleet.VMLive && m.Service == pool.Service {
				serving++
			}
		}
		if serving < pool.MinAvailable {
			w.breaches++
		}
	}
}

func (w *world) execute(t *testing.T, intent apcontrol.Intent) {
	t.Helper()
	if _, order := intent.(apcontrol.PlatformOrder); !order {
		w.tables.Revision++
	}
	switch i := intent.(type) {
	case apcontrol.AssignOwners:
		table := make(apfleet.OwnerTable)
		for id, pool := range w.tables.Owners[i.DataCentre].Table {
			table[id] = pool
		}
		for id, pool := range i.Owners {
			table[id] = pool
		}
		w.tables.Owners[i.DataCentre] = apcontrol.OwnersRow{Revision: w.tables.Revision, Table: table}
	case apcontrol.SwapOwner:
		assert.Equal(t, w.owner(i.VM), i.From)
		w.tables.Owners[i.DataCentre].Table[i.VM] = i.To
		w.moves++
	case apcontrol.OpenDisruptions:
		if w.tables.Disruptions[i.Pool].Revision == i.Revision {
			w.open(i)
		}
	case apcontrol.CloseDisruption:
		rows := apfleet.Disruptions{Rows: w.tables.Disruptions[i.Pool].Rows}.Without(i.VM).Rows
		w.tables.Disruptions[i.Pool] = apcontrol.DisruptionsRow{Revision: w.tables.Revision, Rows: rows}
	case apcontrol.PlatformOrder:
		_ = w.platform(i)
	case apcontrol.PauseWave:
		w.tables.Wave.Wave.Paused = true
	case apcontrol.EndWave:
		w.tables.Wave.Wave.Ended = w.tables.Now
	default:
		t.Fatalf("unexpected intent %T", intent)
	}
}

func (w *world) open(i apcontrol.OpenDisruptions) {
	w.tables.Revision++
	rows := append([]apfleet.Disruption(nil), w.tables.Disruptions[i.Pool].Rows...)
	w.tables.Disruptions[i.Pool] = apcontrol.DisruptionsRow{Revision: w.tables.Revision, Rows: append(rows, i.Rows...)}
}

// platform carries an order out unless a newer one was carried out before.
func (w *world) platform(order apcontrol.PlatformOrder) error {
	m := w.machines[order.VM]
	if order.Number < m.number {
		return fmt.Errorf("stale")
	}
	m.number = order.Number
	switch order.Order {
	case apcontrol.OrderDrain:
		if m.State == apfleet.VMLive {
			m.State = apfleet.VMLeaving
		}
	case apcontrol.OrderReturn:
		if m.State == apfleet.VMLeaving {
			m.State = apfleet.VMLive
		}
	case apcontrol.OrderRestart:
		if m.restarted != order.Number {
			m.restarted = order.Number
			m.State, m.Service, m.bootIn = apfleet.VMStarting, order.Service, bootTicks
		}
	}
	return nil
}

func (w *world) operator(t *testing.T, id apfleet.VMID, kind apfleet.DisruptionKind, target apfleet.PoolName) {
	t.Helper()
	if target != "" && w.owner(id) == target {
		w.tables.Owners["dc"].Table[id] = "a"
		w.machines[id].Service = "alpha"
	}
	plan, err := apcontrol.PlanDisruption(w.tables, id, kind, target)
	assert.NilError(t, err)
	w.open(plan)
}

func (w *world) startWave() {
	w.tables.Wave = apcontrol.WaveRow{Revision: apstore.Revision(1), Wave: apfleet.Wave{Name: "wave", Started: w.tables.Now, Generations: w.generations()}}
}

func (w *world) fail(rack apfleet.Rack) {
	for _, m := range w.machines {
		if m.Rack == rack {
			m.State, m.bootIn = apfleet.VMDown, 0
		}
	}
}

func (w *world) owner(id apfleet.VMID) apfleet.PoolName { return w.tables.Owners["dc"].Table[id] }

func (w *world) generations() apfleet.GenerationTable {
	table := make(apfleet.GenerationTable)
	for id, m := range w.machines {
		table[id] = m.Generation
	}
	return table
}

func (w *world) boots() int {
	total := 0
	for _, m := range w.machines {
		total += int(m.Generation)
	}
	return total
}

func (w *world) rows() int {
	total := 0
	for _, table := range w.tables.Disruptions {
		total += len(table.Rows)
	}
	return total
}
