package apscheduler_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

const jobID apjob.ID = "5c0e7a21d94b36f8"

var start = time.Unix(1_000_000, 0)

func taskID(step, index int) apjob.TaskID { return apjob.TaskID{Job: jobID, Step: step, Index: index} }

func workerInfo(id apjob.WorkerID, cpu int64) apworker.Info {
	return apworker.Info{
		ID: id, Service: "pool", Address: netip.MustParseAddrPort("127.0.0.1:9"), Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: apjob.Resources{CPU: cpu, Memory: 64_000},
	}
}

func job(steps ...apjob.Step) *apjob.Job {
	return &apjob.Job{ID: jobID, Queue: "q", Steps: steps, Submitted: start}
}

// starts returns the runs of the Start orders.
func starts(orders []apscheduler.Order) []apjob.RunKey {
	var runs []apjob.RunKey
	for _, order := range orders {
		if s, ok := order.(apscheduler.Start); ok {
			runs = append(runs, s.Order.Run)
		}
	}
	return runs
}

// stops returns the runs of the Stop orders.
func stops(orders []apscheduler.Order) []apjob.RunKey {
	var runs []apjob.RunKey
	for _, order := range orders {
		if s, ok := order.(apscheduler.Stop); ok {
			runs = append(runs, s.Order.Run)
		}
	}
	return runs
}

// startPlanned stores all batches, confirms the starts that are due, and returns the worker of each run.
func startPlanned(s *apscheduler.Shard) map[apjob.RunKey]apjob.WorkerID {
	storeAll(s)
	workers := make(map[apjob.RunKey]apjob.WorkerID)
	for _, order := range s.Orders(start) {
		if o, ok := order.(apscheduler.Start); ok {
			workers[o.Order.Run] = o.To.ID
			s.OrderAnswered(o.To.ID, o.Order.Run, false, nil, start)
		}
	}
	return workers
}

// lastRevision is how far the store's revision is above firstRevision. It rises with each write.
var lastRevision atomic.Uint64

// firstRevision is above the fences of the tests' owners.
const firstRevision = 100

// nextRevision returns the revision of a write. Tests that run in parallel share the store's revision.
func nextRevision() apstore.Revision { return apstore.Revision(firstRevision + lastRevision.Add(1)) }

// storeAll stores every batch and returns the last record of each job.
func storeAll(s *apscheduler.Shard) map[apjob.ID]apscheduler.Record {
	records := make(map[apjob.ID]apscheduler.Record)
	for s.HasBatch() {
		batch := s.NextBatch()
		for _, r := range batch.Records {
			records[r.Job] = r
		}
		s.BatchStored(batch, nextRevision())
	}
	return records
}

// A new owner waits for a worker's report, adopts the runs in it and restarts the tasks that are missing.
func TestNewOwnerAdoptsRunningTasks(t *testing.T) {
	first := apscheduler.New(1)
	first.Register(workerInfo("w1", 4000), start)
	first.ApplyReport("w1", apworker.Report{Clock: time.Second}, start, start)
	def := job(apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1000}})
	first.Submit(def, 0, start)
	first.Plan(start, start)
	stored := storeAll(first)[jobID]
	assert.Equal(t, len(starts(first.Orders(start))), 2)

	next := apscheduler.New(2)
	next.RestoreJob(def, stored.Progress, 0, start)
	next.Register(workerInfo("w1", 4000), start)
	next.Plan(start, start)
	assert.Equal(t, len(starts(next.Orders(start))), 0, "a run was started before the worker reported")
	later := start.Add(10 * time.Millisecond)
	next.ApplyReport("w1", apworker.Report{Clock: time.Second, Running: []apworker.RunStatus{{Run: apjob.RunKey{Task: taskID(0, 0), Run: 1}}}}, start, later)
	next.Plan(later, later)
	storeAll(next)
	orders := next.Orders(later.Add(time.Second))
	assert.Equal(t, len(stops(orders)), 0)
	assert.DeepEqual(t, starts(orders), []apjob.RunKey{{Task: taskID(0, 1), Run: 2}})
}

// A worker that the new owner can't reach may run its tasks until the end of the longest lease that the previous
// owner may have granted, and no longer: a long-running task must run elsewhere within 9 s.
func TestNewOwnerWaitsForLeaseOfUnreachableWorker(t *testing.T) {
	def := job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: true})
	progress := apjob.Progress{State: apjob.Running, Occurrences: []apjob.Occurrence{{
		Steps: [][]apjob.Task{{{Run: 1, Worker: "gone"}}},
	}}}
	s := apscheduler.New(2)
	s.RestoreJob(def, progress, 0, start)
	s.Register(workerInfo("w1", 4000), start)
	for passed := time.Duration(0); passed < 9*time.Second; passed += 100 * time.Millisecond {
		now := start.Add(passed)
		s.ApplyReport("w1", apworker.Report{Clock: time.Second + passed}, now, now)
		s.Plan(now, now)
		storeAll(s)
		if runs := starts(s.Orders(now)); len(runs) > 0 {
			assert.Assert(t, passed > 5200*time.Millisecond, "started after %s", passed)
			assert.DeepEqual(t, runs, []apjob.RunKey{{Task: taskID(0, 0), Run: 2}})
			return
		}
	}
	t.Fatal("not started within 9 s")
}

// An owner may store the end of a cancelled or failed job and lose the shard before it has stopped the tasks. The
// new owner must stop them; otherwise they run on, because each poll of the worker extends their lease.
func TestNewOwnerStopsTasksOfEndedJob(t *testing.T) {
	for _, state := range []apjob.State{apjob.Cancelled, apjob.Failed} {
		s := apscheduler.New(2)
		progress := apjob.Progress{State: state, Ended: start.Unix(), Occurrences: []apjob.Occurrence{{Steps: [][]apjob.Task{{{Run: 1, Worker: "w1"}}}}}}
		s.RestoreJob(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}, LongRunning: true}), progress, 0, start)
		s.Cancel(jobID, start)
		s.Register(workerInfo("w1", 4000), start)
		run := apjob.RunKey{Task: apjob.TaskID{Job: jobID}, Run: 1}
		s.ApplyReport("w1", apworker.Report{Clock: time.Second, Running: []apworker.RunStatus{{Run: run, Percent: 100}}}, start, start)
		s.Plan(start, start)
		assert.DeepEqual(t, stops(s.Orders(start)), []apjob.RunKey{run})
		s.OrderAnswered("w1", run, true, nil, start)
		later := start.Add(time.Second)
		s.ApplyReport("w1", apworker.Report{Clock: 2 * time.Second, Ends: []apworker.RunEnd{{Number: 1, Run: run, Reason: apworker.EndStopped}}}, later, later)
		batch := s.NextBatch()
		assert.Equal(t, len(batch.Records), 1)
		assert.Assert(t, batch.Records[0].Retired, "the job must be retired once nothing runs")
		assert.Equal(t, batch.Records[0].Progress.State, state)
	}
}
