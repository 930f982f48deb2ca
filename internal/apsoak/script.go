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
	// KindKill kills entries, KindTerm stops them in order; both start them again.
	KindKill Kind = iota
	KindTerm
	// KindPause stops entries for a while without their noticing.
	KindPause
	// KindRoll stops all entries in turn, as an upgrade does.
	KindRoll
	KindReload
	// KindLink harms entries' links to the store, KindWorkerLink the links to workers.
	KindLink
	KindWorkerLink
	// KindStore makes the store misbehave towards some entries.
	KindStore
	// KindCompact drops the store's history.
	KindCompact
	// KindCrash ends workers without notice, KindWorker makes them misbehave.
	KindCrash
	KindWorker
	// KindConfig changes the configuration, KindWave asks for upkeep.
	KindConfig
	KindWave
	kinds
)

// String returns the name.
func (k Kind) String() string {
	return [...]string{
		"Kill", "Term", "Pause", "Roll", "Reload", "Link", "WorkerLink", "Store", "Compact", "Crash", "Worker", "Config", "Wave",
	}[k]
}

// Step is one fault or one piece of planned work.
type Step struct {
	At, For time.Duration
	Kind    Kind
	// Number tells steps apart; it is the number of a wave.
	Number int
	// Share is the part of the entries or workers that are hit; at least one is.
	Share float64
	// Seed picks them.
	Seed    uint64
	Link    Link
	Fault   apemulator.StoreFault
	Trouble apemulator.WorkerFault
}

// String returns one line.
func (s Step) String() string {
	detail := ""
	switch s.Kind {
	case KindLink, KindWorkerLink:
		detail = s.Link.String()
	case KindStore:
		detail = s.Fault.String()
	case KindWorker:
		detail = [...]string{"None", "Fails", "Hangs", "Slow", "Late"}[s.Trouble]
	default:
	}
	return fmt.Sprintf("%6.2f s %-10s %-8s for %.2f s, share %.2f", s.At.Seconds(), s.Kind, detail, s.For.Seconds(), s.Share)
}

const (
	// minFor and maxFor bound how long a fault lasts: shorter and longer than every lease.
	minFor = 300 * time.Millisecond
	maxFor = 6 * time.Second
	// pairShare is the part of the steps that come with another one at nearly the same time.
	pairShare = 0.4
	pairGap   = 150 * time.Millisecond
	// everyOther is the usual time between two faults.
	everyOther = 2 * time.Second
)

// Script draws the steps of a run, in the order of their times.
func Script(options Options, random *rand.Rand) []Step {
	count := options.Faults
	if count == 0 {
		count = int(options.Duration / everyOther)
	}
	var steps []Step
	for len(steps) < count {
		at := time.Duration(random.Float64() * 0.85 * float64(options.Duration))
		steps = append(steps, draw(options, random, at, len(steps)+1))
		if random.Float64() < pairShare {
			at += time.Duration(random.Float64() * float64(pairGap))
			steps = append(steps, draw(options, random, at, len(steps)+1))
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Number, b.Number)) })
	return steps
}

func draw(options Options, random *rand.Rand, at time.Duration, number int) Step {
	length := minFor + time.Duration(random.Float64()*float64(maxFor-minFor))
	step := Step{
		At: at, For: min(length, options.Duration-at), Kind: Kind(random.IntN(int(kinds))), Number: number,
		Share: random.Float64(), Seed: random.Uint64(),
		Link: LinkDelayed + Link(random.IntN(int(LinkSilenced))), Fault: apemulator.StoreFaultBusy + apemulator.StoreFault(random.IntN(int(apemulator.StoreFaultLateWrite))),
		Trouble: apemulator.WorkerFaultFails + apemulator.WorkerFault(random.IntN(int(apemulator.WorkerFaultLate))),
	}
	if step.Kind == KindCrash || step.Kind == KindWorker || step.Kind == KindWorkerLink {
		// Most workers stay sound, or nothing could be expected to get done.
		step.Share /= 3
	}
	return step
}
