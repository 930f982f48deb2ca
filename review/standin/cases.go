//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
)

// The bounds of the settings that the checks use.
const (
	configTime  = 2 * time.Second
	visibleTime = 3 * time.Second
	finishTime  = 14 * time.Second
	// idleTime is how long a job may have nothing running while a work item's turn has come.
	idleTime = 3 * time.Second
	// restartTime is how long after its last run a work item that lasts counts as due.
	restartTime = 6 * time.Second
)

var cases = map[string]caseOf{
	"route-moves":   {"TWICE", prepareRouteMoves, runRouteMoves},
	"late-post":     {"UNASKED", prepareLatePost, runLatePost},
	"lasting-done":  {"LOST", prepareLastingDone, runLastingDone},
	"route-returns": {"LOST", prepareRouteReturns, runRouteReturns},
	"label-failed":  {"LOST", prepareLabelFailed, runLabelFailed},
	// Plays that only the report tells of.
	"longest-lease":  {"TWICE", prepareLongestLease, runLongestLease},
	"late-start":     {"TWICE", prepareLateStart, runLateStart},
	"fills-no-place": {"LOST", prepareFills, runFills},
	"advice-full":    {"LOST", prepareAdvice, runAdvice},
	"advice-moves":   {"LOST", prepareAdvice, runAdviceMoves},
	"many-times":     {"LOST", prepareManyTimes, runManyTimes},
	"other-kind":     {"ROUTE", prepareOtherKind, runOtherKind},
}

var errRefused = errors.New("the job was not accepted")

// rackSize is the number of minions in a rack.
const rackSize = 12

// addMinions starts minions of a service.
func (p *play) addMinions(service string, n int, labels func(i int) []string) error {
	for i := range n {
		if _, err := p.addMinion(service, fmt.Sprintf("r1-%d", i/rackSize), labels(i)...); err != nil {
			return err
		}
	}
	return nil
}

func kindA(int) []string { return []string{"a"} }

// worksFor makes every run end done after a time.
func worksFor(d time.Duration) func(*minion, runKey) behaviour {
	return func(*minion, runKey) behaviour { return behaviour{after: d, how: "done"} }
}

// Case route-moves: the operator sends a queue to another service while a job of it runs, and the request for the job
// arrives again.

var (
	movedRoute    = newRoute("r-anu6wsj", "/puxa400/", 2)
	routeServices = []string{mainService, "kafi81c"}
)

func prepareRouteMoves(p *play) error {
	p.behave = worksFor(15 * time.Second)
	for _, name := range routeServices {
		if err := p.addMinions(name, 4, kindA); err != nil {
			return err
		}
	}
	return p.configure(7, routeServices, movedRoute)
}

func runRouteMoves(p *play) error {
	const id = "5c0e7a21d94b36f8"
	j := &job{Spec: "route-moves", Steps: []step{{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 15000}}}
	if a := p.submit(p.nodes[0], movedRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	accepted := time.Now()
	if !waitFor(5*time.Second, func() bool { return p.runningItems(id) == 4 }) {
		return errors.New("the job did not start")
	}
	moved := movedRoute
	if p.trouble {
		moved.Service = "kafi81c"
		if err := p.configure(9, routeServices, moved); err != nil {
			return err
		}
	}
	confirmed := time.Now()
	time.Sleep(max(time.Until(confirmed.Add(configTime)), time.Until(accepted.Add(visibleTime))) + 500*time.Millisecond)
	for _, n := range p.nodes {
		if a := p.state(n, moved, id); a.Status == http.StatusGone {
			p.record.breachf("LOST: %s answers 410 for an accepted job that nobody has cancelled", n.name)
		}
	}
	p.submit(p.nodes[1], moved, id, j)
	time.Sleep(5 * time.Second)
	return nil
}

// Case lasting-done: a run of a work item that lasts ends done.

func prepareLastingDone(p *play) error {
	p.behave = func(_ *minion, key runKey) behaviour {
		_, _, index, _ := parseItem(key.item)
		if p.trouble && index == 0 && key.run == 1 {
			return behaviour{after: 4 * time.Second, how: "done"}
		}
		return behaviour{}
	}
	if err := p.addMinions(mainService, 6, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, lastingRoute)
}

var lastingRoute = newRoute("r-nbanfqa", "/cufi501/fi50/", 4)

func runLastingDone(p *play) error {
	const id = "7be10c22d94b36a1"
	j := &job{Spec: "lasting-done", Steps: []step{{Count: 5, Cpu: 2000, MemMb: 1024, LongRunning: true, MayMiss: 1}}}
	if a := p.submit(p.nodes[0], lastingRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(8*time.Second, func() bool { return p.runningItems(id) == 5 }) {
		return errors.New("the job did not start")
	}
	// The run that ends does so after 4 s of work.
	time.Sleep(6 * time.Second)
	p.checkLasting(id, 5, 20*time.Second)
	for _, n := range p.nodes {
		p.state(n, lastingRoute, id)
	}
	return nil
}

// checkLasting watches the work items of a job's first step for a time: LOST is broken if one has nothing running for idleTime,
// later than restartTime after its last run.
func (p *play) checkLasting(id string, count int, watch time.Duration) {
	idleSince := make(map[string]time.Time)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for k := range count {
			item := fmt.Sprintf("%s.0.0.%d", id, k)
			p.mu.Lock()
			last := p.jobs[id].lastEnd[item]
			p.mu.Unlock()
			switch {
			case p.isRunning(item) || time.Since(last) < restartTime:
				delete(idleSince, item)
			case idleSince[item].IsZero():
				idleSince[item] = time.Now()
			case time.Since(idleSince[item]) > idleTime:
				p.record.breachf("LOST: nothing runs of %s, which lasts, %s after the end of its last run", item, time.Since(last).Round(time.Millisecond))
				return
			}
		}
	}
}

// Case late-post: requesters leave before their time limit and cancel what they sent, while the store loses answers and
// carries changes out late.

const (
	// cancelTime is cancel_ms, contactTime ContactMs of the settings.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	// leaveAfter is when a requester leaves.
	leaveAfter = 400 * time.Millisecond
	latePosts  = 12
	// lateSteps is the number of steps of a job, which follow each other.
	lateSteps = 6
	// longestDelay is the longest time by which the store carries a change out late. It counts as impaired until then.
	longestDelay = 6 * time.Second
)

func prepareLatePost(p *play) error {
	p.behave = worksFor(1500 * time.Millisecond)
	if err := p.addMinions(mainService, 6, kindA); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, otherRoute)
}

func runLatePost(p *play) error {
	p.losing.Store(p.trouble)
	var requesters sync.WaitGroup
	for i := range latePosts {
		requesters.Go(func() {
			id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i)
			n := p.nodes[i%len(p.nodes)]
			j := &job{Spec: "late-post"}
			for k := range lateSteps {
				s := step{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 1500}
				if k > 0 {
					s.After = []int{k - 1}
				}
				j.Steps = append(j.Steps, s)
			}
			p.submitWithin(leaveAfter, n, otherRoute, id, j)
			p.cancelUntilAcknowledged(p.nodes[(i+1)%len(p.nodes)], otherRoute, id)
		})
		time.Sleep(100 * time.Millisecond)
	}
	p.losing.Store(false)
	p.mu.Lock()
	p.calmSince = time.Now().Add(longestDelay)
	p.mu.Unlock()
	p.record.logf("the store answers all changes")
	requesters.Wait()
	time.Sleep(16 * time.Second)
	return nil
}

// Case label-failed: a work item that only one minion may run has failed there once, because the minion failed all that
// it started for a time.

const labelledMinions = 12

func prepareLabelFailed(p *play) error {
	p.behave = worksFor(time.Second)
	err := p.addMinions(mainService, labelledMinions, func(i int) []string {
		if i == 5 {
			return []string{"b"}
		}
		return []string{"a"}
	})
	if err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, labelRoute)
}

var labelRoute = newRoute("r-anu6wsj", "/puxa400/", 4)

func runLabelFailed(p *play) error {
	const id, item = "11aa7a21d94b36f8", "11aa7a21d94b36f8.0.0.0"
	p.setFailing(5, p.trouble)
	j := &job{Spec: "label-failed", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 1000, RequiredLabel: "b"}}}
	if a := p.submit(p.nodes[0], labelRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	// Work items of other jobs keep the pool busy at a low level meanwhile.
	other := &job{Spec: "label-failed other", Steps: []step{{Count: 6, Cpu: 1000, MemMb: 256, EstimateMs: 1000}}}
	if a := p.submit(p.nodes[1], labelRoute, "22bb7a21d94b36f8", other); a.Status != http.StatusOK {
		return errRefused
	}
	if p.trouble && !waitFor(5*time.Second, func() bool { return p.failures(id, item) > 0 }) {
		return errors.New("the run did not fail")
	}
	time.Sleep(500 * time.Millisecond)
	p.setFailing(5, false)
	p.checkFinished(id, labelRoute)
	return nil
}

// setFailing makes a minion fail all that it starts, or no longer.
func (p *play) setFailing(i int, failing bool) {
	p.mu.Lock()
	p.minions[i].failing = failing
	p.mu.Unlock()
	p.record.logf("%s fails all that it starts: %t", p.minions[i].id, failing)
}

// checkFinished waits for finishTime and then checks LOST: each node answers for the job, and the job is final or has
// something running.
func (p *play) checkFinished(id string, r route) {
	time.Sleep(finishTime)
	if a := p.state(p.nodes[2], r, id); a.Status != http.StatusOK {
		p.record.breachf("LOST: the state of job %s isn't known, status %d", id, a.Status)
	} else if a.State == "completed" || a.State == "failed" {
		return
	}
	for end := time.Now().Add(idleTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.runningItems(id) > 0 {
			return
		}
	}
	if a := p.state(p.nodes[2], r, id); a.State != "completed" && a.State != "failed" {
		p.record.breachf("LOST: job %s is shown as %s and has nothing running for %s, %s after the end of the traffic", id, a.State, idleTime, finishTime)
	}
}

// Case longest-lease: a minion crashes in silence and starts again under its id, and takes the deadline of a start for its
// longest lease. The owner is killed, and the minion is cut off from the system's processes.

func prepareLongestLease(p *play) error {
	p.behave = worksFor(20 * time.Second)
	p.longestLease = 10 * time.Second
	if err := p.addMinions(mainService, 8, func(i int) []string {
		if i < 2 {
			return []string{"b"}
		}
		return []string{"a"}
	}); err != nil {
		return err
	}
	return p.configure(7, []string{mainService}, otherRoute)
}

func runLongestLease(p *play) error {
	const id = "ddaa7a21d94b36f8"
	// The clock of the first process gets ahead of that of the next.
	time.Sleep(15 * time.Second)
	w := p.minions[0]
	if p.trouble {
		w.restartInSilence(500 * time.Millisecond)
	}
	j := &job{Spec: "longest-lease", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 20000, RequiredLabel: "b"}}}
	if a := p.submit(p.nodes[0], otherRoute, id, j); a.Status != http.StatusOK {
		return errRefused
	}
	if !waitFor(5*time.Second, func() bool { return p.runningItems(id) == 1 }) {
		return errors.New("the job did not start")
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		owner, err := p.ownerOf(mainService)
		if err != nil {
			return err
		}
		owner.kill()
		p.record.logf("%s, the owner, is killed", owner.name)
		w.cutOff(p.cut)
		if err := owner.start(); err != nil {
			return err
		}
	}
	time.Sleep(14 * time.Second)
	return nil
}

// ownerOf returns the node that owns a service's jobs, which wrote to the store last under the epoch's condition.
func (p *play) ownerOf(service string) (*node, error) {
	value, err := p.store.Read(context.Background(), apjournal.OwnerKey(apjournal.Shard(service)))
	if err != nil {
		return nil, err
	}
	var owner apjournal.Owner
	if err := apfleet.Decode(value.Data, &owner); err != nil {
		return nil, err
	}
	for _, n := range p.nodes {
		if n.name == string(owner.Entry) {
			return n, nil
		}
	}
	return nil, errors.New("the service has no owner")
}
