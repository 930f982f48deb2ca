package apsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnport/platform/emulator"
)

// Kind is what a step of a script does.
type Kind uint8

// Kinds of steps.
const (
	// KindKill ends entries with SIGKILL, KindTerm with SIGTERM. Both restart them.
	KindKill Kind = iota
	KindTerm
	// KindPause suspends entries for a while with SIGSTOP.
	KindPause
	// KindRollingRestart restarts all entries in turn, as an upgrade does.
	KindRollingRestart
	// KindReload makes entries reload their settings file.
	KindReload
	// KindStoreLink disturbs the links of entries to the store, KindWorkerLink the links to workers.
	KindStoreLink
	KindWorkerLink
	// KindStoreFault makes the store misbehave towards entries.
	KindStoreFault
	// KindCompact drops the store's history.
	KindCompact
	// KindWorkerCrash ends workers without notice, KindWorkerFault makes them misbehave.
	KindWorkerCrash
	KindWorkerFault
	// KindConfig commits a new configuration, KindWave requests the maintenance of machines.
	KindConfig
	KindWave
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{
		"Kill", "Term", "Pause", "Roll", "Reload", "Link", "WorkerLink", "Store", "Compact", "Crash", "Worker", "Config", "Wave",
	}[k]
}

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
	// LinkState, StoreFault and WorkerFault are set in every step, and used by the kinds that need them.
	LinkState   LinkState
	StoreFault  apemulator.StoreFault
	WorkerFault apemulator.WorkerFault
}

// String formats the step in one line.
func (s Step) String() string {
	detail := ""
	switch s.Kind {
	case KindStoreLink, KindWorkerLink:
		detail = s.LinkState.String()
	case KindStoreFault:
		detail = s.StoreFault.String()
	case KindWorkerFault:
		detail = [...]string{"None", "Fails", "Hangs", "Slow", "Late"}[s.WorkerFault]
	default:
	}
	return fmt.Sprintf("%6.2f s %-10s %-8s for %.2f s, share %.2f", s.At.Seconds(), s.Kind, detail, s.Duration.Seconds(), s.Share)
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

// GenerateScript generates the steps of a run at random and returns them in the order of their times.
func GenerateScript(options Options, random *rand.Rand) []Step {
	count := options.Faults
	if count == 0 {
		count = int(options.Duration / defaultInterval)
	}
	var steps []Step
	for len(steps) < count {
		at := time.Duration(random.Float64() * latestStart * float64(options.Duration))
		steps = append(steps, randomStep(options, random, at, len(steps)+1))
		if random.Float64() < pairProbability {
			at += time.Duration(random.Float64() * float64(maxPairGap))
			steps = append(steps, randomStep(options, random, at, len(steps)+1))
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Number, b.Number)) })
	return steps
}

func randomStep(options Options, random *rand.Rand, at time.Duration, number int) Step {
	duration := minDuration + time.Duration(random.Float64()*float64(maxDuration-minDuration))
	step := Step{
		At: at, Duration: min(duration, options.Duration-at), Kind: Kind(random.IntN(int(kindCount))), Number: number,
		Share: random.Float64(), Seed: random.Uint64(),
		LinkState: LinkDelayed + LinkState(random.IntN(int(LinkStallOpen))), StoreFault: apemulator.StoreFaultBusy + apemulator.StoreFault(random.IntN(int(apemulator.StoreFaultLateWrite))),
		WorkerFault: apemulator.WorkerFaultFails + apemulator.WorkerFault(random.IntN(int(apemulator.WorkerFaultLate))),
	}
	if step.Kind == KindWorkerCrash || step.Kind == KindWorkerFault || step.Kind == KindWorkerLink {
		// Most workers must keep working, or jobs can't be expected to get done.
		step.Share /= 3
	}
	return step
}
