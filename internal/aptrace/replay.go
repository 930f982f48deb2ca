package aptrace

import (
	"math"
	"time"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
)

// Result is what a policy cost on a trace.
type Result struct {
	Policy string `json:"Policy"`
	// ShortHours is refused demand and BufferHours idle capacity, in VM-hours.
	ShortHours  float64 `json:"ShortHours"`
	BufferHours float64 `json:"BufferHours"`
	Moves       int     `json:"Moves"`
	// Breaches counts the steps in which a pool had fewer VMs than its budget through moves.
	Breaches int `json:"Breaches"`
}

// replay is the state of a run.
type replay struct {
	trace     Trace
	balancer  *apcontrol.Balancer
	available []int
	lost      []int
	// arriving holds the VMs on their way.
	arriving  []arrival
	estimates []float64
	// row is the row of the demand that holds.
	row    int
	result Result
}

type arrival struct {
	pool int
	at   float64
}

// Replay runs a policy over a trace.
func Replay(trace Trace, name string, policy apcontrol.Policy) Result {
	options := apcontrol.DefaultBalanceOptions()
	options.MoveTime = seconds(trace.MoveSeconds)
	r := &replay{
		trace:     trace,
		balancer:  apcontrol.NewBalancer(options),
		available: make([]int, len(trace.Pools)),
		lost:      make([]int, len(trace.Pools)),
		estimates: make([]float64, len(trace.Pools)),
		result:    Result{Policy: name},
	}
	for i, pool := range trace.Pools {
		r.available[i] = pool.Size
	}
	for now := 0.0; now < trace.Seconds; now += trace.StepSeconds {
		r.step(now, policy)
	}
	return r.result
}

func (r *replay) step(now float64, policy apcontrol.Policy) {
	r.arrive(now)
	r.lose(now)
	needs := r.needs(now)
	r.account(needs)
	for i, need := range needs {
		r.estimates[i] = apcontrol.Smooth(r.estimates[i], need, seconds(r.trace.StepSeconds))
	}
	for _, t := range r.balancer.Plan(time.Unix(0, 0).Add(seconds(now)), policy, r.loads(), len(r.arriving)) {
		r.move(now, t)
	}
}

// arrive ends the moves that are complete.
func (r *replay) arrive(now float64) {
	var left []arrival
	for _, a := range r.arriving {
		if a.at <= now {
			r.available[a.pool]++
			continue
		}
		left = append(left, a)
	}
	r.arriving = left
}

// lose sets how many VMs of each pool are lost at a moment.
func (r *replay) lose(now float64) {
	clear(r.lost)
	for _, loss := range r.trace.Losses {
		if i := r.index(loss.Pool); i >= 0 && loss.At <= now && now < loss.At+loss.Seconds {
			r.lost[i] += loss.VMs
		}
	}
}

// needs returns the demand of a moment; moments are asked for in order.
func (r *replay) needs(now float64) []float64 {
	rows := r.trace.Demand
	for r.row+1 < len(rows) && rows[r.row+1].At <= now {
		r.row++
	}
	if len(rows) == 0 || rows[r.row].At > now {
		return make([]float64, len(r.trace.Pools))
	}
	return rows[r.row].Needs
}

func (r *replay) serving(i int) int { return max(r.available[i]-r.lost[i], 0) }

func (r *replay) account(needs []float64) {
	hours := r.trace.StepSeconds / time.Hour.Seconds()
	for i, need := range needs {
		serving := float64(r.serving(i))
		r.result.ShortHours += math.Max(need-serving, 0) * hours
		r.result.BufferHours += math.Max(serving-need, 0) * hours
		if r.available[i] < r.trace.Pools[i].MinAvailable {
			r.result.Breaches++
		}
	}
}

// loads is what the policy sees. A rack's worth of one VM is held in reserve beyond the budget.
func (r *replay) loads() []apcontrol.PoolLoad {
	const reserve = 1
	loads := make([]apcontrol.PoolLoad, 0, len(r.trace.Pools))
	for i, pool := range r.trace.Pools {
		load := apcontrol.PoolLoad{
			Pool: pool.Pool, Available: r.serving(i), Need: r.estimates[i], Spare: pool.Spare, MoveWeight: pool.MoveWeight,
			Removable: max(r.serving(i)-pool.MinAvailable-reserve, 0),
		}
		for _, a := range r.arriving {
			if a.pool == i {
				load.Arriving++
			}
		}
		loads = append(loads, load)
	}
	return loads
}

func (r *replay) move(now float64, t apcontrol.Transfer) {
	from, to := r.index(t.From), r.index(t.To)
	r.available[from]--
	r.arriving = append(r.arriving, arrival{pool: to, at: now + r.trace.MoveSeconds})
	r.result.Moves++
}

func (r *replay) index(name apfleet.PoolName) int {
	for i, pool := range r.trace.Pools {
		if pool.Pool == name {
			return i
		}
	}
	return -1
}

// Compare replays a trace with every policy.
func Compare(trace Trace) []Result {
	return []Result{
		Replay(trace, "Static", apcontrol.Static{}),
		Replay(trace, "Reactive", apcontrol.Reactive{}),
		Replay(trace, "Planned", apcontrol.Planned{}),
	}
}

// Missed returns the stated outcomes that were not reached.
func Missed(trace Trace, results []Result) []Outcome {
	var reactive, planned Result
	for _, r := range results {
		switch r.Policy {
		case "Reactive":
			reactive = r
		case "Planned":
			planned = r
		}
	}
	var missed []Outcome
	for _, o := range trace.Outcomes {
		if planned.measure(o.Measure) > o.AtMost*reactive.measure(o.Measure) {
			missed = append(missed, o)
		}
	}
	return missed
}

func (r Result) measure(name string) float64 {
	switch name {
	case MeasureShortfall:
		return r.ShortHours
	case MeasureBuffer:
		return r.BufferHours
	default:
		return float64(r.Moves)
	}
}
