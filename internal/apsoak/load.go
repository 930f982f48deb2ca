package apsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// queueBook holds the queues of the configuration. Each version has a marker queue of its own, by which
// entries show which version they have.
type queueBook struct {
	mu        sync.Mutex
	version   uint64
	confirmed uint64
}

const host = "queues.example"

func newQueueBook() *queueBook { return &queueBook{} }

func queue(name string, service apfleet.ServiceName) apemulator.QueueSpec {
	return apemulator.QueueSpec{
		Name: name, Host: host, Prefix: "/" + name + "/", Service: service, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond,
	}
}

// work are the queues that callers use; they stay.
func work() []apemulator.QueueSpec {
	return []apemulator.QueueSpec{queue("find", "search"), queue("notes", "search"), queue("book", "booking")}
}

func marker(version uint64) apemulator.QueueSpec {
	return queue(fmt.Sprintf("marker-%d", version), "search")
}

// next returns a new version.
func (b *queueBook) next() (uint64, []apemulator.QueueSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	return b.version, append(work(), marker(b.version))
}

// confirm notes that the store has a version.
func (b *queueBook) confirm(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed = max(b.confirmed, version)
}

// newest returns the newest version that the store has, and its marker.
func (b *queueBook) newest() (uint64, apemulator.QueueSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed, marker(b.confirmed)
}

// probe checks that no entry goes back a version within one life.
func (s *Soak) probe(ctx context.Context) error {
	type seen struct {
		life    int
		version uint64
	}
	had := make([]seen, len(s.nodes))
	caller := s.emulator.NewCaller()
	defer caller.Close()
	caller.Timeout = time.Second
	for pause(ctx, lookEvery) {
		for i, n := range s.nodes {
			version, queue := s.queues.newest()
			life := n.lives()
			outcome := caller.Probe(ctx, n.callers, queue)
			if n.lives() != life {
				continue
			}
			if newest, _ := s.queues.newest(); newest != version {
				continue
			}
			switch {
			case outcome.Status == http.StatusOK:
				had[i] = seen{life: life, version: version}
			case outcome.Status == http.StatusNotFound && had[i] == seen{life: life, version: version}:
				s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%s has gone back behind version %d", n.name, version)
			}
		}
	}
	return nil
}

// load hands jobs in, cancels some and asks for their state.
type load struct {
	soak   *Soak
	caller *apemulator.Caller
	queues []apemulator.QueueSpec
	mu     sync.Mutex
	random *rand.Rand
}

func newLoad(s *Soak) *load {
	return &load{soak: s, caller: s.emulator.NewCaller(), queues: work(), random: rand.New(rand.NewPCG(s.options.Seed, 2))}
}

const (
	// lastingJobs are handed in at the start.
	lastingJobs = 3
	cancelShare = 0.06
	poisonShare = 0.03
	// tries is how often a caller asks again, backoff its least pause.
	tries   = 4
	backoff = 150 * time.Millisecond
)

// run submits until ctx ends.
func (l *load) run(ctx context.Context) error {
	group := &errgroup.Group{}
	for range lastingJobs {
		submission, q := l.draw(true)
		group.Go(func() error { l.submit(ctx, submission, q); return nil })
	}
	for {
		l.mu.Lock()
		gap := time.Duration(l.random.ExpFloat64() / l.soak.options.Rate * float64(time.Second))
		cancel := l.random.Float64() < cancelShare
		l.mu.Unlock()
		if !pause(ctx, gap) {
			break
		}
		submission, q := l.draw(false)
		group.Go(func() error {
			if l.submit(ctx, submission, q) && cancel {
				l.cancel(ctx, submission.Job.ID, q)
			}
			return nil
		})
	}
	return group.Wait()
}

// draw returns the next job.
func (l *load) draw(lasting bool) (apemulator.Submission, apemulator.QueueSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	random := l.random
	q := l.queues[random.IntN(len(l.queues))]
	id := jobID(random)
	job := apjob.Job{ID: id, Queue: apjob.Queue(q.Name), Spec: "spec of " + string(id)}
	work := 200*time.Millisecond + time.Duration(random.Float64()*float64(1200*time.Millisecond))
	if lasting {
		job.Steps = []apjob.Step{{
			Count: 4, Need: apjob.Resources{CPU: 1000, Memory: 500}, LongRunning: true, MaxPerWorker: 1 + random.IntN(2), MaxUnavailable: 1 + random.IntN(2),
		}}
	} else {
		for n := range 1 + random.IntN(3) {
			step := apjob.Step{
				Count: 1 + random.IntN(5), Need: apjob.Resources{CPU: 500 + random.Int64N(3500), Memory: 200 + random.Int64N(2000)},
				Estimate: time.Duration(random.Float64() * 2 * float64(work)), Checkpoints: random.IntN(2) == 0, MaxPerWorker: random.IntN(3),
			}
			if n > 0 {
				step.After = []int{n - 1}
			}
			job.Steps = append(job.Steps, step)
		}
	}
	return apemulator.Submission{Job: job, Service: q.Service, TaskDuration: work, AlwaysFails: !lasting && random.Float64() < poisonShare}, q
}

// entry returns the entry for the next attempt, in rotation or not: callers keep what they have.
func (l *load) entry() *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.soak.nodes[l.random.IntN(len(l.soak.nodes))]
}

// submit hands a job in, again as callers do, and reports whether it was accepted. A refused job is handed
// in again after the time that it was told.
func (l *load) submit(ctx context.Context, submission apemulator.Submission, q apemulator.QueueSpec) bool {
	for try := range tries {
		outcome := l.caller.Submit(ctx, l.entry().callers, q, submission)
		if outcome.Status == http.StatusOK {
			return true
		}
		if !pause(ctx, max(outcome.RetryAfter, backoff<<try)) {
			return false
		}
	}
	return false
}

func (l *load) cancel(ctx context.Context, id apjob.ID, q apemulator.QueueSpec) {
	for try := range tries {
		if !pause(ctx, backoff<<try) {
			return
		}
		if outcome := l.caller.Cancel(ctx, l.entry().callers, q, id); outcome.Status == http.StatusOK || outcome.Status == http.StatusGone {
			return
		}
	}
}

// look asks for the state of the jobs that are not known to have ended.
func (l *load) look(ctx context.Context) {
	group := &errgroup.Group{}
	group.SetLimit(8)
	for _, open := range l.soak.emulator.Record.UnfinishedJobs() {
		group.Go(func() error {
			l.caller.Status(ctx, l.entry().callers, queue(string(open.Job.Queue), open.Service), open.Job.ID)
			return nil
		})
	}
	_ = group.Wait()
}
