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
		r := newRoute("r-anu6wsj", "/puxa400/", 2)
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
	if err := p.addMinions(mainService, advisedMinions, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, servingRoute, advisedRoute)
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
	err := p.addMinions(mainService, 7, func(i int) []string {
		if i == 2 || i == 3 {
			return []string{"b"}
		}
		return []string{"a"}
	})
	if err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, labelRoute)
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

// Case many-times: a job comes that can never be done, a schedule whose times have all come.

const (
	manyTimes = 1440
	manyItems = 125
)

func prepareManyTimes(p *play) error {
	p.behave = worksFor(time.Second)
	if err := p.addMinions(mainService, 6, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, otherRoute, returningRoute)
}

func runManyTimes(p *play) error {
	const many, after = "aadd7a21d94b36f8", "bbee7a21d94b36f8"
	if p.trouble {
		j := &job{
			Spec: "many-times", Steps: []step{{Count: manyItems, Cpu: 500, MemMb: 128, EstimateMs: 1000}},
			RepeatCount: manyTimes, FirstRunMs: time.Now().Add(-manyTimes * time.Minute).UnixMilli(), IntervalMs: time.Minute.Milliseconds(),
		}
		if s := p.submit(p.nodes[0], returningRoute, many, j); s.Status != http.StatusOK {
			return errRefused
		}
		time.Sleep(2 * time.Second)
	}
	j := &job{Spec: "after", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 256, EstimateMs: 1000}}}
	if s := p.submit(p.nodes[1], otherRoute, after, j); s.Status != http.StatusOK {
		return errRefused
	}
	p.checkFinished(after, otherRoute)
	return nil
}

// Case fills-no-place: the only minion without a work item that serves is lost for good, and with it the work items that
// fill.

const fillMinions = 8

var (
	servingRoute = newRoute("r-nbanfqa", "/cufi501/fi50/", 4)
	fillingRoute = newRoute("r-anu6wsj", "/puxa400/", 4)
)

func prepareFills(p *play) error {
	p.behave = func(_ *minion, key runKey) behaviour {
		if p.lasts(key) {
			return behaviour{}
		}
		return behaviour{after: 6 * time.Second, how: "done"}
	}
	if err := p.addMinions(mainService, fillMinions, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, servingRoute, fillingRoute)
}

func runFills(p *play) error {
	const serving, filling = "44dd7a21d94b36f8", "55ee7a21d94b36f8"
	j := &job{Spec: "serving", Steps: []step{{
		Count: fillMinions - 1, Cpu: 2000, MemMb: 2048, LongRunning: true, MaxPerServer: 1, MayMiss: 1, TargetMs: 200, Image: "front-1",
	}}}
	if a := p.submit(p.nodes[0], servingRoute, serving, j); a.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(8*time.Second, func() bool { return p.runningItems(serving) == fillMinions-1 }) {
		return errors.New("the serving job did not start")
	}
	f := &job{Spec: "filling", Steps: []step{{Count: 2, Cpu: 4000, MemMb: 1024, EstimateMs: 6000, Fills: true, Image: "batch-1"}}}
	if a := p.submit(p.nodes[1], fillingRoute, filling, f); a.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(5*time.Second, func() bool { return p.runningItems(filling) == 2 }) {
		return errors.New("the filling job did not start")
	}
	time.Sleep(time.Second)
	if p.trouble {
		p.minionOf(filling).crash()
	}
	p.checkFinished(filling, fillingRoute)
	return nil
}

// minionOf returns a minion that runs a work item of a job, or nil.
func (p *play) minionOf(id string) *minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.minions {
		for key := range m.running {
			if job, _, _, err := parseItem(key.item); err == nil && job == id {
				return m
			}
		}
	}
	return nil
}

// Case route-returns: the operator removes a queue by mistake and adds it again some seconds later. Meanwhile the first run
// of a work item of an accepted job fails.

var returningRoute = newRoute("r-anu6wsj", "/puxa400/", 4)

func prepareRouteReturns(p *play) error {
	p.behave = func(_ *minion, key runKey) behaviour {
		if key.run == 1 {
			return behaviour{after: 4 * time.Second, how: "failed"}
		}
		return behaviour{after: 4 * time.Second, how: "done"}
	}
	if err := p.addMinions(mainService, 6, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, otherRoute, returningRoute)
}

var otherRoute = newRoute("r-k9m68k7", "/wuhu344/", 2)

func runRouteReturns(p *play) error {
	const id, item = "33cc7a21d94b36f8", "33cc7a21d94b36f8.0.0.0"
	j := &job{Spec: "route-returns", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 4000}}}
	if a := p.submit(p.nodes[0], returningRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(3*time.Second, func() bool { return p.isRunning(item) }) {
		return errors.New("the job did not start")
	}
	if p.trouble {
		if err := p.configure(9, []string{mainService}, otherRoute); err != nil {
			return err
		}
	}
	if !waitFor(8*time.Second, func() bool { return p.failures(id, item) > 0 }) {
		return errors.New("the first run did not end")
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		if err := p.configure(12, []string{mainService}, otherRoute, returningRoute); err != nil {
			return err
		}
	}
	time.Sleep(configTime + time.Second)
	for _, n := range p.nodes {
		if a := p.state(n, returningRoute, id); a.State == "failed" && p.failures(id, item) < returningRoute.MaxAttempts {
			p.record.breachf("LOST: %s shows the job as failed after %d of %d attempts", n.name, p.failures(id, item), returningRoute.MaxAttempts)
		}
	}
	return nil
}

// Case late-start: a minion leaves a start unanswered. The system sends it again, and the work item is done. The minion crashes and starts
// again under its id, and the first start is carried out as it comes back.

func prepareLateStart(p *play) error {
	p.behave = worksFor(1500 * time.Millisecond)
	if err := p.addMinions(mainService, 8, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, otherRoute)
}

func runLateStart(p *play) error {
	const id, other, item = "ccff7a21d94b36f8", "ccff7a21d94b36f9", "ccff7a21d94b36f8.0.0.0"
	if p.trouble {
		p.mu.Lock()
		p.heldItem = item
		p.mu.Unlock()
	}
	// The orders for this job are carried out at once: one start of 26 is late.
	o := &job{Spec: "other", Steps: []step{{Count: 24, Cpu: 1000, MemMb: 256, EstimateMs: 1500}}}
	if a := p.submit(p.nodes[1], otherRoute, other, o); a.Status != http.StatusOK {
		return errRefused
	}
	j := &job{Spec: "late-start", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 1500}}}
	if a := p.submit(p.nodes[0], otherRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	var on *minion
	if !waitFor(5*time.Second, func() bool {
		on = p.minionOf(id)
		return on != nil
	}) {
		return errors.New("the job did not start")
	}
	completed := false
	for end := time.Now().Add(8 * time.Second); !completed && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		completed = p.state(p.nodes[1], otherRoute, id).State == "completed"
	}
	if !completed {
		return errors.New("the job was not completed")
	}
	if p.trouble {
		if err := on.restart(2*time.Second, 0, "a"); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
