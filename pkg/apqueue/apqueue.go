// Package apqueue holds the queues that callers submit jobs to, as the operators set them.
package apqueue

import (
	"net"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// Queue is a queue of jobs.
type Queue struct {
	Name apjob.Queue
	// Host and Prefix select the queue; the longest prefix wins.
	Host    string
	Prefix  string
	Service apfleet.ServiceName
	// MaxAttempts is at least 1.
	MaxAttempts int
	// Priority orders queues; 0 comes first.
	Priority int
	// Stretch times a job's longest chain of work, plus Slack, is when it should be done.
	Stretch float64
	Slack   time.Duration
	// Advice is set when the queue's tasks need a ticket of the advisor.
	Advice *Advice
}

// Advice tells how the advisor of a queue answers.
type Advice struct {
	// Base and PerWorker make up the time of an answer.
	Base      time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name apfleet.ServiceName
	// Spare pools hold machines that are off.
	Spare bool
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of all queues and services.
type Table struct {
	// Version rises with every change.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Find returns the queue for a host and a path, and the rest of the path behind its prefix.
func (t *Table) Find(host, path string) (Queue, string, bool) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	best := -1
	for i := range t.Queues {
		q := &t.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(t.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return t.Queues[best], path[len(t.Queues[best].Prefix):], true
}

// Pools returns the services that run tasks.
func (t *Table) Pools() []apfleet.ServiceName {
	var pools []apfleet.ServiceName
	for _, s := range t.Services {
		if !s.Spare {
			pools = append(pools, s.Name)
		}
	}
	return pools
}
