// Package apqueue holds the operators' settings of the queues that callers submit jobs to.
package apqueue

import (
	"net"
	"strings"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// Queue is the settings of a queue of jobs.
type Queue struct {
	Name apjob.Queue
	// Host and Prefix are the host and the path prefix of the requests for the queue. If several queues match, the
	// longest prefix wins.
	Host    string
	Prefix  string
	Service apfleet.ServiceName
	// MaxAttempts is the number of failed runs of a task after which its job fails; at least 1.
	MaxAttempts int
	// Priority ranks queues; 0 is the highest priority.
	Priority int
	// Stretch and Slack set the soft deadline of a job, counted from its submission: Stretch times the estimated
	// duration of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Advice is set if the queue's tasks need tickets from an advisor.
	Advice *AdvisorTiming
}

// AdvisorTiming holds the timing of a queue's advisor.
type AdvisorTiming struct {
	// Base plus PerWorker for each worker asked about is how long the advisor takes to answer.
	Base      time.Duration
	PerWorker time.Duration
	// ValidFor is how long a ticket is valid.
	ValidFor time.Duration
}

// Service is a pool of workers or a spare pool.
type Service struct {
	Name apfleet.ServiceName
	// Spare marks a spare pool, which holds VMs that are off.
	Spare bool
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of the operators' settings of all queues and services.
type Table struct {
	// Version increases with every change.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Find returns the queue for a request's host, with or without a port, and path. It also returns the rest of the
// path after the queue's prefix.
func (t *Table) Find(host, path string) (Queue, string, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
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

// Pools returns the names of the pools that run tasks, that is, all but the spare pools.
func (t *Table) Pools() []apfleet.ServiceName {
	var pools []apfleet.ServiceName
	for _, s := range t.Services {
		if !s.Spare {
			pools = append(pools, s.Name)
		}
	}
	return pools
}
