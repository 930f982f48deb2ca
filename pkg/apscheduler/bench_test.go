package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"auburnport/pkg/apscheduler"
)

// crowded returns a full pool with a backlog: the load of a burst on a large pool.
func crowded(workers, jobs int) *apscheduler.Shard {
	s := crowdedPlan(workers, jobs)
	startPlanned(s)
	return s
}

// BenchmarkStep measures what an owner does for each event on a large pool: one decision, the orders
// that are due, and the workers to hold.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{10, 40}, {80, 320}, {300, 1200}} {
		b.Run(fmt.Sprintf("Workers%d", size.workers), func(b *testing.B) {
			s := crowded(size.workers, size.jobs)
			now := start.Add(time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				s.Plan(now, now)
				s.Orders(now)
				s.Workers()
				s.PoolLoad(now)
			}
		})
	}
}
