package apscheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apworker"
)

// A registration from before the announcement may be written after it.
func TestLateRegistrationDoesNotEndDraining(t *testing.T) {
	s := apscheduler.New(1)
	ready := workerInfo("w1", 1000)
	ready.StartedAt = start
	draining := ready
	draining.Draining = true
	s.Register(ready, start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: start}, start, start)
	s.Register(draining, start)
	s.Unregister("w1")
	s.Register(ready, start)
	s.Submit(job(apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000}}), 0, start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 0, "w1 has announced that it will stop")
	next := ready
	next.StartedAt = start.Add(time.Second)
	s.Register(next, start)
	s.ApplyReport("w1", apworker.Report{Clock: time.Second, StartedAt: next.StartedAt}, start, start)
	assert.Equal(t, len(startsAfterPlan(s, start)), 1, "the next process serves")
}
