package apentry

import (
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/aproute"
)

// Remote is what another entry reported.
type Remote struct {
	Entry  apfleet.EntryName
	Report apmesh.Report
}

// ApplyRemote tells every service of the load and demand at the other entries, and gives waiting requests
// their turn.
func (e *Entry) ApplyRemote(now time.Time, self apfleet.EntryName, remotes []Remote) {
	loads := make(map[apfleet.VMID]int)
	demands := make(map[apfleet.ServiceName][]aproute.Share)
	for _, remote := range remotes {
		for _, load := range remote.Report.Loads {
			loads[load.VM] += load.InFlight
		}
		for _, demand := range remote.Report.Demands {
			demands[demand.Service] = append(demands[demand.Service], aproute.Share{Entry: remote.Entry, Demand: demand.Demand})
		}
	}
	e.visit(func(g *gate) { g.applyRemote(now, self, loads, demands[g.name], remotes) })
}

// applyRemote shares the slots of one service. An entry that has not reported the service yet has no
// demand for it.
func (g *gate) applyRemote(now time.Time, self apfleet.EntryName, loads map[apfleet.VMID]int, known []aproute.Share, remotes []Remote) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shares := []aproute.Share{{Entry: self, Demand: g.balancer.Demand()}}
	others := make([]int, 0, len(remotes))
	for _, remote := range remotes {
		share := aproute.Share{Entry: remote.Entry}
		if i := slices.IndexFunc(known, func(s aproute.Share) bool { return s.Entry == remote.Entry }); i >= 0 {
			share = known[i]
		}
		shares = append(shares, share)
		others = append(others, share.Demand)
	}
	slices.SortFunc(shares, func(a, b aproute.Share) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	g.balancer.SetRemote(func(id apfleet.VMID) int { return loads[id] })
	g.balancer.SetShare(others)
	g.balancer.SetMembers(self, shares)
	g.balancer.Next(now)
}

// Demands returns the demand for each service at this entry, in the order of names.
func (e *Entry) Demands() []apmesh.ServiceDemand {
	var demands []apmesh.ServiceDemand
	e.visit(func(g *gate) {
		g.mu.Lock()
		defer g.mu.Unlock()
		demands = append(demands, apmesh.ServiceDemand{
			Service:     g.name,
			Demand:      g.balancer.Demand(),
			Arrived:     g.arrived,
			ServiceTime: g.balancer.ServiceTime().Round(time.Millisecond),
		})
	})
	slices.SortFunc(demands, func(a, b apmesh.ServiceDemand) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return demands
}

// Loads returns this entry's requests in flight to each instance, when the strategy needs them.
func (e *Entry) Loads() []apmesh.InstanceLoad {
	if _, ok := e.options.Strategy.(aproute.TwoChoices); !ok {
		return nil
	}
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
