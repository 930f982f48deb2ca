package apsoak

import (
	"sync"
	"time"

	"auburnport/pkg/apjob"
)

// Pair is a feature of a job and a kind of step that was active while the job was unfinished.
type Pair struct {
	Feature Feature
	Kind    Kind
}

// tracker follows which jobs are unfinished and which steps are active, and from that derives which pairs a run has met.
type tracker struct {
	mu    sync.Mutex
	jobs  map[apjob.ID]*trackedJob
	steps []activeStep
}

// trackedJob is a job from the time of its acceptance.
type trackedJob struct {
	queue string
	// since holds the time from which the job has each of its features.
	since map[Feature]time.Time
	// endedAt is when the caller saw that the job had ended. It is zero before.
	endedAt time.Time
}

type activeStep struct {
	kind     Kind
	from, to time.Time
}

func newTracker() *tracker { return &tracker{jobs: make(map[apjob.ID]*trackedJob)} }

// jobAccepted notes that a job was accepted. The features of a queue that changes count only from the change.
func (t *tracker) jobAccepted(a Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[a.Submission.Job.ID] != nil {
		return
	}
	j := &trackedJob{queue: string(a.Submission.Job.Queue), since: make(map[Feature]time.Time)}
	for f := range featureCount {
		if a.Features.Has(f) && !f.changesQueue() {
			j.since[f] = time.Now()
		}
	}
	t.jobs[a.Submission.Job.ID] = j
}

// jobEnded notes that the caller saw that a job had ended, or that its cancel was acknowledged.
func (t *tracker) jobEnded(id apjob.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j := t.jobs[id]; j != nil && j.endedAt.IsZero() {
		j.endedAt = time.Now()
	}
}

// configCommitted notes that a version of the configuration, which changes some queues, was committed.
func (t *tracker) configCommitted(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.jobs {
		f, changed := changedFeature(j.queue, version)
		if _, had := j.since[f]; changed && !had && j.endedAt.IsZero() {
			j.since[f] = time.Now()
		}
	}
}

// stepDone notes that a step was active from a time until now.
func (t *tracker) stepDone(kind Kind, from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, activeStep{kind: kind, from: from, to: time.Now()})
}

// pairs returns the pairs met so far.
func (t *tracker) pairs() map[Pair]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	met := make(map[Pair]bool)
	for _, j := range t.jobs {
		for f, since := range j.since {
			for _, step := range t.steps {
				if !since.After(step.to) && (j.endedAt.IsZero() || j.endedAt.After(step.from)) {
					met[Pair{Feature: f, Kind: step.kind}] = true
				}
			}
		}
	}
	return met
}
