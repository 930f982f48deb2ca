package apbench

import (
	"fmt"
	"net/netip"
	"time"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/apsettings"
)

// Shape of the generated fleet.
const (
	dataCentres = 15
	vmsPerRack  = 4
	vmsPerPool  = 6
)

// FleetSize is the size of a generated fleet.
type FleetSize struct {
	VMs, Entries int
}

// Pools returns the number of pools; each has one service.
func (s FleetSize) Pools() int { return max(s.VMs/vmsPerPool, 1) }

// SteadyState returns the controller's input for a fleet in which nothing has to change: every VM runs the service
// of its pool and demand is low.
func SteadyState(size FleetSize) *apcontrol.Tables {
	tables := &apcontrol.Tables{
		Now: time.Unix(1_000_000, 0), Deployment: "d", Settings: SettingsTree(size), SettingsRevision: 1, Revision: 1000, Epoch: 1,
		Owners: make(apcontrol.OwnersTable), Disruptions: make(apcontrol.DisruptionsTable),
	}
	for i := range size.VMs {
		dc := apfleet.DataCentre(fmt.Sprintf("dc-%02d", i%dataCentres))
		pool := i % size.Pools()
		vm := apfleet.VM{
			ID: apfleet.VMID(fmt.Sprintf("vm-%05d", i)), Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: dc,
			Rack:  apfleet.Rack(fmt.Sprintf("%s-rack-%03d", dc, i/dataCentres/vmsPerRack)),
			State: apfleet.VMLive, Service: serviceName(pool), Generation: 1,
		}
		tables.VMs = append(tables.VMs, vm)
		row, ok := tables.Owners[dc]
		if !ok {
			row = apcontrol.OwnersRow{Revision: 1, Table: make(apfleet.OwnerTable)}
			tables.Owners[dc] = row
		}
		row.Table[vm.ID] = poolName(pool)
	}
	for i := range size.Entries {
		entry := apfleet.Registration{Name: apfleet.EntryName(fmt.Sprintf("entry-%03d", i)), Incarnation: 1}
		tables.Registry.Entries = append(tables.Registry.Entries, entry)
		member := apmesh.Member{Registration: entry}
		for pool := range size.Pools() {
			member.Report.Demands = append(member.Report.Demands, apmesh.ServiceDemand{
				Service: serviceName(pool), Demand: 1, RequestsReceived: 1, ServiceTime: 100 * time.Millisecond,
			})
		}
		tables.Entries = append(tables.Entries, member)
	}
	return tables
}

// SettingsTree returns a settings tree with one pool and one service for every vmsPerPool VMs.
func SettingsTree(size FleetSize) apsettings.Tree {
	tree := apsettings.Tree{Nodes: apsettings.NodeTable{"/d": {}}}
	for dc := range dataCentres {
		tree.Nodes[apsettings.Path(fmt.Sprintf("/d/dc-%02d", dc))] = apsettings.Values{}
	}
	poolSize, minAvailable := vmsPerPool, 3
	for pool := range size.Pools() {
		tree.Nodes[apsettings.PoolPath("d", poolName(pool))] = apsettings.Values{Size: &poolSize, MinAvailable: &minAvailable}
		tree.Nodes[apsettings.ServicePath("d", poolName(pool), serviceName(pool))] = apsettings.Values{}
	}
	return tree
}

func poolName(i int) apfleet.PoolName { return apfleet.PoolName(fmt.Sprintf("pool-%03d", i)) }

func serviceName(i int) apfleet.ServiceName {
	return apfleet.ServiceName(fmt.Sprintf("service-%03d", i))
}
