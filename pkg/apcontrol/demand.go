package apcontrol

import (
	"math"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

const (
	// demandInterval is the minimum time between two updates of the estimates.
	demandInterval = time.Second
	// riseHalfLife and fallHalfLife are the half-lives of the exponential smoothing while demand rises and
	// falls, so that the estimate follows a rise faster than a fall.
	riseHalfLife = 500 * time.Millisecond
	fallHalfLife = 3 * time.Second
)

// EntryDemand is the demand reported by one incarnation of an entry.
type EntryDemand struct {
	Entry       apfleet.EntryName
	Incarnation uint64
	Demands     []apmesh.ServiceDemand
}

// DemandEstimator estimates, for each service, how many requests would run concurrently if none were
// refused: the arrival rate times the service time (Little's law).
type DemandEstimator struct {
	previous map[counterKey]uint64
	services map[apfleet.ServiceName]*serviceDemand
	observed time.Time
}

// counterKey identifies an arrival counter, which restarts at zero with each incarnation of an entry.
type counterKey struct {
	entry       apfleet.EntryName
	incarnation uint64
	service     apfleet.ServiceName
}

type serviceDemand struct {
	received    uint64
	serviceTime time.Duration
	estimate    float64
}

// NewDemandEstimator returns an estimator without observations.
func NewDemandEstimator() *DemandEstimator {
	return &DemandEstimator{previous: make(map[counterKey]uint64), services: make(map[apfleet.ServiceName]*serviceDemand)}
}

// Observe updates the estimates from the entries' arrival counters, which count refused requests too. It
// ignores calls that follow the previous update by less than demandInterval.
func (d *DemandEstimator) Observe(now time.Time, reports []EntryDemand) {
	elapsed := now.Sub(d.observed)
	if !d.observed.IsZero() && elapsed < demandInterval {
		return
	}
	first := d.observed.IsZero()
	d.observed = now
	current := make(map[counterKey]uint64)
	for _, s := range d.services {
		s.received = 0
	}
	for _, report := range reports {
		for _, demand := range report.Demands {
			key := counterKey{report.Entry, report.Incarnation, demand.Service}
			current[key] = demand.RequestsReceived
			s := d.service(demand.Service)
			s.received += demand.RequestsReceived - min(d.previous[key], demand.RequestsReceived)
			s.serviceTime = max(demand.ServiceTime, time.Millisecond)
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

func (d *DemandEstimator) service(name apfleet.ServiceName) *serviceDemand {
	s, ok := d.services[name]
	if !ok {
		s = &serviceDemand{}
		d.services[name] = s
	}
	return s
}

func (s *serviceDemand) update(elapsed time.Duration) {
	concurrency := float64(s.received) / elapsed.Seconds() * s.serviceTime.Seconds()
	s.estimate = Smooth(s.estimate, concurrency, elapsed)
}

// Smooth returns the exponentially smoothed estimate after an observation that was made elapsed after the
// previous one. The estimate rises faster than it falls.
func Smooth(estimate, observed float64, elapsed time.Duration) float64 {
	halfLife := fallHalfLife
	if observed > estimate {
		halfLife = riseHalfLife
	}
	return estimate + (observed-estimate)*(1-math.Exp2(-elapsed.Seconds()/halfLife.Seconds()))
}

// Estimate returns the estimated number of concurrent requests of a service, 0 if it is unknown.
func (d *DemandEstimator) Estimate(service apfleet.ServiceName) float64 {
	if s, ok := d.services[service]; ok {
		return s.estimate
	}
	return 0
}
