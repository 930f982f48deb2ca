package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"auburnport/pkg/apscheduler"
)

// startedBurst returns a full pool with a backlog of jobs, as during a burst.
func startedBurst(workers, jobs int) *apscheduler.Shard {
	s := plannedBurst(workers, jobs)
	startPlanned(s)
	return s
}

// BenchmarkSchedulingRound measures what an owner does for each event: one Plan, the orders that are due, the
// workers to poll and the pool's load.
func BenchmarkSchedulingRound(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{10, 40}, {80, 320}, {300, 1200}} {
		b.Run(fmt.Sprintf("Workers%d", size.workers), func(b *testing.B) {
			s := startedBurst(size.workers, size.jobs)
			now := start.Add(time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				s.Plan(now, now)
				s.Orders(now)
				s.WorkersToPoll()
				s.PoolLoad(now)
			}
		})
	}
}
