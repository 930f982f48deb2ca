// Package aptrace replays a recorded demand through the policies that move VMs between pools, in virtual
// time, against stated outcomes.
package aptrace

import (
	"encoding/json"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Trace is a recorded demand. Times are in seconds since the start.
type Trace struct {
	Name string `json:"Name"`
	// StepSeconds is the time between two decisions; it is positive.
	StepSeconds float64 `json:"StepSeconds"`
	// MoveSeconds is how long a VM serves nobody when it changes its pool.
	MoveSeconds float64 `json:"MoveSeconds"`
	Seconds     float64 `json:"Seconds"`
	Pools       []Pool  `json:"Pools"`
	// Demand is in the order of time; each row holds until the next one.
	Demand   []Row     `json:"Demand"`
	Losses   []Loss    `json:"Losses,omitempty"`
	Outcomes []Outcome `json:"Outcomes,omitempty"`
}

// Pool is a pool at the start.
type Pool struct {
	Pool         apfleet.PoolName `json:"Pool"`
	Size         int              `json:"Size"`
	MinAvailable int              `json:"MinAvailable"`
	Spare        bool             `json:"Spare,omitempty"`
	MoveWeight   float64          `json:"MoveWeight"`
}

// Row is the demand from one moment on.
type Row struct {
	At float64 `json:"At"`
	// Needs is the number of VMs that each pool's demand occupies.
	Needs []float64 `json:"Needs"`
}

// Loss takes VMs from a pool for a time.
type Loss struct {
	At      float64          `json:"At"`
	Pool    apfleet.PoolName `json:"Pool"`
	VMs     int              `json:"VMs"`
	Seconds float64          `json:"Seconds"`
}

// Outcome is what the policy Planned has to reach, compared with the policy Reactive on the same trace.
type Outcome struct {
	// Measure is Shortfall, Buffer or Moves.
	Measure string `json:"Measure"`
	// AtMost is the greatest ratio of Planned to Reactive.
	AtMost float64 `json:"AtMost"`
}

// Measures that outcomes name.
const (
	MeasureShortfall = "Shortfall"
	MeasureBuffer    = "Buffer"
	MeasureMoves     = "Moves"
)

// Parse reads and checks a trace. Errors carry BadValue.
func Parse(data []byte) (Trace, error) {
	var trace Trace
	if err := json.Unmarshal(data, &trace); err != nil {
		return trace, apcode.Wrapf(apcode.BadValue, err, "trace")
	}
	return trace, trace.Check()
}

// Check returns BadValue for a trace that cannot be replayed.
func (t Trace) Check() error {
	if t.StepSeconds <= 0 || t.MoveSeconds < 0 || t.Seconds <= 0 || len(t.Pools) == 0 {
		return apcode.Errorf(apcode.BadValue, "trace %s: StepSeconds, Seconds and Pools must be set", t.Name)
	}
	for _, row := range t.Demand {
		if len(row.Needs) != len(t.Pools) {
			return apcode.Errorf(apcode.BadValue, "trace %s: the row at %v has %d needs for %d pools", t.Name, row.At, len(row.Needs), len(t.Pools))
		}
	}
	for _, o := range t.Outcomes {
		if o.Measure != MeasureShortfall && o.Measure != MeasureBuffer && o.Measure != MeasureMoves {
			return apcode.Errorf(apcode.BadValue, "trace %s: unknown measure %q", t.Name, o.Measure)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
