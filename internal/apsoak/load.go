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

// configVersions generates the versions of the configuration. Each version has a marker queue of its own: an
// entry that knows this queue has that version.
type configVersions struct {
	mu sync.Mutex
	// newest is the newest version that was generated, committed the newest that was committed to the store.
	newest    uint64
	committed uint64
}

const queueHost = "queues.example"

func newConfigVersions() *configVersions { return &configVersions{} }

func newQueue(name string, service apfleet.ServiceName) apemulator.QueueSpec {
	return apemulator.QueueSpec{
		Name: name, Host: queueHost, Prefix: "/" + name + "/", Service: service, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond,
	}
}

// workQueues returns the queues to which callers submit jobs. They are part of every version.
func workQueues() []apemulator.QueueSpec {
	return []apemulator.QueueSpec{newQueue("find", "search"), newQueue("notes", "search"), newQueue("book", "booking")}
}

func markerQueue(version uint64) apemulator.QueueSpec {
	return newQueue(fmt.Sprintf("marker-%d", version), "search")
}

// nextVersion returns the number of a new version and its queues.
func (c *configVersions) nextVersion() (uint64, []apemulator.QueueSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest++
	return c.newest, append(workQueues(), markerQueue(c.newest))
}

// markCommitted records that a version was committed to the store.
func (c *configVersions) markCommitted(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.committed = max(c.committed, version)
}

// newestCommitted returns the newest version that was committed to the store, and its marker queue.
func (c *configVersions) newestCommitted() (uint64, apemulator.QueueSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.committed, markerQueue(c.committed)
}

// checkConfigRollbacks checks that no entry returns to an earlier version of the configuration while its process
// runs.
func (s *Soak) checkConfigRollbacks(ctx context.Context) error {
	type observation struct {
		starts  int
		version uint64
	}
	observed := make([]observation, len(s.entries))
	caller := s.emulator.NewCaller()
	defer caller.Close()
	caller.Timeout = time.Second
	for pause(ctx, pollInterval) {
		for i, p := range s.entries {
			version, marker := s.configs.newestCommitted()
			starts := p.timesStarted()
			outcome := caller.Probe(ctx, p.callersAddress, marker)
			if p.timesStarted() != starts {
				continue
			}
			if newest, _ := s.configs.newestCommitted(); newest != version {
				continue
			}
			switch {
			case outcome.Status == http.StatusOK:
				observed[i] = observation{starts: starts, version: version}
			case outcome.Status == http.StatusNotFound && observed[i] == observation{starts: starts, version: version}:
				s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%s has returned to a configuration before version %d", p.name, version)
			}
		}
	}
	return nil
}

// loadGenerator submits jobs, cancels some of them and requests their state.
type loadGenerator struct {
	soak   *Soak
	caller *apemulator.Caller
	queues []apemulator.QueueSpec
	mu     sync.Mutex
	random *rand.Rand
}

func newLoadGenerator(s *Soak) *loadGenerator {
	return &loadGenerator{soak: s, caller: s.emulator.NewCaller(), queues: workQueues(), random: rand.New(rand.NewPCG(s.options.Seed, 2))}
}

const (
	// longRunningJobs is the number of long-running jobs, which are submitted at the start.
	longRunningJobs       = 3
	cancelProbability     = 0.06
	failingJobProbability = 0.03
	// maxAttempts bounds the attempts of a request. initialBackoff is the pause after the first one; it doubles
	// with each attempt.
	maxAttempts    = 4
	initialBackoff = 150 * time.Millisecond
)

// run submits jobs at random intervals until ctx ends.
func (l *loadGenerator) run(ctx context.Context) error {
	group := &errgroup.Group{}
	for range longRunningJobs {
		submission, q := l.nextJob(true)
		group.Go(func() error { l.submit(ctx, submission, q); return nil })
	}
	for {
		l.mu.Lock()
		gap := time.Duration(l.random.ExpFloat64() / l.soak.options.Rate * float64(time.Second))
		cancel := l.random.Float64() < cancelProbability
		l.mu.Unlock()
		if !pause(ctx, gap) {
			break
		}
		submission, q := l.nextJob(false)
		group.Go(func() error {
			if l.submit(ctx, submission, q) && cancel {
				l.cancel(ctx, submission.Job.ID, q)
			}
			return nil
		})
	}
	return group.Wait()
}

// nextJob generates a job and the queue for it.
func (l *loadGenerator) nextJob(longRunning bool) (apemulator.Submission, apemulator.QueueSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	random := l.random
	q := l.queues[random.IntN(len(l.queues))]
	id := newJobID(random)
	job := apjob.Job{ID: id, Queue: apjob.Queue(q.Name), Spec: "spec of " + string(id)}
	duration := 200*time.Millisecond + time.Duration(random.Float64()*float64(1200*time.Millisecond))
	if longRunning {
		job.Steps = []apjob.Step{{
			Count: 4, Need: apjob.Resources{CPU: 1000, Memory: 500}, LongRunning: true, MaxPerWorker: 1 + random.IntN(2), MaxUnavailable: 1 + random.IntN(2),
		}}
	} else {
		for n := range 1 + random.IntN(3) {
			step := apjob.Step{
				Count: 1 + random.IntN(5), Need: apjob.Resources{CPU: 500 + random.Int64N(3500), Memory: 200 + random.Int64N(2000)},
				Estimate: time.Duration(random.Float64() * 2 * float64(duration)), Checkpoints: random.IntN(2) == 0, MaxPerWorker: random.IntN(3),
			}
			if n > 0 {
				step.After = []int{n - 1}
			}
			job.Steps = append(job.Steps, step)
		}
	}
	return apemulator.Submission{Job: job, Service: q.Service, TaskDuration: duration, AlwaysFails: !longRunning && random.Float64() < failingJobProbability}, q
}

// randomEntry returns the entry for the next attempt. It may be one that the load balancer has taken out of
// rotation, since callers keep using their open connections.
func (l *loadGenerator) randomEntry() *entryProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.soak.entries[l.random.IntN(len(l.soak.entries))]
}

// submit submits a job with retries, as callers do, and reports whether it was accepted. It retries a refused
// job no sooner than the answer's Retry-After says.
func (l *loadGenerator) submit(ctx context.Context, submission apemulator.Submission, q apemulator.QueueSpec) bool {
	for attempt := range maxAttempts {
		outcome := l.caller.Submit(ctx, l.randomEntry().callersAddress, q, submission)
		if outcome.Status == http.StatusOK {
			return true
		}
		if !pause(ctx, max(outcome.RetryAfter, initialBackoff<<attempt)) {
			return false
		}
	}
	return false
}

func (l *loadGenerator) cancel(ctx context.Context, id apjob.ID, q apemulator.QueueSpec) {
	for attempt := range maxAttempts {
		if !pause(ctx, initialBackoff<<attempt) {
			return
		}
		if outcome := l.caller.Cancel(ctx, l.randomEntry().callersAddress, q, id); outcome.Status == http.StatusOK || outcome.Status == http.StatusGone {
			return
		}
	}
}

// pollStatuses requests the state of each unfinished job once.
func (l *loadGenerator) pollStatuses(ctx context.Context) {
	group := &errgroup.Group{}
	group.SetLimit(8)
	for _, submission := range l.soak.emulator.Record.UnfinishedJobs() {
		group.Go(func() error {
			l.caller.Status(ctx, l.randomEntry().callersAddress, newQueue(string(submission.Job.Queue), submission.Service), submission.Job.ID)
			return nil
		})
	}
	_ = group.Wait()
}
