package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// crowded returns a full pool with a backlog: the load of a burst on a large pool.
func crowded(workers, jobs int) *apscheduler.Shard {
	s := apscheduler.New(1)
	for n := range workers {
		id := apjob.WorkerID(fmt.Sprintf("w%03d", n))
		s.Register(workerInfo(id, 32000), start)
		s.Report(id, apworker.Report{Clock: time.Second}, start, start)
	}
	for n := range jobs {
		s.Submit(&apjob.Job{
			ID: apjob.ID(fmt.Sprintf("%016x", n)), Queue: "q", Submitted: start,
			Steps: []apjob.Step{
				{Count: 8, Need: apjob.Resources{CPU: 3100, Memory: 3200}, Estimate: time.Second},
				{Count: 4, Need: apjob.Resources{CPU: 3100, Memory: 3200}, Estimate: time.Second, After: []int{0}},
			},
		}, 0, start)
	}
	s.Plan(start, start)
	storeAll(s)
	for _, order := range s.Orders(start) {
		if o, ok := order.(apscheduler.Start); ok {
			s.Answered(o.To.ID, o.Order.Run, false, nil, start)
		}
	}
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
