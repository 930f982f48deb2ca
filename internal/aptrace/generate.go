package aptrace

import (
	"fmt"
	"math/rand/v2"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Families returns the names of the families of generated traces.
func Families() []string { return []string{"Turns", "FalseBurst", "RackLost", "Drift", "Uneven"} }

const (
	poolCount    = 5
	poolSize     = 10
	peakFactor   = 5.0
	troughFactor = 0.05
	// stepSeconds is the time between two decisions of a policy.
	stepSeconds = 0.2
	// noiseStdDev is the standard deviation of the demand, relative to its value without noise.
	noiseStdDev = 0.05
)

// Generate returns a trace of a family: the demand of five pools of ten VMs, the last of them the spare
// pool.
//
//   - Turns: the pools peak one after the other, each for turnSeconds.
//   - Uneven: as Turns, with peaks of 0.4 to 1.6 times turnSeconds.
//   - RackLost: as Turns, and every pool but the spare pool lacks one VM for two turns.
//   - FalseBurst: a steady demand with bursts of one second, on average every turnSeconds.
//   - Drift: demand moves slowly from one pool to another.
//
// In every family the trace has the length of four turns for each pool.
func Generate(family string, seed uint64, turnSeconds, moveSeconds, moveWeight float64) (Trace, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	t := Trace{
		Name: fmt.Sprintf("%s-%gs-%d", family, turnSeconds, seed), StepSeconds: stepSeconds, MoveSeconds: moveSeconds,
		DurationSeconds: 4 * poolCount * turnSeconds,
	}
	for i := range poolCount {
		pool := Pool{Pool: apfleet.PoolName(fmt.Sprintf("pool-%d", i+1)), Size: poolSize, MinAvailable: 3, MoveWeight: moveWeight}
		pool.Spare = i == poolCount-1
		t.Pools = append(t.Pools, pool)
	}
	switch family {
	case "Turns":
		t.Demand = rotatingPeaks(random, t.DurationSeconds, func(int) float64 { return turnSeconds })
	case "Uneven":
		t.Demand = rotatingPeaks(random, t.DurationSeconds, func(int) float64 { return turnSeconds * (0.4 + 1.2*random.Float64()) })
	case "RackLost":
		t.Demand = rotatingPeaks(random, t.DurationSeconds, func(int) float64 { return turnSeconds })
		for i := range poolCount - 1 {
			t.Outages = append(t.Outages, Outage{At: 1.5 * turnSeconds, Pool: t.Pools[i].Pool, VMs: 1, DurationSeconds: 2 * turnSeconds})
		}
	case "FalseBurst":
		t.Demand = shortBursts(random, t.DurationSeconds, turnSeconds)
	case "Drift":
		t.Demand = linearDrift(random, t.DurationSeconds)
	default:
		return t, apcode.Errorf(apcode.BadValue, "unknown trace family %q, must be one of %v", family, Families())
	}
	return t, nil
}

// rotatingPeaks returns the demand of pools that peak one after the other: a peak is five times the
// pool's size, and the demand between peaks a twentieth of it. turnLength returns the length of a peak
// in seconds.
func rotatingPeaks(random *rand.Rand, totalSeconds float64, turnLength func(int) float64) []DemandSample {
	var samples []DemandSample
	at := 0.0
	for turn := 0; at < totalSeconds; turn++ {
		end := at + turnLength(turn)
		for ; at < end; at++ {
			sample := DemandSample{At: at}
			for i := range poolCount {
				level := troughFactor
				if turn%poolCount == i {
					level = peakFactor
				}
				sample.Needs = append(sample.Needs, poolSize*level*(1+noiseStdDev*random.NormFloat64()))
			}
			samples = append(samples, sample)
		}
		at = end
	}
	return samples
}

// shortBursts returns a steady demand of 60 percent of the pools' size with bursts of one second in
// random pools. meanInterval is the mean time between bursts in seconds.
func shortBursts(random *rand.Rand, totalSeconds, meanInterval float64) []DemandSample {
	var samples []DemandSample
	next := meanInterval
	for at := 0.0; at < totalSeconds; at++ {
		sample := DemandSample{At: at}
		burst := -1
		if at >= next {
			burst = random.IntN(poolCount)
			next += meanInterval * (0.5 + random.Float64())
		}
		for i := range poolCount {
			level := 0.6
			if i == burst {
				level = peakFactor
			}
			sample.Needs = append(sample.Needs, poolSize*level*(1+noiseStdDev*random.NormFloat64()))
		}
		samples = append(samples, sample)
	}
	return samples
}

// linearDrift returns a steady demand, of which a part moves linearly from the second pool to the first
// over the whole trace.
func linearDrift(random *rand.Rand, totalSeconds float64) []DemandSample {
	var samples []DemandSample
	for at := 0.0; at < totalSeconds; at++ {
		progress := at / totalSeconds
		sample := DemandSample{At: at}
		for i := range poolCount {
			level := 0.6
			switch i {
			case 0:
				level = 0.2 + 1.6*progress
			case 1:
				level = 1.8 - 1.6*progress
			}
			sample.Needs = append(sample.Needs, poolSize*level*(1+noiseStdDev*random.NormFloat64()))
		}
		samples = append(samples, sample)
	}
	return samples
}
