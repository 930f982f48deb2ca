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

// During a burst, small jobs that can still be on time take each piece of capacity that becomes free. A late gang
// must still get room for all its tasks.
func TestLateGangStartsDuringBurst(t *testing.T) {
	s := apscheduler.New(1)
	s.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": {MaxAttempts: 1, Stretch: 1.6, Slack: 600 * time.Millisecond}})
	s.Register(workerInfo("w1", 8000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	running := make(map[apjob.RunKey]time.Time)
	number, jobs := uint64(0), 0
	for passed := time.Duration(0); passed < 8*time.Second; passed += 100 * time.Millisecond {
		now := start.Add(passed)
		report := apworker.Report{Clock: time.Second + passed}
		for run, until := range running {
			if now.Before(until) {
				report.Running = append(report.Running, apworker.RunStatus{Run: run, Percent: 50})
				continue
			}
			number++
			report.Ends = append(report.Ends, apworker.RunEnd{Number: number, Run: run, Reason: apworker.EndDone})
			delete(running, run)
		}
		s.ApplyReport("w1", report, now, now)
		for range 2 {
			jobs++
			s.Submit(&apjob.Job{
				ID: apjob.ID(fmt.Sprintf("%016x", jobs)), Queue: "q", Submitted: now,
				Steps: []apjob.Step{{Count: 1, Need: apjob.Resources{CPU: 2000}, Estimate: time.Second}},
			}, 0, now)
		}
		if passed == 500*time.Millisecond {
			s.Submit(job(apjob.Step{Count: 3, Need: apjob.Resources{CPU: 2000}, Estimate: time.Second, Gang: true}), 0, now)
		}
		s.Plan(now, now)
		storeAll(s)
		for _, run := range starts(s.Orders(now)) {
			if run.Task.Job == jobID {
				return
			}
			running[run] = now.Add(time.Second + time.Duration(len(running))*150*time.Millisecond)
			s.OrderAnswered("w1", run, false, nil, now)
		}
	}
	t.Fatal("the gang was not started within 7.5 s")
}

// The load of a pool that is short of memory is measured by its memory, not by its CPU, so that the pool asks for
// enough machines.
func TestPoolLoadUsesScarcestResource(t *testing.T) {
	s := apscheduler.New(1)
	s.Register(workerInfo("w1", 32_000), start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	s.Submit(job(apjob.Step{Count: 4, Need: apjob.Resources{CPU: 1000, Memory: 32_000}, Estimate: time.Second}), 0, start)
	s.Plan(start, start)
	load := s.PoolLoad(start)
	assert.Equal(t, load.ReservedCPU["w1"], int64(32_000), "64 GB of 64 GB")
	assert.Equal(t, load.QueuedWork, int64(32_000), "two tasks of half a worker's memory for a second")
}
