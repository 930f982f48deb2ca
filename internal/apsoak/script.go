package apsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one step of a script: a fault, or a planned change such as a new configuration.
type Step struct {
	// At is the time of the step since the start of the load, Duration how long a fault lasts.
	At, Duration time.Duration
	Kind         Kind
	// Number identifies the step. It is also the number of the wave of a KindWave.
	Number int
	// Share is the fraction of the entries, workers or machines that are affected. At least one is.
	Share float64
	// Seed determines which ones are affected.
	Seed uint64
}

// String formats the step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s %-18s for %.2f s, share %.2f", s.At.Seconds(), s.Kind, s.Duration.Seconds(), s.Share)
}

const (
	// minDuration and maxDuration bound how long a fault lasts. The range includes times shorter and longer than
	// every lease.
	minDuration = 300 * time.Millisecond
	maxDuration = 6 * time.Second
	// latestStart is the fraction of the run within which steps start; the second one of a pair may start up to
	// maxPairGap later. All faults end with the run.
	latestStart = 0.85
	// pairProbability is the probability that a step is followed by another one within maxPairGap.
	pairProbability = 0.4
	maxPairGap      = 150 * time.Millisecond
	// defaultInterval is the run's duration per fault unless Options.Faults is set.
	defaultInterval = 2 * time.Second
)

// configTimes are the times of the configurations that every run commits, as fractions of the run.
var configTimes = []float64{0.25, 0.4}

// GenerateScript generates the steps of a run at random and returns them in the order of their times. The first step of
// each pair takes the next kind in turn, beginning where the seed before this one ends; the second one is of any kind.
func GenerateScript(options Options, random *rand.Rand) []Step {
	count := options.Faults
	if count == 0 {
		count = int(options.Duration / defaultInterval)
	}
	var steps []Step
	next := Kind(options.Seed * turnsPerSeed(count) % uint64(kindCount))
	for len(steps) < count {
		at := time.Duration(random.Float64() * latestStart * float64(options.Duration))
		steps = append(steps, randomStep(options, random, next, at, len(steps)+1))
		next = (next + 1) % kindCount
		if random.Float64() < pairProbability {
			at += time.Duration(random.Float64() * float64(maxPairGap))
			steps = append(steps, randomStep(options, random, Kind(random.IntN(int(kindCount))), at, len(steps)+1))
		}
	}
	for _, fraction := range configTimes {
		at := time.Duration(fraction * float64(options.Duration))
		steps = append(steps, randomStep(options, random, KindConfig, at, len(steps)+1))
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Number, b.Number)) })
	return steps
}

// turnsPerSeed is the number of kinds that each script of a minimum number of steps takes in turn, as half of the steps
// may be the second ones of pairs.
func turnsPerSeed(steps int) uint64 { return max(1, uint64(steps+1)/2) }

func randomStep(options Options, random *rand.Rand, kind Kind, at time.Duration, number int) Step {
	duration := minDuration + time.Duration(random.Float64()*float64(maxDuration-minDuration))
	step := Step{At: at, Duration: min(duration, options.Duration-at), Kind: kind, Number: number, Share: random.Float64(), Seed: random.Uint64()}
	if kind.onWorkers() {
		// Most workers must keep working, or jobs can't be expected to get done.
		step.Share /= 3
	}
	if kind == KindClocksOff {
		step.At, step.Duration = 0, options.Duration
	}
	return step
}
