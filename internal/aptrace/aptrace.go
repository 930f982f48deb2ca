// Package aptrace replays a trace of demand with each policy that moves VMs between pools, in simulated
// time, and compares the results with the expectations stated in the trace.
package aptrace

import (
	"encoding/json"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Trace is a recorded or generated demand, with the pools that serve it. Points in time are in seconds
// since the start.
type Trace struct {
	Name string `json:"Name"`
	// StepSeconds is the time between two decisions; it is positive.
	StepSeconds float64 `json:"StepSeconds"`
	// MoveSeconds is how long a VM is unavailable while it moves to another pool.
	MoveSeconds     float64 `json:"MoveSeconds"`
	DurationSeconds float64 `json:"Seconds"`
	Pools           []Pool  `json:"Pools"`
	// Demand is sorted by time. Each sample holds until the next one.
	Demand       []DemandSample `json:"Demand"`
	Outages      []Outage       `json:"Losses,omitempty"`
	Expectations []Expectation  `json:"Outcomes,omitempty"`
}

// Pool is a pool as it is at the start.
type Pool struct {
	Pool         apfleet.PoolName `json:"Pool"`
	Size         int              `json:"Size"`
	MinAvailable int              `json:"MinAvailable"`
	Spare        bool             `json:"Spare,omitempty"`
	MoveWeight   float64          `json:"MoveWeight"`
}

// DemandSample is the demand from a point in time on.
type DemandSample struct {
	At float64 `json:"At"`
	// Needs holds, for each pool of the trace, the number of VMs that its demand keeps busy.
	Needs []float64 `json:"Needs"`
}

// Outage makes VMs of a pool unavailable for a time.
type Outage struct {
	At              float64          `json:"At"`
	Pool            apfleet.PoolName `json:"Pool"`
	VMs             int              `json:"VMs"`
	DurationSeconds float64          `json:"Seconds"`
}

// Expectation limits a measure of the policy Planned relative to the policy Reactive on the same trace.
type Expectation struct {
	// Measure is MeasureShortfall, MeasureBuffer or MeasureMoves.
	Measure string `json:"Measure"`
	// AtMost is the greatest allowed ratio of Planned to Reactive.
	AtMost float64 `json:"AtMost"`
}

// Measures of an Expectation.
const (
	MeasureShortfall = "Shortfall"
	MeasureBuffer    = "Buffer"
	MeasureMoves     = "Moves"
)

// Parse reads a trace from JSON and checks it. Errors carry BadValue.
func Parse(data []byte) (Trace, error) {
	var trace Trace
	if err := json.Unmarshal(data, &trace); err != nil {
		return trace, apcode.Wrapf(apcode.BadValue, err, "trace")
	}
	return trace, trace.Check()
}

// Check returns an error with code BadValue if the trace cannot be replayed.
func (t Trace) Check() error {
	if t.StepSeconds <= 0 || t.MoveSeconds < 0 || t.DurationSeconds <= 0 || len(t.Pools) == 0 {
		return apcode.Errorf(apcode.BadValue, "trace %s: StepSeconds and Seconds must be positive, MoveSeconds must not be negative, and Pools must not be empty", t.Name)
	}
	for _, sample := range t.Demand {
		if len(sample.Needs) != len(t.Pools) {
			return apcode.Errorf(apcode.BadValue, "trace %s: the row of Demand at %v has %d Needs for %d pools", t.Name, sample.At, len(sample.Needs), len(t.Pools))
		}
	}
	for _, e := range t.Expectations {
		if e.Measure != MeasureShortfall && e.Measure != MeasureBuffer && e.Measure != MeasureMoves {
			return apcode.Errorf(apcode.BadValue, "trace %s: unknown measure %q", t.Name, e.Measure)
		}
	}
	return nil
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
