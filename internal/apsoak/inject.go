package apsoak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"auburnport/platform/emulator"
)

const (
	// terminationGrace is the time between SIGTERM and SIGKILL, as on the users' sites.
	terminationGrace = 6 * time.Second
	// restartDelay is the time that the platform takes to restart a process.
	restartDelay = 300 * time.Millisecond
	// waveDuration and waveMaxCount are the duration and the maximum number of machines that are down at a time
	// of each requested wave.
	waveDuration = 12 * time.Second
	waveMaxCount = 3
	// drainNotice is the time between the notice of a planned shutdown of a worker and the shutdown.
	drainNotice = 3 * time.Second
)

// inject waits until a step is due and executes it.
func (s *Soak) inject(ctx context.Context, step Step, progress io.Writer) error {
	if !pause(ctx, time.Until(s.startedAt.Add(step.At))) {
		return nil
	}
	if progress != nil {
		_, _ = fmt.Fprintln(progress, step)
	}
	if step.Kind.impairs() {
		defer s.emulator.Record.BeginImpairment(step.String())()
	}
	from := time.Now()
	defer func() { s.tracker.stepDone(step.Kind, from) }()
	return s.execute(ctx, step, rand.New(rand.NewPCG(step.Seed, 1)))
}

// execute executes a step and returns when its effect has ended.
func (s *Soak) execute(ctx context.Context, step Step, random *rand.Rand) error {
	switch k := step.Kind; {
	case k.between(KindKill, KindReload):
		return s.signalEntries(ctx, step, random)
	case k.between(KindLinkDelayed, KindLinkSilenced):
		s.faultEntries(ctx, step, random, "link ", func(p *entryProcess) { p.storeProxy.SetLink(k.linkState()) }, func(p *entryProcess) { p.storeProxy.SetLink(LinkOpen) })
	case k.between(KindStoreBusy, KindStoreLate):
		s.faultEntries(ctx, step, random, "store ",
			func(p *entryProcess) { s.emulator.Store.SetFault(p.name, k.storeFault()) },
			func(p *entryProcess) { s.emulator.Store.SetFault(p.name, apemulator.StoreFaultNone) })
	case k == KindCompact:
		s.emulator.Store.Compact()
	case k.onWorkers():
		s.faultWorkers(ctx, step, random)
	case k == KindClocksOff:
		pause(ctx, step.Duration)
	case k == KindAdvisorMove:
		return s.moveAdvisors()
	case k == KindConfig:
		return s.configure(ctx)
	case k == KindWave:
		names := s.emulator.Fleet.MachineNames()
		return s.emulator.Fleet.StartWave(ctx, step.Number, sample(names, step.Share, random), waveDuration, waveMaxCount)
	default:
	}
	return nil
}

// moveAdvisors gives each entry's advisor another address and makes the entries reload their settings.
func (s *Soak) moveAdvisors() error {
	for _, p := range s.entries {
		if err := p.writeSettings(s.emulator); err != nil {
			return err
		}
	}
	signalAll(s.entries, syscall.SIGHUP)
	return nil
}

// sample returns a random sample of the items: the given share of them, but at least one.
func sample[T any](items []T, share float64, random *rand.Rand) []T {
	n := max(1, min(len(items), int(share*float64(len(items)))))
	var sampled []T
	for _, i := range random.Perm(len(items))[:n] {
		sampled = append(sampled, items[i])
	}
	return sampled
}

// faultEntries applies a fault to a sample of the entries, and reverts it after the step's duration. Faults with another
// prefix don't hide each other.
func (s *Soak) faultEntries(ctx context.Context, step Step, random *rand.Rand, prefix string, apply, revert func(*entryProcess)) {
	targets := sample(s.entries, step.Share, random)
	for _, p := range targets {
		s.faults.Begin(prefix+p.name, step.Number, func() { apply(p) })
	}
	pause(ctx, step.Duration)
	for _, p := range targets {
		s.faults.End(prefix+p.name, step.Number, func() { revert(p) })
	}
}

// rebirthPause is the time until a worker that is reborn as another kind answers again. Its registration is up to
// maxEntryDelay later. It keeps the kind until the end of the load.
const (
	rebirthPause  = 500 * time.Millisecond
	maxEntryDelay = time.Second
	// rebootTimeout is longer than a machine that was moved or reborn needs to be back.
	rebootTimeout = 3 * time.Second
)

// faultWorkers injects a fault into a sample of the workers, and clears it after the step's duration. A crashed or drained
// machine boots again by itself.
func (s *Soak) faultWorkers(ctx context.Context, step Step, random *rand.Rand) {
	workers := s.emulator.Fleet.WorkerAddresses()
	targets := sample(slices.Sorted(maps.Keys(workers)), step.Share, random)
	for _, name := range targets {
		switch k := step.Kind; {
		case k == KindWorkerCrash:
			s.emulator.Fleet.Crash(ctx, name, step.Duration)
		case k == KindWorkerRebirth:
			delay := time.Duration(random.Float64() * float64(maxEntryDelay))
			s.noteReborn(name)
			s.emulator.Fleet.Rebirth(ctx, name, workerKinds[random.IntN(len(workerKinds))], rebirthPause, delay)
		case k == KindWorkerDrain:
			s.emulator.Fleet.Drain(ctx, name, drainNotice)
		case k.between(KindWorkerFails, KindWorkerLate):
			s.faults.Begin("worker "+name, step.Number, func() { s.emulator.Fleet.SetWorkerFault(name, k.workerFault()) })
		default:
			s.faults.Begin("worker link "+workers[name].String(), step.Number, func() { s.workerProxies.setLink(workers[name], k.linkState()) })
		}
	}
	pause(ctx, step.Duration)
	for _, name := range targets {
		switch k := step.Kind; {
		case k.between(KindWorkerFails, KindWorkerLate):
			s.faults.End("worker "+name, step.Number, func() { s.emulator.Fleet.SetWorkerFault(name, apemulator.WorkerFaultNone) })
		case k.between(KindWorkerLinkDelayed, KindWorkerLinkSilenced):
			s.faults.End("worker link "+workers[name].String(), step.Number, func() { s.workerProxies.setLink(workers[name], LinkOpen) })
		default:
		}
	}
}

func (s *Soak) noteReborn(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reborn[machine] = true
}

// restoreKinds makes the workers that were reborn come back as the kind that their machine had at the start, so that every
// label can be found.
func (s *Soak) restoreKinds(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.reborn)) {
		s.poll(ctx, rebootTimeout, func() bool { return s.emulator.Fleet.WorkerAddresses()[name].IsValid() })
		s.emulator.Fleet.Rebirth(ctx, name, s.kindOf(name), rebirthPause, 0)
	}
}

// signalEntries kills, terminates, pauses or reloads a sample of the entries, or restarts all in turn.
func (s *Soak) signalEntries(ctx context.Context, step Step, random *rand.Rand) error {
	targets := sample(s.entries, step.Share, random)
	switch step.Kind {
	case KindReload:
		signalAll(targets, syscall.SIGHUP)
	case KindPause:
		for _, p := range targets {
			s.faults.Begin("pause "+p.name, step.Number, func() { p.signal(syscall.SIGSTOP) })
		}
		pause(ctx, step.Duration)
		for _, p := range targets {
			s.faults.End("pause "+p.name, step.Number, func() { p.signal(syscall.SIGCONT) })
		}
	case KindKill:
		signalAll(targets, syscall.SIGKILL)
		return restart(ctx, targets)
	case KindTerm:
		signalAll(targets, syscall.SIGTERM)
		return restart(ctx, targets)
	default:
		for _, p := range s.entries {
			p.signal(syscall.SIGTERM)
			if err := restart(ctx, []*entryProcess{p}); err != nil || ctx.Err() != nil {
				return err
			}
		}
	}
	return nil
}

func signalAll(entries []*entryProcess, signal syscall.Signal) {
	for _, p := range entries {
		p.signal(signal)
	}
}

// restart waits until all of the entries have exited, then starts them again.
func restart(ctx context.Context, entries []*entryProcess) error {
	for _, p := range entries {
		p.awaitExit(ctx, terminationGrace)
	}
	if !pause(ctx, restartDelay) {
		return nil
	}
	for _, p := range entries {
		if err := p.ensureRunning(); err != nil {
			return err
		}
	}
	return nil
}

// clearFaults clears the faults of all links, of the store and of all workers.
func (s *Soak) clearFaults() {
	s.workerProxies.openAll()
	for _, p := range s.entries {
		p.storeProxy.SetLink(LinkOpen)
		s.emulator.Store.SetFault(p.name, apemulator.StoreFaultNone)
	}
	for _, name := range s.emulator.Fleet.MachineNames() {
		s.emulator.Fleet.SetWorkerFault(name, apemulator.WorkerFaultNone)
	}
}
