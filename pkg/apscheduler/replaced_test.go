package apscheduler_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// A new owner knows only the address of an earlier process, which belongs to another worker by now.
func TestNewOwnerKeepsRunsOfWorkerWhoseOutdatedAddressIsReused(t *testing.T) {
	s, run := restoredTask()
	s.Unregister("w1")
	s.WorkerReplaced("w1", start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 0, "%v may be running", run)
	current := workerInfo("w1", 2000)
	current.StartedAt = start
	later := start.Add(time.Second)
	s.Register(current, later)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start, Running: []apworker.RunStatus{{Run: run}}}, later, later)
	assert.Equal(t, len(startsAfterPlan(s, later)), 0, "%v is running", run)
}

func TestTaskOfReplacedWorkerRunsElsewhereAtOnce(t *testing.T) {
	s := apscheduler.New(1)
	run := runFirstTask(t, s, 1)
	s.Register(workerInfo("w2", 1000), start)
	s.ApplyReport("w2", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	s.WorkerReplaced("w1", start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 0, "w1 is registered")
	s.Unregister("w1")
	s.WorkerReplaced("w1", start)
	run.Run++
	assert.DeepEqual(t, startsAfterPlan(s, start), []apjob.RunKey{run})
}

// A registration with a later start time is no proof of a restart, so another worker at its address is none of the end.
func TestRunsAreKeptWhenAnotherWorkerAnswersWhereNothingHasReported(t *testing.T) {
	s := apscheduler.New(1)
	run := runFirstTask(t, s, 1)
	_, known := s.Poll("w1", start)
	assert.Assert(t, known)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start, Running: []apworker.RunStatus{{Run: run}}}, start, start)
	moved := workerInfo("w1", 1000)
	moved.Address, moved.StartedAt = netip.MustParseAddrPort("127.0.0.1:10"), start.Add(time.Second)
	s.Register(moved, start)
	_, known = s.Poll("w1", start)
	assert.Assert(t, known)
	s.Unregister("w1")
	s.WorkerReplaced("w1", start)
	s.Register(workerInfo("w2", 1000), start)
	s.ApplyReport("w2", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 0, "the run goes on where w1 has reported")
}
