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
	// grace lies between SIGTERM and SIGKILL, as on the users' sites.
	grace = 6 * time.Second
	// restartAfter is how long the platform takes to start a process again.
	restartAfter = 300 * time.Millisecond
	// waveDuration and waveCount are those of the waves that are asked for.
	waveDuration = 12 * time.Second
	waveCount    = 3
)

// inject carries one step out at its time.
func (s *Soak) inject(ctx context.Context, step Step, progress io.Writer) error {
	if !pause(ctx, time.Until(s.began.Add(step.At))) {
		return nil
	}
	if progress != nil {
		_, _ = fmt.Fprintln(progress, step)
	}
	random := rand.New(rand.NewPCG(step.Seed, 1))
	switch step.Kind {
	case KindKill, KindTerm, KindPause, KindRoll, KindReload:
		return s.signal(ctx, step, random)
	case KindLink:
		s.onEntries(ctx, step, random, func(n *node) { n.store.Set(step.Link) }, func(n *node) { n.store.Set(LinkOpen) })
	case KindStore:
		s.onEntries(ctx, step, random,
			func(n *node) { s.emulator.Store.SetFault(n.name, step.Fault) },
			func(n *node) { s.emulator.Store.SetFault(n.name, apemulator.StoreFaultNone) })
	case KindCompact:
		s.emulator.Store.Compact()
	case KindWorkerLink, KindCrash, KindWorker:
		s.onWorkers(ctx, step, random)
	case KindConfig:
		return s.configure(ctx)
	case KindWave:
		names := s.emulator.Fleet.MachineNames()
		return s.emulator.Fleet.StartWave(ctx, step.Number, pick(names, step.Share, random), waveDuration, waveCount)
	default:
	}
	return nil
}

// pick draws a share of some things, at least one.
func pick[T any](all []T, share float64, random *rand.Rand) []T {
	n := max(1, min(len(all), int(share*float64(len(all)))))
	var picked []T
	for _, i := range random.Perm(len(all))[:n] {
		picked = append(picked, all[i])
	}
	return picked
}

func (s *Soak) onEntries(ctx context.Context, step Step, random *rand.Rand, harm, heal func(*node)) {
	hit := pick(s.nodes, step.Share, random)
	for _, n := range hit {
		harm(n)
	}
	pause(ctx, step.For)
	for _, n := range hit {
		heal(n)
	}
}

func (s *Soak) onWorkers(ctx context.Context, step Step, random *rand.Rand) {
	workers := s.emulator.Fleet.WorkerAddresses()
	hit := pick(slices.Sorted(maps.Keys(workers)), step.Share, random)
	for _, name := range hit {
		switch step.Kind {
		case KindCrash:
			s.emulator.Fleet.Crash(ctx, name, step.For)
		case KindWorker:
			s.emulator.Fleet.SetWorkerFault(name, step.Trouble)
		default:
			s.workers.set(workers[name], step.Link)
		}
	}
	pause(ctx, step.For)
	for _, name := range hit {
		switch step.Kind {
		case KindWorker:
			s.emulator.Fleet.SetWorkerFault(name, apemulator.WorkerFaultNone)
		case KindWorkerLink:
			s.workers.set(workers[name], LinkOpen)
		default:
		}
	}
}

// signal ends, pauses or reloads entries.
func (s *Soak) signal(ctx context.Context, step Step, random *rand.Rand) error {
	hit := pick(s.nodes, step.Share, random)
	switch step.Kind {
	case KindReload:
		all(hit, syscall.SIGHUP)
	case KindPause:
		all(hit, syscall.SIGSTOP)
		pause(ctx, step.For)
		all(hit, syscall.SIGCONT)
	case KindKill:
		all(hit, syscall.SIGKILL)
		return restart(ctx, hit)
	case KindTerm:
		all(hit, syscall.SIGTERM)
		return restart(ctx, hit)
	default:
		for _, n := range s.nodes {
			n.signal(syscall.SIGTERM)
			if err := restart(ctx, []*node{n}); err != nil || ctx.Err() != nil {
				return err
			}
		}
	}
	return nil
}

func all(nodes []*node, signal syscall.Signal) {
	for _, n := range nodes {
		n.signal(signal)
	}
}

// restart starts entries again when all of them have ended.
func restart(ctx context.Context, nodes []*node) error {
	for _, n := range nodes {
		n.stopped(ctx, grace)
	}
	if !pause(ctx, restartAfter) {
		return nil
	}
	for _, n := range nodes {
		if err := n.ensure(); err != nil {
			return err
		}
	}
	return nil
}

// heal ends all faults.
func (s *Soak) heal() {
	s.workers.heal()
	for _, n := range s.nodes {
		n.store.Set(LinkOpen)
		s.emulator.Store.SetFault(n.name, apemulator.StoreFaultNone)
	}
	for _, name := range s.emulator.Fleet.MachineNames() {
		s.emulator.Fleet.SetWorkerFault(name, apemulator.WorkerFaultNone)
	}
}
