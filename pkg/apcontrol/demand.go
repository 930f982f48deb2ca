package apcontrol

import (
	"math"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

const (
	demandWindow = time.Second
	// riseHalfLife and fallHalfLife smooth the estimate; it rises faster than it falls.
	riseHalfLife = 500 * time.Millisecond
	fallHalfLife = 3 * time.Second
)

// EntryDemand is the demand that one run of an entry reported.
type EntryDemand struct {
	Entry       apfleet.EntryName
	Incarnation uint64
	Demands     []apmesh.ServiceDemand
}

// Demand estimates how many requests of each service run at once if none were refused: arrivals
// times service time.
type Demand struct {
	previous map[counterKey]uint64
	services map[apfleet.ServiceName]*serviceDemand
	observed time.Time
}

type counterKey struct {
	entry       apfleet.EntryName
	incarnation uint64
	service     apfleet.ServiceName
}

type serviceDemand struct {
	arrived  uint64
	time     time.Duration
	estimate float64
}

// NewDemand returns an estimate without observations.
func NewDemand() *Demand {
	return &Demand{previous: make(map[counterKey]uint64), services: make(map[apfleet.ServiceName]*serviceDemand)}
}

// Observe adds the entries' counters. Arrivals count however they were answered.
func (d *Demand) Observe(now time.Time, reports []EntryDemand) {
	elapsed := now.Sub(d.observed)
	if !d.observed.IsZero() && elapsed < demandWindow {
		return
	}
	first := d.observed.IsZero()
	d.observed = now
	current := make(map[counterKey]uint64)
	for _, s := range d.services {
		s.arrived = 0
	}
	for _, report := range reports {
		for _, demand := range report.Demands {
			key := counterKey{report.Entry, report.Incarnation, demand.Service}
			current[key] = demand.Arrived
			s := d.service(demand.Service)
			s.arrived += demand.Arrived - min(d.previous[key], demand.Arrived)
			s.time = max(demand.ServiceTime, time.Millisecond)
		}
	}
	d.previous = current
	if first {
		return
	}
	for _, s := range d.services {
		s.update(elapsed)
	}
}

func (d *Demand) service(name apfleet.ServiceName) *serviceDemand {
	s, ok := d.services[name]
	if !ok {
		s = &serviceDemand{}
		d.services[name] = s
	}
	return s
}

func (s *serviceDemand) update(elapsed time.Duration) {
	concurrency := float64(s.arrived) / elapsed.Seconds() * s.time.Seconds()
	s.estimate = Smooth(s.estimate, concurrency, elapsed)
}

// Smooth returns the estimate after an observation that is elapsed later than the one before. It rises
// faster than it falls.
func Smooth(estimate, observed float64, elapsed time.Duration) float64 {
	halfLife := fallHalfLife
	if observed > estimate {
		halfLife = riseHalfLife
	}
	return estimate + (observed-estimate)*(1-math.Exp2(-elapsed.Seconds()/halfLife.Seconds()))
}

// Estimate returns the requests of a service that run at once.
func (d *Demand) Estimate(service apfleet.ServiceName) float64 {
	if s, ok := d.services[service]; ok {
		return s.estimate
	}
	return 0
}
