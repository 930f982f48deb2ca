package apsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// loadGenerator plays the callers: it submits jobs, cancels some of them and requests their state.
type loadGenerator struct {
	soak   *Soak
	caller *apemulator.Caller
	// impatient is a caller that leaves after impatientTimeout.
	impatient *apemulator.Caller
	mu        sync.Mutex
	// random selects the entries that are asked for the state of jobs.
	random *rand.Rand
}

func newLoadGenerator(s *Soak) *loadGenerator {
	l := &loadGenerator{soak: s, caller: s.emulator.NewCaller(), impatient: s.emulator.NewCaller(), random: rand.New(rand.NewPCG(s.options.Seed, 3))}
	l.impatient.Timeout = impatientTimeout
	return l
}

const (
	// maxAttempts bounds the attempts of a request. initialBackoff is the pause after the first one; it doubles
	// with each attempt.
	maxAttempts    = 4
	initialBackoff = 150 * time.Millisecond
	// impatientTimeout is how long an impatient caller waits for the answer to a submission. maxCancelDelay bounds how long
	// callers wait before they cancel.
	impatientTimeout = 60 * time.Millisecond
	maxCancelDelay   = 2 * time.Second
	// maxCancelAttempts bounds the attempts of an impatient caller to cancel what it may have submitted.
	maxCancelAttempts = 8
	// repetitions is how often a repeated job is submitted again, at intervals of repeatInterval.
	repetitions    = 3
	repeatInterval = 700 * time.Millisecond
)

// run plays the arrivals until ctx ends.
func (l *loadGenerator) run(ctx context.Context, arrivals []Arrival) error {
	group := &errgroup.Group{}
	for _, a := range arrivals {
		if !pause(ctx, time.Until(l.soak.startedAt.Add(a.At))) {
			break
		}
		group.Go(func() error {
			l.play(ctx, a)
			return nil
		})
	}
	return group.Wait()
}

// play plays the caller of one job.
func (l *loadGenerator) play(ctx context.Context, a Arrival) {
	random := rand.New(rand.NewPCG(a.Seed, 4))
	job := &a.Submission.Job
	if job.Repeat > 0 {
		job.First = time.Now().Add(a.FirstIn).Truncate(time.Millisecond)
	}
	q := newQueue(string(job.Queue), a.Submission.Service)
	if a.Features.Has(FeatureImpatient) {
		l.soak.tracker.jobAccepted(a)
		l.impatient.Submit(ctx, l.entryFor(random).callersAddress, q, a.Submission)
		l.cancel(ctx, random, job.ID, q, maxCancelAttempts)
		return
	}
	if !l.submit(ctx, random, a.Submission, q) {
		return
	}
	l.soak.tracker.jobAccepted(a)
	if a.Features.Has(FeatureRepeated) {
		for range repetitions {
			if !pause(ctx, repeatInterval) {
				return
			}
			l.caller.Submit(ctx, l.entryFor(random).callersAddress, q, a.Submission)
		}
	}
	if a.Features.Has(FeatureCancel) {
		l.cancel(ctx, random, job.ID, q, maxAttempts)
	}
}

// entryFor returns the entry for the next attempt. It may be one that the load balancer has taken out of rotation, since
// callers keep using their open connections.
func (l *loadGenerator) entryFor(random *rand.Rand) *entryProcess {
	return l.soak.entries[random.IntN(len(l.soak.entries))]
}

// submit submits a job with retries, as callers do, and reports whether it was accepted. It retries a refused
// job no sooner than the answer's Retry-After says.
func (l *loadGenerator) submit(ctx context.Context, random *rand.Rand, submission apemulator.Submission, q apemulator.QueueSpec) bool {
	for attempt := range maxAttempts {
		outcome := l.caller.Submit(ctx, l.entryFor(random).callersAddress, q, submission)
		if outcome.Status == http.StatusOK {
			return true
		}
		if !pause(ctx, max(outcome.RetryAfter, initialBackoff<<attempt)) {
			return false
		}
	}
	return false
}

// cancel requests the cancellation of a job, some time later, until it is acknowledged.
func (l *loadGenerator) cancel(ctx context.Context, random *rand.Rand, id apjob.ID, q apemulator.QueueSpec, attempts int) {
	pause(ctx, time.Duration(random.Float64()*float64(maxCancelDelay)))
	for attempt := range attempts {
		if !pause(ctx, initialBackoff<<min(attempt, maxAttempts)) {
			return
		}
		if outcome := l.caller.Cancel(ctx, l.entryFor(random).callersAddress, q, id); outcome.Status == http.StatusOK || outcome.Status == http.StatusGone {
			l.soak.tracker.jobEnded(id)
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
			l.mu.Lock()
			entry := l.entryFor(l.random)
			l.mu.Unlock()
			q := newQueue(string(submission.Job.Queue), submission.Service)
			if outcome := l.caller.Status(ctx, entry.callersAddress, q, submission.Job.ID); outcome.State.Final() {
				l.soak.tracker.jobEnded(submission.Job.ID)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// newJobID returns a job ID from a seeded source, so that the logs of two runs with the same seed can be compared.
func newJobID(random *rand.Rand) apjob.ID { return apjob.ID(fmt.Sprintf("%016x", random.Uint64())) }
