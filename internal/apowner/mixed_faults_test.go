package apowner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// between returns a random duration of whole milliseconds.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64((high-low)/time.Millisecond)))*time.Millisecond
}

// pick returns a random element.
func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// track plays one fault after the other until ctx ends. Each play cleans up after itself.
func (p *mixedPlay) track(ctx context.Context, number uint64, pause time.Duration, play func(context.Context, *rand.Rand)) error {
	random := rand.New(rand.NewPCG(p.script.seed, number))
	for apstore.Sleep(ctx, between(random, pause/8, pause)) {
		play(ctx, random)
	}
	return nil
}

// disturbStore lets the store fail for all entries.
func (p *mixedPlay) disturbStore(ctx context.Context, random *rand.Rand) {
	switch random.IntN(4) {
	case 0:
		lapsed := map[apjob.WorkerID]bool{}
		p.faults.down.Store(true)
		p.log("", "store down")
		lasts := between(random, 2*time.Second, 8*time.Second)
		apstore.Sleep(ctx, lasts/2)
		for _, id := range p.workers {
			if random.IntN(2) == 0 {
				lapsed[id] = true
				p.unregister(id)
			}
		}
		apstore.Sleep(ctx, lasts/2)
		p.faults.down.Store(false)
		p.log("", "store up")
		for id := range lapsed {
			time.AfterFunc(between(random, 100*time.Millisecond, 2*time.Second), func() { p.registerAgain(id) })
		}
	case 1:
		p.faults.lossy.Store(true)
		p.log("", "writes lost and late")
		apstore.Sleep(ctx, between(random, 3*time.Second, 12*time.Second))
		p.faults.lossy.Store(false)
		p.log("", "writes answered again")
	case 2:
		p.faults.forgetful.Store(true)
		p.log("", "watches lose their history")
		apstore.Sleep(ctx, between(random, 500*time.Millisecond, 4*time.Second))
		p.faults.forgetful.Store(false)
	default:
		p.faults.delay.Store(int64(between(random, 50*time.Millisecond, 500*time.Millisecond)))
		apstore.Sleep(ctx, between(random, 2*time.Second, 6*time.Second))
		p.faults.delay.Store(0)
	}
}

// disturbEntry cuts an entry off from the store, ends its lease, stops its process for a while, or ends it and starts another
// under its name.
func (p *mixedPlay) disturbEntry(ctx context.Context, random *rand.Rand) {
	e := pick(random, p.entries)
	if !e.disturbed.TryLock() {
		return
	}
	defer e.disturbed.Unlock()
	e.mu.Lock()
	store, stop, ended := e.store, e.stop, e.ended
	e.mu.Unlock()
	kind := random.IntN(5)
	p.log("", "%s: %s", e.name, []string{"cut off from the store", "lease ended by the store", "stopped", "paused", "killed"}[kind])
	switch kind {
	case 0:
		store.cutOff.Store(true)
		apstore.Sleep(ctx, between(random, time.Second, 9*time.Second))
		store.cutOff.Store(false)
		p.log("", "%s: reaches the store", e.name)
	case 1:
		if lease := store.lease.Load(); lease != 0 {
			_ = p.store.Revoke(ctx, apstore.LeaseID(lease))
		}
	case 2:
		stop()
		<-ended
		apstore.Sleep(ctx, between(random, 0, 2*time.Second))
		p.startEntry(e, random)
	case 3:
		store.paused.Store(true)
		p.network.setPaused(e.name, true)
		apstore.Sleep(ctx, between(random, 300*time.Millisecond, 9*time.Second))
		p.network.setPaused(e.name, false)
		store.paused.Store(false)
		p.log("", "%s: goes on", e.name)
	default:
		links := p.linksOf(e.name)
		store.cutOff.Store(true)
		p.network.set(p.network.cut, true, links...)
		stop()
		<-ended
		p.network.set(p.network.cut, false, links...)
		p.startEntry(e, random)
	}
}

// linksOf returns the links of an entry to all workers.
func (p *mixedPlay) linksOf(name apfleet.EntryName) []link {
	var links []link
	for _, id := range p.workers {
		links = append(links, link{name, id})
	}
	return links
}

// value returns a worker's registration.
func (p *mixedPlay) value(id apjob.WorkerID) []byte {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.pool.workers[id].registrationValue()
}

func (p *mixedPlay) write(id apjob.WorkerID, value []byte) {
	_, _ = p.store.Commit(context.Background(), apstore.Transaction{Puts: []apstore.Put{{Key: registrationKey(id), Data: value}}})
}

// unregister removes a worker's registration until registerAgain was called as often.
func (p *mixedPlay) unregister(id apjob.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unregistered[id]++
	p.log(id, "registration lapses")
	_, _ = p.store.Commit(context.Background(), apstore.Transaction{Removals: []apfleet.Key{registrationKey(id)}})
}

func (p *mixedPlay) registerAgain(id apjob.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unregistered[id]--
	p.writeIfRegistered(id)
}

// writeIfRegistered writes a worker's registration unless it is to have none.
func (p *mixedPlay) writeIfRegistered(id apjob.WorkerID) {
	p.pool.mu.Lock()
	down := p.pool.workers[id].down
	p.pool.mu.Unlock()
	if p.unregistered[id] == 0 && !down && !p.faults.down.Load() {
		p.write(id, p.value(id))
	}
}

// keepRegistered writes the registrations of all workers now and then until ctx ends.
func (p *mixedPlay) keepRegistered(ctx context.Context) error {
	for {
		p.mu.Lock()
		for _, id := range p.workers {
			p.writeIfRegistered(id)
		}
		p.mu.Unlock()
		if !apstore.Sleep(ctx, 2*time.Second) {
			return nil
		}
	}
}

// disturbRegistration lets a registration lapse, be written late, or be overwritten by another writer.
func (p *mixedPlay) disturbRegistration(ctx context.Context, random *rand.Rand) {
	id := pick(random, p.workers)
	switch random.IntN(5) {
	case 0:
		p.unregister(id)
		apstore.Sleep(ctx, between(random, 100*time.Millisecond, 500*time.Millisecond))
		p.registerAgain(id)
	case 1:
		p.unregister(id)
		time.AfterFunc(between(random, 500*time.Millisecond, 6*time.Second), func() { p.registerAgain(id) })
	case 2:
		value := p.foreignValue(random)
		p.log(id, "registration of another writer: %s", value)
		p.write(id, value)
		apstore.Sleep(ctx, between(random, 100*time.Millisecond, 2*time.Second))
		if random.IntN(2) == 0 {
			p.unregister(id)
			apstore.Sleep(ctx, between(random, 100*time.Millisecond, 2*time.Second))
			p.registerAgain(id)
		}
	default:
		value := p.value(id)
		time.AfterFunc(between(random, 500*time.Millisecond, 6*time.Second), func() {
			p.log(id, "registration of earlier written: %s", value)
			p.write(id, value)
		})
	}
}

// foreignValue returns a registration that names no address, or the address of some worker, with a start time or without one.
func (p *mixedPlay) foreignValue(random *rand.Rand) []byte {
	if random.IntN(2) == 0 {
		return []byte{1}
	}
	address, _, _ := strings.Cut(string(p.value(pick(random, p.workers))), " ")
	return fmt.Appendf(nil, "%s %d", address, time.Now().Add(time.Duration(random.IntN(10)-5)*time.Second).UnixNano())
}

// disturbWorker lets a worker fall silent, refuse connections, be cut off, or start again.
func (p *mixedPlay) disturbWorker(ctx context.Context, random *rand.Rand) {
	id := pick(random, p.workers)
	one := link{pick(random, p.entries).name, id}
	all := make([]link, 0, len(p.entries))
	for _, e := range p.entries {
		all = append(all, link{e.name, id})
	}
	lasts := between(random, time.Second, 8*time.Second)
	kind := random.IntN(9)
	if kind >= 7 && !p.script.workersRestart {
		kind = random.IntN(7)
	}
	switch kind {
	case 0:
		p.log(id, "silent for %v", lasts)
		p.pool.setSilent(id, true)
		apstore.Sleep(ctx, lasts)
		p.pool.setSilent(id, false)
	case 1:
		p.cut(ctx, p.network.refused, "refuses", lasts, id, all...)
	case 2:
		p.cut(ctx, p.network.refused, "refuses", lasts, id, one)
	case 3:
		p.cut(ctx, p.network.cut, "is cut off from", lasts, id, one)
	case 4:
		p.cut(ctx, p.network.cut, "is cut off from", lasts, id, all...)
	case 5:
		p.cut(ctx, p.network.oneWay, "loses its answers to", lasts, id, pick(random, [][]link{all, {one}})...)
	case 6:
		lapse := time.AfterFunc(between(random, 0, lasts), func() { p.unregister(id) })
		p.cut(ctx, p.network.refused, "refuses", lasts, id, pick(random, [][]link{all, {one}})...)
		if !lapse.Stop() {
			p.registerAgain(id)
		}
	case 7:
		p.restartWorker(ctx, id, random)
	default:
		time.AfterFunc(between(random, 0, lasts), func() { p.restartWorker(ctx, id, rand.New(rand.NewPCG(p.script.seed, uint64(lasts)))) })
		p.cut(ctx, p.network.cut, "is cut off from", lasts, id, pick(random, [][]link{all, {one}})...)
	}
}

// cut cuts links of a worker for a while.
func (p *mixedPlay) cut(ctx context.Context, links map[link]bool, how string, lasts time.Duration, id apjob.WorkerID, cut ...link) {
	names := make([]apfleet.EntryName, 0, len(cut))
	for _, l := range cut {
		names = append(names, l.entry)
	}
	p.log(id, "%s %v for %v", how, names, lasts)
	p.network.set(links, true, cut...)
	apstore.Sleep(ctx, lasts)
	p.network.set(links, false, cut...)
}

// restartWorker ends a worker's process and starts another one under its ID, mostly after a while.
func (p *mixedPlay) restartWorker(ctx context.Context, id apjob.WorkerID, random *rand.Rand) {
	p.log(id, "process ends")
	p.pool.crash(id)
	if random.IntN(2) == 0 {
		apstore.Sleep(ctx, between(random, 100*time.Millisecond, 4*time.Second))
	}
	earlier := p.value(id)
	p.pool.mu.Lock()
	old := p.pool.workers[id]
	p.pool.mu.Unlock()
	address := old.address
	if p.script.addressesChange && random.IntN(3) == 0 {
		address = p.nextAddress(random, old.address)
	}
	p.pool.restart(id)
	p.pool.mu.Lock()
	s := p.pool.workers[id]
	s.address, s.drift = address, p.script.maxDrift*random.Float64()
	p.pool.mu.Unlock()
	p.log(id, "next process starts at %s", s.address)
	switch random.IntN(3) {
	case 0:
		p.mu.Lock()
		p.writeIfRegistered(id)
		p.mu.Unlock()
	case 1:
		time.AfterFunc(between(random, 100*time.Millisecond, 6*time.Second), func() {
			p.log(id, "registration of earlier process written")
			p.write(id, earlier)
		})
	default:
	}
}

// crash ends the process of a worker.
func (p *fakePool) crash(id apjob.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.workers[id]
	p.endDueRuns(s)
	s.down, s.silent = true, true
	clear(s.running)
	s.unackedEnds = nil
}
