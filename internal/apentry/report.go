package apentry

import (
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// Remote is what the other entries reported.
type Remote struct {
	// Members holds the names of all entries, this one included.
	Members []apfleet.EntryName
	// Reports holds the reports of the other entries.
	Reports []apmesh.Report
}

// ApplyRemote tells every service of the load and demand at the other entries.
func (e *Entry) ApplyRemote(now time.Time, self apfleet.EntryName, remote Remote) {
	loads := make(map[apfleet.VMID]int)
	demands := make(map[apfleet.ServiceName][]int)
	for _, report := range remote.Reports {
		for _, load := range report.Loads {
			loads[load.VM] += load.InFlight
		}
		for _, demand := range report.Demands {
			demands[demand.Service] = append(demands[demand.Service], demand.Demand)
		}
	}
	e.visit(func(g *gate) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.balancer.SetRemote(func(id apfleet.VMID) int { return loads[id] })
		g.balancer.SetShare(demands[g.name])
		g.balancer.SetMembers(self, remote.Members)
		g.balancer.Next(now)
	})
}

// Demands returns the demand for each service at this entry, in the order of names.
func (e *Entry) Demands() []apmesh.ServiceDemand {
	var demands []apmesh.ServiceDemand
	e.visit(func(g *gate) {
		g.mu.Lock()
		defer g.mu.Unlock()
		demands = append(demands, apmesh.ServiceDemand{
			Service:         g.name,
			Demand:          g.balancer.Demand(),
			Arrived:         g.arrived,
			BusyNanoseconds: uint64(g.busy),
			ServiceTime:     g.balancer.ServiceTime(),
		})
	})
	slices.SortFunc(demands, func(a, b apmesh.ServiceDemand) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return demands
}

// Loads returns this entry's requests in flight to each instance.
func (e *Entry) Loads() []apmesh.InstanceLoad {
	var loads []apmesh.InstanceLoad
	e.visit(func(g *gate) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.balancer.Loads(func(id apfleet.VMID, inFlight int) {
			loads = append(loads, apmesh.InstanceLoad{VM: id, InFlight: inFlight})
		})
	})
	return loads
}

// InFlightTo returns this entry's requests in flight to one instance.
func (e *Entry) InFlightTo(id apfleet.VMID) int {
	total := 0
	e.visit(func(g *gate) {
		g.mu.Lock()
		defer g.mu.Unlock()
		total += g.balancer.InFlight(id)
	})
	return total
}

// Down returns the instances to which no connection can be made.
func (e *Entry) Down() []apfleet.VMID { return e.backends.down() }
