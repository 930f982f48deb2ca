package apsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"auburnport/pkg/apfleet"
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

const (
	queueHost = "queues.example"
	// maxJobAttempts is the number of attempts that each queue allows.
	maxJobAttempts = 3
	// Queues of which a new version of the configuration changes something. Each version but the first lacks the queue
	// that the version before it has added as leavingQueue.
	movingQueue    = "moves"
	returningQueue = "returns"
	leavingQueue   = "leaves"
)

func newConfigVersions() *configVersions { return &configVersions{} }

func newQueue(name string, service apfleet.ServiceName) apemulator.QueueSpec {
	return apemulator.QueueSpec{
		Name: name, Host: queueHost, Prefix: "/" + name + "/", Service: service, MaxAttempts: maxJobAttempts, Stretch: 1.6, Slack: 600 * time.Millisecond,
	}
}

// workQueues returns the queues that are the same in every version and need no advice.
func workQueues() []apemulator.QueueSpec {
	return []apemulator.QueueSpec{newQueue("find", "search"), newQueue("notes", "search"), newQueue("book", "booking")}
}

// advisedQueue returns the queue whose jobs run only where the advisor allows.
func advisedQueue() apemulator.QueueSpec {
	q := newQueue("advised", "search")
	q.Advice = &apemulator.AdviceSpec{Base: 30 * time.Millisecond, PerWorker: 2 * time.Millisecond, ValidFor: 3 * time.Second}
	return q
}

// changingQueue returns the form of a queue that changes with the version of the configuration.
func changingQueue(name string, version uint64) apemulator.QueueSpec {
	switch {
	case name == leavingQueue:
		return newQueue(fmt.Sprintf("%s-%d", leavingQueue, version), "search")
	case name == movingQueue && version%2 == 0:
		return newQueue(name, "search")
	default:
		return newQueue(name, "booking")
	}
}

// queueFor returns the queue of a job with a feature.
func queueFor(random *rand.Rand, f Feature, version uint64) apemulator.QueueSpec {
	q := workQueues()[random.IntN(len(workQueues()))]
	switch f {
	case FeatureAdvice:
		return advisedQueue()
	case FeatureBackfill:
		return workQueues()[0]
	case FeatureQueueMoves:
		return changingQueue(movingQueue, version)
	case FeatureQueueRemoved:
		return changingQueue(leavingQueue, version)
	case FeatureQueueReturns:
		return changingQueue(returningQueue, version)
	default:
		return q
	}
}

// changedFeature returns the feature that the unfinished jobs in a queue get when a version is committed, if it changes the
// queue.
func changedFeature(queue string, version uint64) (Feature, bool) {
	switch {
	case queue == movingQueue:
		return FeatureQueueMoves, true
	case queue == returningQueue && version%2 == 1:
		return FeatureQueueReturns, true
	default:
		return FeatureQueueRemoved, queue == returningQueue || queue == changingQueue(leavingQueue, version-1).Name
	}
}

func markerQueue(version uint64) apemulator.QueueSpec {
	return newQueue(fmt.Sprintf("marker-%d", version), "search")
}

// workingQueues returns the queues of a version to which callers submit jobs.
func workingQueues(version uint64) []apemulator.QueueSpec {
	queues := append(workQueues(), advisedQueue(), changingQueue(movingQueue, version), changingQueue(leavingQueue, version))
	if version%2 == 1 {
		queues = append(queues, changingQueue(returningQueue, version))
	}
	return queues
}

// nextVersion returns the number of a new version.
func (c *configVersions) nextVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest++
	return c.newest
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
