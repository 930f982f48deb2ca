package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// callTimeout is how long a client waits for the answer to an order, and for that to a poll beyond its wait.
const callTimeout = 500 * time.Millisecond

// link is the way from an entry to a worker.
type link struct {
	entry  apfleet.EntryName
	worker apjob.WorkerID
}

// fakeNetwork loses, delays and refuses calls of entries to workers.
type fakeNetwork struct {
	mu sync.Mutex
	// cut holds the links whose calls are lost, oneWay those whose answers are lost, refused those whose connections are refused.
	cut, oneWay, refused map[link]bool
	// paused holds the entries whose process is stopped.
	paused map[apfleet.EntryName]bool
	// lostRate is the share of calls that are carried out and whose answer is lost, lateRate that of those that are
	// carried out up to 12 s later, slowRate that of those that are slow, before or after they are carried out.
	lostRate, lateRate, slowRate float64
	// Late starts and late polls may be carried out by a worker's next process. Ends of that process may be acknowledged
	// by a poll that was sent before its sender knew of the restart.
	startsReachNextProcess bool
	pollsReachNextProcess  bool
	acksReachNextProcess   bool
	seed                   uint64
	// streams holds a random source for each link, so that calls on one don't change the fate of those on others.
	streams map[link]*rand.Rand
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{
		seed: seed, cut: map[link]bool{}, oneWay: map[link]bool{}, refused: map[link]bool{}, paused: map[apfleet.EntryName]bool{},
		streams: map[link]*rand.Rand{},
	}
}

// set changes whether the links in a set are cut or refused.
func (n *fakeNetwork) set(links map[link]bool, value bool, changed ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range changed {
		links[l] = value
	}
}

// fate is what becomes of a call.
type fate struct {
	cut, refused, lost, late bool
	// delay is that of a late call, slowBefore and slowAfter those of a slow one and of its answer.
	delay, slowBefore, slowAfter time.Duration
}

// setPaused stops the process of an entry, or lets it go on.
func (n *fakeNetwork) setPaused(entry apfleet.EntryName, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[entry] = paused
}

// awaitProcess waits while the process of an entry is stopped.
func (n *fakeNetwork) awaitProcess(ctx context.Context, entry apfleet.EntryName) {
	for {
		n.mu.Lock()
		paused := n.paused[entry]
		n.mu.Unlock()
		if !paused || !apstore.Sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

// draw returns the fate of a call.
func (n *fakeNetwork) draw(l link) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	random := n.streams[l]
	if random == nil {
		sum := uint64(0)
		for _, c := range fmt.Sprint(l) {
			sum = sum*31 + uint64(c)
		}
		random = rand.New(rand.NewPCG(n.seed, sum))
		n.streams[l] = random
	}
	share := random.Float64()
	delay := 200*time.Millisecond + time.Duration(random.Int64N(int64(1800*time.Millisecond)))
	if random.IntN(2) == 0 {
		delay = 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
	}
	f := fate{
		cut: n.cut[l], refused: n.refused[l], delay: delay,
		lost: share < n.lostRate, late: share >= n.lostRate && share < n.lostRate+n.lateRate,
	}
	if random.Float64() < n.slowRate {
		f.slowBefore = time.Duration(random.Int64N(int64(time.Second)))
	}
	if random.Float64() < n.slowRate {
		f.slowAfter = time.Duration(random.Int64N(int64(400 * time.Millisecond)))
	}
	return f
}

// losesAnswers reports whether the answers on a link don't arrive.
func (n *fakeNetwork) losesAnswers(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l] || n.oneWay[l] || n.refused[l]
}

// networkClient is an entry's client of the workers, for one ownership of a shard.
type networkClient struct {
	*fakePool
	network *fakeNetwork
	entry   apfleet.EntryName
	permit  *aplease.Permit
	// reported holds the start of the process that has last reported to this client, by worker.
	reported *sync.Map
}

// workerCall describes a call to a worker.
type workerCall struct {
	to  apworker.Target
	run apjob.RunKey
	// name is what the history calls it.
	name    string
	timeout time.Duration
	// reachesNext means that a worker's next process may carry it out if it is late.
	reachesNext bool
}

// send makes a call to a worker.
func send[T any](ctx context.Context, c networkClient, call workerCall, do func(context.Context) (T, error)) (T, error) {
	l := link{c.entry, call.to.ID}
	sentAt := time.Now()
	c.network.awaitProcess(ctx, c.entry)
	f := c.network.draw(l)
	var answer T
	var err error
	switch {
	case f.refused:
		return answer, apcode.Errorf(apcode.WorkerGone, "%s refuses connections", l.worker)
	case f.cut:
		err = apcode.Errorf(apcode.WorkerSilent, "%s can't be reached", l.worker)
	case f.late:
		process := c.processStart(l.worker)
		c.history.add(call.run, l.worker, string(c.entry), "%s will be carried out %.2f s later", call.name, f.delay.Seconds())
		time.AfterFunc(f.delay, func() {
			if !call.reachesNext && !c.processStart(l.worker).Equal(process) {
				return
			}
			c.history.add(call.run, l.worker, string(c.entry), "%s is carried out %.2f s late", call.name, f.delay.Seconds())
			_, _ = do(context.WithoutCancel(ctx))
		})
		err = apcode.Errorf(apcode.WorkerSilent, "no answer from %s", l.worker)
	default:
		answer, err = sendSlowly(ctx, c, call, f, do)
		c.network.awaitProcess(ctx, c.entry)
		if f.lost || c.network.losesAnswers(l) || time.Since(sentAt) > call.timeout {
			c.history.add(call.run, l.worker, string(c.entry), "answer to %s lost: %v", call.name, err)
			var none T
			answer, err = none, apcode.Errorf(apcode.WorkerSilent, "no answer from %s", l.worker)
		}
	}
	if apcode.Is(err, apcode.WorkerSilent) {
		apstore.Sleep(ctx, time.Until(sentAt.Add(call.timeout)))
	}
	return answer, err
}

// shortestTimer is used in place of 0: timers that fire at once in bubbles of testing/synctest crash the race detector.
const shortestTimer = time.Nanosecond

// sendSlowly makes a call that may be slow. It is carried out although its sender may have given it up.
func sendSlowly[T any](ctx context.Context, c networkClient, call workerCall, f fate, do func(context.Context) (T, error)) (T, error) {
	type result struct {
		answer T
		err    error
	}
	answered := make(chan result, 1)
	process := c.processStart(call.to.ID)
	time.AfterFunc(max(f.slowBefore, shortestTimer), func() {
		var r result
		if f.slowBefore > 0 && !call.reachesNext && !c.processStart(call.to.ID).Equal(process) {
			r.err = apcode.Errorf(apcode.WorkerSilent, "no answer from %s", call.to.ID)
		} else {
			r.answer, r.err = do(context.WithoutCancel(ctx))
		}
		time.AfterFunc(max(f.slowAfter, shortestTimer), func() { answered <- r })
	})
	select {
	case r := <-answered:
		return r.answer, r.err
	case <-ctx.Done():
		var none T
		return none, apcode.Errorf(apcode.WorkerSilent, "the call to %s was given up", call.to.ID)
	}
}

func (p *fakePool) processStart(id apjob.WorkerID) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].processStartedAt
}

func (c networkClient) Start(ctx context.Context, to apworker.Target, order apworker.StartOrder) (apworker.Reply, error) {
	c.network.awaitProcess(ctx, c.entry)
	if err := c.permit.Check(callTimeout); err != nil {
		return apworker.Reply{}, err
	}
	call := workerCall{to: to, run: order.Run, name: "start", timeout: callTimeout, reachesNext: c.network.startsReachNextProcess}
	return send(ctx, c, call, func(ctx context.Context) (apworker.Reply, error) { return c.fakePool.Start(ctx, to, order) })
}

func (c networkClient) Stop(ctx context.Context, to apworker.Target, order apworker.StopOrder) (apworker.Reply, error) {
	call := workerCall{to: to, run: order.Run, name: "stop", timeout: callTimeout, reachesNext: true}
	return send(ctx, c, call, func(ctx context.Context) (apworker.Reply, error) { return c.fakePool.Stop(ctx, to, order) })
}

func (c networkClient) Poll(ctx context.Context, to apworker.Target, order apworker.PollOrder) (apworker.Report, error) {
	name := fmt.Sprintf("poll with LastSeen %d, deadline %.2f s, fence %d", order.AckedEnd, order.Deadline.Seconds(), order.Fence)
	call := workerCall{to: to, name: name, timeout: order.Wait + callTimeout, reachesNext: c.network.pollsReachNextProcess}
	known, _ := c.reported.Load(to.ID)
	report, err := send(ctx, c, call, func(ctx context.Context) (apworker.Report, error) {
		if !c.network.acksReachNextProcess && known != c.processStart(to.ID) {
			order.AckedEnd = 0
		}
		return c.fakePool.Poll(ctx, to, order)
	})
	if err == nil {
		c.reported.Store(to.ID, report.StartedAt)
	}
	return report, err
}

// calm ends the faults of calls.
func (n *fakeNetwork) calm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostRate, n.lateRate, n.slowRate = 0, 0, 0
	clear(n.cut)
	clear(n.oneWay)
	clear(n.paused)
	clear(n.refused)
}
