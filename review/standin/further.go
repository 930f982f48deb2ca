//go:build review

package main

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Case advice-full: while the advisor decides on a step, a job that lasts comes and takes the room on the minions that the advisor was
// asked about.

var (
	advisedTiming = adviceTiming{DecideMs: 400, EachMs: 20, ValidMs: 3000}
	advisedRoute  = func() route {
		r := newRoute("r-anu6wsj", "/puxa400/", "huvo11a", 2)
		r.Advice = &advisedTiming
		return r
	}()
)

const advisedMinions = 7

func prepareAdvice(p *play) error {
	p.behave = func(_ *minion, key runKey) behaviour {
		if p.lasts(key) {
			return behaviour{}
		}
		return behaviour{after: 2 * time.Second, how: "done"}
	}
	if err := p.addMinions("huvo11a", advisedMinions, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{"huvo11a"}, servingRoute, advisedRoute)
}

func runAdvice(p *play) error {
	const lasting, advised = "66ff7a21d94b36f8", "77aa7a21d94b36f8"
	a := &job{Spec: "advised", Steps: []step{{Count: 1, Cpu: 8000, MemMb: 1024, EstimateMs: 2000}}}
	l := &job{Spec: "lasting", Steps: []step{{Count: 3, Cpu: 12000, MemMb: 4096, LongRunning: true, MayMiss: 1, MaxPerServer: 1}}}
	if s := p.submit(p.nodes[0], advisedRoute, advised, a); s.Status != http.StatusOK {
		return errRefused
	}
	if !p.trouble && !waitFor(10*time.Second, func() bool { return p.runningItems(advised) == 1 }) {
		return errors.New("the advised job did not start")
	}
	time.Sleep(100 * time.Millisecond)
	if s := p.submit(p.nodes[1], servingRoute, lasting, l); s.Status != http.StatusOK {
		return errRefused
	}
	p.checkFinished(advised, advisedRoute)
	return nil
}

// Case advice-moves: the advisor gets another address, the settings files change, and each process gets SIGHUP.

func runAdviceMoves(p *play) error {
	const before, after = "77aa7a21d94b36f8", "88bb7a21d94b36f8"
	j := &job{Spec: "before", Steps: []step{{Count: 2, Cpu: 2000, MemMb: 1024, EstimateMs: 2000}}}
	if s := p.submit(p.nodes[0], advisedRoute, before, j); s.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(10*time.Second, func() bool { return p.runningItems(before) == 2 }) {
		return errors.New("the first job did not start")
	}
	if p.trouble {
		if err := p.moveAdvisor(); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	j = &job{Spec: "after", Steps: []step{{Count: 2, Cpu: 2000, MemMb: 1024, EstimateMs: 2000}}}
	if s := p.submit(p.nodes[1], advisedRoute, after, j); s.Status != http.StatusOK {
		return errRefused
	}
	p.checkFinished(after, advisedRoute)
	return nil
}

// moveAdvisor serves the advisor at another address, writes that into the settings files, and sends SIGHUP.
func (p *play) moveAdvisor() error {
	old := p.advice
	address, server, err := p.serve(&advisor{platform: p.platform, timing: advisedTiming})
	if err != nil {
		return err
	}
	_ = p.adviceServer.Close()
	p.advice, p.adviceServer = address, server
	for _, n := range p.nodes {
		text, err := os.ReadFile(n.settings)
		if err != nil {
			return err
		}
		text = bytes.ReplaceAll(text, []byte("Advice="+old), []byte("Advice="+address))
		if err := os.WriteFile(n.settings, text, 0o600); err != nil {
			return err
		}
		if err := n.process.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	p.record.logf("the advisor moves from %s to %s, SIGHUP to all nodes", old, address)
	return nil
}

// Case other-kind: a minion crashes and starts again under its id and at its address, and is of another kind.

func prepareOtherKind(p *play) error {
	p.behave = worksFor(1500 * time.Millisecond)
	err := p.addMinions("huvo11a", 7, func(i int) []string {
		if i == 2 || i == 3 {
			return []string{"b"}
		}
		return []string{"a"}
	})
	if err != nil {
		return err
	}
	return p.configure(7, []string{"huvo11a"}, labelRoute)
}

func runOtherKind(p *play) error {
	const id = "99cc7a21d94b36f8"
	j := &job{Spec: "other-kind", Steps: []step{{Count: 40, Cpu: 4000, MemMb: 1024, EstimateMs: 1500, RequiredLabel: "b"}}}
	if s := p.submit(p.nodes[0], labelRoute, id, j); s.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(5*time.Second, func() bool { return p.runningItems(id) == 8 }) {
		return errors.New("the job did not start")
	}
	time.Sleep(500 * time.Millisecond)
	kind := "b"
	if p.trouble {
		kind = "a"
	}
	if err := p.minions[2].restart(2*time.Second, 700*time.Millisecond, kind); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}
