package aptrace

import (
	"math"
	"time"

	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
)

// Result holds the costs of a policy on a trace.
type Result struct {
	Policy string `json:"Policy"`
	// ShortfallHours is the demand refused for lack of capacity and BufferHours the idle capacity, both in
	// VM-hours.
	ShortfallHours float64 `json:"ShortHours"`
	BufferHours    float64 `json:"BufferHours"`
	Moves          int     `json:"Moves"`
	// BudgetBreaches counts, over all steps, the pools that moves left with fewer VMs than the availability budget
	// requires. Outages do not count.
	BudgetBreaches int `json:"Breaches"`
}

// simulation is the state of one replay. Its slices have one element for each pool.
type simulation struct {
	trace    Trace
	balancer *apcontrol.Balancer
	// available counts the VMs that belong to a pool, those in an outage included; lost counts the latter.
	available    []int
	lost         []int
	pendingMoves []pendingMove
	estimates    []float64
	// demandIndex is the index of the current sample of the demand.
	demandIndex int
	result      Result
}

// pendingMove is a VM on its way to a pool.
type pendingMove struct {
	pool      int
	arrivesAt float64
}

// Replay simulates a policy on a trace. name becomes the policy's name in the result.
func Replay(trace Trace, name string, policy apcontrol.Policy) Result {
	options := apcontrol.DefaultBalanceOptions()
	options.MoveTime = toDuration(trace.MoveSeconds)
	s := &simulation{
		trace:     trace,
		balancer:  apcontrol.NewBalancer(options),
		available: make([]int, len(trace.Pools)),
		lost:      make([]int, len(trace.Pools)),
		estimates: make([]float64, len(trace.Pools)),
		result:    Result{Policy: name},
	}
	for i, pool := range trace.Pools {
		s.available[i] = pool.Size
	}
	for now := 0.0; now < trace.DurationSeconds; now += trace.StepSeconds {
		s.step(now, policy)
	}
	return s.result
}

func (s *simulation) step(now float64, policy apcontrol.Policy) {
	s.completeMoves(now)
	s.applyOutages(now)
	needs := s.demandAt(now)
	s.recordCosts(needs)
	for i, need := range needs {
		s.estimates[i] = apcontrol.Smooth(s.estimates[i], need, toDuration(s.trace.StepSeconds))
	}
	for _, t := range s.balancer.Plan(time.Unix(0, 0).Add(toDuration(now)), policy, s.poolLoads(), len(s.pendingMoves)) {
		s.startMove(now, t)
	}
}

// completeMoves adds the VMs whose move has ended to their new pools.
func (s *simulation) completeMoves(now float64) {
	var remaining []pendingMove
	for _, m := range s.pendingMoves {
		if m.arrivesAt <= now {
			s.available[m.pool]++
			continue
		}
		remaining = append(remaining, m)
	}
	s.pendingMoves = remaining
}

// applyOutages sets the number of VMs that each pool lacks at now.
func (s *simulation) applyOutages(now float64) {
	clear(s.lost)
	for _, outage := range s.trace.Outages {
		if i := s.poolIndex(outage.Pool); i >= 0 && outage.At <= now && now < outage.At+outage.DurationSeconds {
			s.lost[i] += outage.VMs
		}
	}
}

// demandAt returns the demand at now. Calls must not go back in time.
func (s *simulation) demandAt(now float64) []float64 {
	samples := s.trace.Demand
	for s.demandIndex+1 < len(samples) && samples[s.demandIndex+1].At <= now {
		s.demandIndex++
	}
	if len(samples) == 0 || samples[s.demandIndex].At > now {
		return make([]float64, len(s.trace.Pools))
	}
	return samples[s.demandIndex].Needs
}

func (s *simulation) servingVMs(i int) int { return max(s.available[i]-s.lost[i], 0) }

// recordCosts adds the costs of one step to the result.
func (s *simulation) recordCosts(needs []float64) {
	hours := s.trace.StepSeconds / time.Hour.Seconds()
	for i, need := range needs {
		serving := float64(s.servingVMs(i))
		s.result.ShortfallHours += math.Max(need-serving, 0) * hours
		s.result.BufferHours += math.Max(serving-need, 0) * hours
		if s.available[i] < s.trace.Pools[i].MinAvailable {
			s.result.BudgetBreaches++
		}
	}
}

// poolLoads returns the input of the policy. Beyond the availability budget, each pool keeps one VM as a
// reserve for the loss of a rack.
func (s *simulation) poolLoads() []apcontrol.PoolLoad {
	const rackReserve = 1
	loads := make([]apcontrol.PoolLoad, 0, len(s.trace.Pools))
	for i, pool := range s.trace.Pools {
		load := apcontrol.PoolLoad{
			Pool: pool.Pool, Available: s.servingVMs(i), Need: s.estimates[i], Spare: pool.Spare, MoveWeight: pool.MoveWeight,
			Removable: max(s.servingVMs(i)-pool.MinAvailable-rackReserve, 0),
		}
		for _, m := range s.pendingMoves {
			if m.pool == i {
				load.Arriving++
			}
		}
		loads = append(loads, load)
	}
	return loads
}

func (s *simulation) startMove(now float64, t apcontrol.Transfer) {
	from, to := s.poolIndex(t.From), s.poolIndex(t.To)
	s.available[from]--
	s.pendingMoves = append(s.pendingMoves, pendingMove{pool: to, arrivesAt: now + s.trace.MoveSeconds})
	s.result.Moves++
}

func (s *simulation) poolIndex(name apfleet.PoolName) int {
	for i, pool := range s.trace.Pools {
		if pool.Pool == name {
			return i
		}
	}
	return -1
}

// Compare replays a trace with each policy.
func Compare(trace Trace) []Result {
	return []Result{
		Replay(trace, "Static", apcontrol.Static{}),
		Replay(trace, "Reactive", apcontrol.Reactive{}),
		Replay(trace, "Planned", apcontrol.Planned{}),
	}
}

// MissedExpectations returns the expectations of a trace that the results do not meet.
func MissedExpectations(trace Trace, results []Result) []Expectation {
	var reactive, planned Result
	for _, r := range results {
		switch r.Policy {
		case "Reactive":
			reactive = r
		case "Planned":
			planned = r
		}
	}
	var missed []Expectation
	for _, e := range trace.Expectations {
		if planned.measure(e.Measure) > e.AtMost*reactive.measure(e.Measure) {
			missed = append(missed, e)
		}
	}
	return missed
}

func (r Result) measure(name string) float64 {
	switch name {
	case MeasureShortfall:
		return r.ShortfallHours
	case MeasureBuffer:
		return r.BufferHours
	default:
		return float64(r.Moves)
	}
}
