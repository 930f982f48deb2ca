package apentry

import (
	"slices"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
	"auburnport/pkg/aproute"
)

// RemoteReport is the latest report of another entry.
type RemoteReport struct {
	Entry  apfleet.EntryName
	Report apmesh.Report
}

// ApplyRemoteReports updates the balancer of every service with the load and demand that the other entries
// report, then dispatches waiting requests where that has made room.
func (e *Entry) ApplyRemoteReports(now time.Time, self apfleet.EntryName, remotes []RemoteReport) {
	loads := make(map[apfleet.VMID]int)
	demands := make(map[apfleet.ServiceName][]aproute.EntryDemand)
	for _, remote := range remotes {
		for _, load := range remote.Report.Loads {
			loads[load.VM] += load.InFlight
		}
		for _, demand := range remote.Report.Demands {
			demands[demand.Service] = append(demands[demand.Service], aproute.EntryDemand{Entry: remote.Entry, Demand: demand.Demand})
		}
	}
	e.forEachService(func(s *serviceBalancer) { s.applyRemoteReports(now, self, loads, demands[s.name], remotes) })
}

// applyRemoteReports divides the slots of one service among the entries. The demand of an entry that
// has not reported the service yet counts as 0.
func (s *serviceBalancer) applyRemoteReports(now time.Time, self apfleet.EntryName, loads map[apfleet.VMID]int, reported []aproute.EntryDemand, remotes []RemoteReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entryDemands := []aproute.EntryDemand{{Entry: self, Demand: s.balancer.Demand()}}
	otherDemands := make([]int, 0, len(remotes))
	for _, remote := range remotes {
		entryDemand := aproute.EntryDemand{Entry: remote.Entry}
		if i := slices.IndexFunc(reported, func(r aproute.EntryDemand) bool { return r.Entry == remote.Entry }); i >= 0 {
			entryDemand = reported[i]
		}
		entryDemands = append(entryDemands, entryDemand)
		otherDemands = append(otherDemands, entryDemand.Demand)
	}
	slices.SortFunc(entryDemands, func(a, b aproute.EntryDemand) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	s.balancer.SetRemoteLoads(func(id apfleet.VMID) int { return loads[id] })
	s.balancer.UpdateFairShare(otherDemands)
	s.balancer.AssignSlots(self, entryDemands)
	s.balancer.ProcessQueue(now)
}

// Demands returns the demand for each service at this entry, sorted by service name.
func (e *Entry) Demands() []apmesh.ServiceDemand {
	var demands []apmesh.ServiceDemand
	e.forEachService(func(s *serviceBalancer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		demands = append(demands, apmesh.ServiceDemand{
			Service:          s.name,
			Demand:           s.balancer.Demand(),
			RequestsReceived: s.requestsReceived,
			ServiceTime:      s.balancer.ServiceTime().Round(time.Millisecond),
		})
	})
	slices.SortFunc(demands, func(a, b apmesh.ServiceDemand) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return demands
}

// Loads returns the number of requests that this entry has in flight to each instance, or nil if the
// strategy does not need it.
func (e *Entry) Loads() []apmesh.InstanceLoad {
	if _, ok := e.options.Strategy.(aproute.TwoChoices); !ok {
		return nil
	}
	var loads []apmesh.InstanceLoad
	e.forEachService(func(s *serviceBalancer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.balancer.Loads(func(id apfleet.VMID, inFlight int) {
			loads = append(loads, apmesh.InstanceLoad{VM: id, InFlight: inFlight})
		})
	})
	return loads
}

// InFlightTo returns the number of requests that this entry has in flight to one instance.
func (e *Entry) InFlightTo(id apfleet.VMID) int {
	total := 0
	e.forEachService(func(s *serviceBalancer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		total += s.balancer.InFlight(id)
	})
	return total
}

// Down returns the instances to which this entry can't connect.
func (e *Entry) Down() []apfleet.VMID { return e.conns.down() }
