package apscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// A burst places more tasks at once than orders can be in flight. Orders over the limit don't count as sent, so
// they stay due and don't wait for ResendAfter, 0.3 s or more.
func TestOrdersBeyondTheLimitStayDue(t *testing.T) {
	s := plannedBurst(20, 40)
	storeAll(s)
	first := starts(s.NextOrders(start, 30))
	assert.Equal(t, len(first), 30)
	now := start.Add(time.Millisecond)
	rest := starts(s.NextOrders(now, 1000))
	assert.Assert(t, len(rest) > 30, "%d orders", len(rest))
	sent := make(map[apjob.RunKey]bool)
	for _, run := range append(first, rest...) {
		assert.Assert(t, !sent[run], "%v was ordered twice", run)
		sent[run] = true
	}
	assert.Equal(t, len(starts(s.NextOrders(now, 1000))), 0)
}

// emptyPool returns a pool of identical idle workers.
func emptyPool(workers int, cpu int64) *apscheduler.Shard {
	s := apscheduler.New(1)
	for n := range workers {
		id := apjob.WorkerID(fmt.Sprintf("w%03d", n))
		s.Register(workerInfo(id, cpu), start)
		s.ApplyReport(id, apworker.Report{Clock: time.Second}, start, start)
	}
	return s
}

// plannedBurst returns a pool on which the first tasks of a burst are planned.
func plannedBurst(workers, jobs int) *apscheduler.Shard {
	s := emptyPool(workers, 32000)
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
	return s
}
