package apsoak

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// scenarios returns all scenarios.
func scenarios() []scenario {
	find, advised := newQueue("find", "search"), advisedQueue()
	advised.Advice.Base = 400 * time.Millisecond
	returns := newQueue(returningQueue, "search")
	return []scenario{
		{name: "QueueMoves", queues: []apemulator.QueueSpec{newQueue(movingQueue, "search")}, play: playQueueMoves},
		{name: "LatePost", queues: []apemulator.QueueSpec{find}, play: playLatePost},
		{name: "LastingEndsDone", queues: []apemulator.QueueSpec{find}, play: playLastingEndsDone},
		{name: "QueueReturns", queues: []apemulator.QueueSpec{find, returns}, play: playQueueReturns},
		{name: "LabelAfterFailure", prepare: oneSpecialMachine, queues: []apemulator.QueueSpec{find}, play: playLabelAfterFailure},
		{name: "BackfillAfterCrash", queues: []apemulator.QueueSpec{find}, play: playBackfillAfterCrash},
		{name: "AdvisorMoves", queues: []apemulator.QueueSpec{find, advised}, play: playAdvisorMoves},
		{name: "AdvisedWorkersFull", prepare: advisedMachines, queues: []apemulator.QueueSpec{find, advised}, play: playAdvisedWorkersFull},
		{name: "ManyOccurrences", queues: []apemulator.QueueSpec{find, returns}, play: playManyOccurrences},
		{name: "RebornAsOtherKind", prepare: twoKinds, queues: []apemulator.QueueSpec{find}, play: playRebornAsOtherKind},
		{name: "LabelInSpare", moves: true, prepare: firstOfSixSpecial, queues: []apemulator.QueueSpec{find}, play: playLabelInSpare},
		{name: "QuarantineBesideLongTask", prepare: twoOfSixSpecial, queues: []apemulator.QueueSpec{find}, play: playQuarantineBesideLongTask},
		{name: "PoolTooSmall", moves: true, queues: []apemulator.QueueSpec{find}, play: playPoolTooSmall},
	}
}

// special is the label of the machines to which a scenario's job is restricted.
const special = "special"

// specialMachine is the machine of the pool search that oneSpecialMachine labels.
const specialMachine = "m-005"

func oneSpecialMachine(o *apemulator.Options) {
	o.Kinds = []string{"general", "general", "general", "general", "general", special}
}

// firstOfSixSpecial labels the first of each six machines, which leave a pool that shrinks first.
func firstOfSixSpecial(o *apemulator.Options) {
	o.Kinds = []string{special, "general", "general", "general", "general", "general"}
}

// twoOfSixSpecial labels two of the six machines of each pool.
func twoOfSixSpecial(o *apemulator.Options) {
	o.Kinds = []string{"general", "general", "general", "general", special, special}
}

func twoKinds(o *apemulator.Options) { o.Kinds = []string{"general", special} }

// playQueueMoves sends a queue to another service while a job of it runs. The job stays known and runs once.
func playQueueMoves(ctx context.Context, s *scene) error {
	before, after := newQueue(movingQueue, "search"), newQueue(movingQueue, "booking")
	submission := s.newJob(before, 6*time.Second, apjob.Step{Count: 4, Need: apjob.Resources{CPU: 1000, Memory: 256}})
	s.submit(ctx, 0, before, submission)
	s.awaitStarts(ctx, 4)
	if err := s.reconfigure(ctx, after); err != nil {
		return err
	}
	s.statusOnAll(ctx, after, submission.Job.ID)
	s.submit(ctx, 1, after, submission)
	pause(ctx, time.Second)
	s.statusOnAll(ctx, after, submission.Job.ID)
	return nil
}

// lateJobs is the number of jobs whose callers are impatient, lateSteps that of their steps.
const (
	lateJobs  = 12
	lateSteps = 6
)

// restartTime is a little longer than the time within which a long-running task must run again.
const restartTime = 6500 * time.Millisecond

// playLatePost cancels jobs whose writes reach the store later, since one entry's requests to it are held up. A job whose
// cancel was acknowledged doesn't run.
func playLatePost(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	late, others := s.entries[scenarioNodes-1], s.entries[:scenarioNodes-1]
	s.load.impatient.Timeout = 400 * time.Millisecond
	late.storeProxy.SetLink(LinkHoldRequests)
	group := &errgroup.Group{}
	for i := range lateJobs {
		submission := s.newJob(q, 1500*time.Millisecond, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000, Memory: 256}})
		for n := range lateSteps - 1 {
			step := submission.Job.Steps[0]
			step.After = []int{n}
			submission.Job.Steps = append(submission.Job.Steps, step)
		}
		group.Go(func() error {
			outcome := s.load.impatient.Submit(ctx, late.callersAddress, q, submission)
			s.log("job %s submitted to %s: status %d", submission.Job.ID, late.name, outcome.Status)
			for pause(ctx, initialBackoff) {
				outcome := s.load.caller.Cancel(ctx, others[i%len(others)].callersAddress, q, submission.Job.ID)
				s.log("cancel of %s: status %d", submission.Job.ID, outcome.Status)
				if outcome.Status == http.StatusOK || outcome.Status == http.StatusGone {
					break
				}
			}
			return nil
		})
		pause(ctx, 100*time.Millisecond)
	}
	err := group.Wait()
	pause(ctx, time.Second)
	s.clearFaults()
	s.log("the held writes reach the store")
	pause(ctx, 10*time.Second)
	return err
}

// playLastingEndsDone runs long-running tasks that end as done. They are restarted, for which they have restartTime.
func playLastingEndsDone(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	submission := s.newJob(q, 1500*time.Millisecond, apjob.Step{Count: 3, Need: apjob.Resources{CPU: 2000, Memory: 1024}, LongRunning: true, MaxUnavailable: 1})
	submission.EndsDone = true
	s.submit(ctx, 0, q, submission)
	s.awaitStarts(ctx, 3)
	pause(ctx, 2*time.Second+restartTime)
	return nil
}

// playQueueReturns removes a queue and adds it again, while the first run of a job of it fails. The job keeps its attempts.
func playQueueReturns(ctx context.Context, s *scene) error {
	find, returns := newQueue("find", "search"), newQueue(returningQueue, "search")
	submission := s.newJob(returns, 3*time.Second, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000, Memory: 256}})
	submission.FailFirst = 1
	s.submit(ctx, 0, returns, submission)
	s.awaitStarts(ctx, 1)
	if err := s.reconfigure(ctx, find); err != nil {
		return err
	}
	pause(ctx, time.Second)
	if err := s.reconfigure(ctx, find, returns); err != nil {
		return err
	}
	s.statusOnAll(ctx, returns, submission.Job.ID)
	return nil
}

// playLabelAfterFailure makes a task fail on the only worker that has its label. It is placed there again.
func playLabelAfterFailure(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	s.emulator.Fleet.SetWorkerFault(specialMachine, apemulator.WorkerFaultFails)
	s.submit(ctx, 0, q, s.newJob(q, time.Second, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 1000, Memory: 256}, Label: special}))
	s.submit(ctx, 1, q, s.newJob(q, time.Second, apjob.Step{Count: 6, Need: apjob.Resources{CPU: 1000, Memory: 256}}))
	pause(ctx, 1700*time.Millisecond)
	s.emulator.Fleet.SetWorkerFault(specialMachine, apemulator.WorkerFaultNone)
	return nil
}

// playBackfillAfterCrash crashes for good the only worker without a serving task, on which backfill tasks run. They are
// placed again.
func playBackfillAfterCrash(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	s.submit(ctx, 0, q, s.newJob(q, 0, apjob.Step{
		Count: 5, Need: apjob.Resources{CPU: 1000, Memory: 512}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1,
		LatencyTarget: 200 * time.Millisecond, Image: "serving",
	}))
	s.awaitStarts(ctx, 5)
	filling := s.newJob(q, 5*time.Second, apjob.Step{Count: 2, Need: apjob.Resources{CPU: 3000, Memory: 512}, Estimate: 5 * time.Second, Backfill: true, Image: harmlessImage})
	s.submit(ctx, 1, q, filling)
	s.awaitStarts(ctx, 7)
	pause(ctx, time.Second)
	machine := s.machineOf(filling.Job.ID)
	s.log("%s is lost for good", machine)
	s.emulator.Fleet.Crash(ctx, machine, time.Hour)
	pause(ctx, 5*time.Second)
	return nil
}

// playAdvisorMoves gives the advisor another address. Jobs that need advice go on being placed.
func playAdvisorMoves(ctx context.Context, s *scene) error {
	q := advisedQueue()
	step := apjob.Step{Count: 2, Need: apjob.Resources{CPU: 2000, Memory: 1024}}
	s.submit(ctx, 0, q, s.newJob(q, 2*time.Second, step))
	s.awaitStarts(ctx, 2)
	if err := s.moveAdvisors(); err != nil {
		return err
	}
	pause(ctx, configBound)
	s.submit(ctx, 1, q, s.newJob(q, 2*time.Second, step))
	return nil
}

// The kinds of machines that advisedMachines deals to each pool.
const (
	kindBusy = "busy"
	kindFull = "full"
	kindIdle = "idle"
)

// advisedMachines makes the machines busy that the advisor denies to advisedJob, so that those of kindFull, which it allows,
// are asked about first.
func advisedMachines(o *apemulator.Options) {
	o.Kinds = []string{kindFull, kindFull, kindBusy, kindFull, kindIdle, kindBusy}
}

// advisedJob is the ID of a job whose first step the emulated advisor denies to the machines 2 and 5 of the pool.
const advisedJob apjob.ID = "5c0e7a21d94b0004"

// playAdvisedWorkersFull fills the workers of which the advisor approves while it decides. The task is placed on another.
func playAdvisedWorkersFull(ctx context.Context, s *scene) error {
	find, advised := newQueue("find", "search"), advisedQueue()
	s.submit(ctx, 0, find, s.newJob(find, 0, apjob.Step{
		Count: 2, Need: apjob.Resources{CPU: 1000, Memory: 256}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1, Label: kindBusy,
	}))
	s.awaitStarts(ctx, 2)
	pause(ctx, time.Second)
	job := s.newJob(advised, 300*time.Millisecond, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000, Memory: 1024}})
	job.Job.ID = advisedJob
	s.submit(ctx, 0, advised, job)
	pause(ctx, 100*time.Millisecond)
	s.submit(ctx, 1, find, s.newJob(find, 0, apjob.Step{
		Count: 3, Need: apjob.Resources{CPU: 6000, Memory: 2048}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1, Label: kindFull,
	}))
	return nil
}

// playManyOccurrences submits a schedule whose many occurrences are all due. Other jobs go on, whether it is accepted or not.
func playManyOccurrences(ctx context.Context, s *scene) error {
	const occurrences = 1440
	find, returns := newQueue("find", "search"), newQueue(returningQueue, "search")
	many := s.newJob(returns, time.Second, apjob.Step{Count: 125, Need: apjob.Resources{CPU: 500, Memory: 128}})
	many.Job.Repeat, many.Job.Every, many.Job.First = occurrences, time.Minute, time.Now().Add(-occurrences*time.Minute).Truncate(time.Millisecond)
	outcome := s.load.caller.Submit(ctx, s.entries[0].callersAddress, returns, many)
	s.log("job %s with %d occurrences: status %d", many.Job.ID, occurrences, outcome.Status)
	pause(ctx, 2*time.Second)
	other := s.newJob(find, time.Second, apjob.Step{Count: 2, Need: apjob.Resources{CPU: 1000, Memory: 256}})
	s.submit(ctx, 1, find, other)
	s.awaitState(ctx, find, other.Job.ID, apjob.Completed)
	s.load.caller.Cancel(ctx, s.entries[0].callersAddress, returns, many.Job.ID)
	return nil
}

// playRebornAsOtherKind makes a worker come back as another kind, before its registration says so. It gets no task that
// requires its former label.
func playRebornAsOtherKind(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	s.submit(ctx, 0, q, s.newJob(q, 1500*time.Millisecond, apjob.Step{Count: 24, Need: apjob.Resources{CPU: 4000, Memory: 1024}, Label: special}))
	s.awaitStarts(ctx, 6)
	pause(ctx, 500*time.Millisecond)
	s.emulator.Fleet.Rebirth(ctx, "m-003", "general", 2*time.Second, 700*time.Millisecond)
	pause(ctx, 4*time.Second)
	return nil
}

// smallPools is the number of workers to which the pools shrink for the job of playPoolTooSmall.
const smallPools = 6

// playPoolTooSmall submits a short task for which the small pool has room in all, but not on one worker. The pool grows for
// it.
func playPoolTooSmall(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	s.submit(ctx, 0, q, s.newJob(q, 0, apjob.Step{
		Count: 3, Need: apjob.Resources{CPU: 6000, Memory: 2048}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
	}))
	s.awaitStarts(ctx, 3)
	shrunk := s.poll(ctx, s.options.FinishTimeout, func() bool { return len(s.emulator.Fleet.WorkerAddresses()) <= smallPools })
	s.log("%d workers are left: %t", len(s.emulator.Fleet.WorkerAddresses()), shrunk)
	s.submit(ctx, 1, q, s.newJob(q, time.Second, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 4000, Memory: 1024}, Estimate: 100 * time.Millisecond}))
	return nil
}

// playLabelInSpare submits a job whose label only machines have that have left the pool. The pool gets one back, and keeps it
// for a job that needs it later.
func playLabelInSpare(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	shrunk := s.poll(ctx, s.options.FinishTimeout, func() bool { return len(s.emulator.Fleet.WorkerAddresses()) <= smallPools })
	s.log("%d workers are left: %t", len(s.emulator.Fleet.WorkerAddresses()), shrunk)
	need := apjob.Resources{CPU: 1000, Memory: 256}
	s.submit(ctx, 0, q, s.newJob(q, time.Second, apjob.Step{Count: 1, Need: need, Label: special}))
	later := s.newJob(q, 3*time.Second, apjob.Step{Count: 1, Need: need})
	later.Job.Steps = append(later.Job.Steps, apjob.Step{Count: 1, Need: need, Label: special, After: []int{0}})
	s.submit(ctx, 1, q, later)
	return nil
}

// placeTime is how long a task may wait while there is room for it.
const placeTime = 3 * time.Second

// playQuarantineBesideLongTask fills one of two machines with a label for longer than a quarantine lasts, and quarantines the other by
// tasks that fail once. A task with the label doesn't wait for the end of that, nor do those that failed.
func playQuarantineBesideLongTask(ctx context.Context, s *scene) error {
	q := newQueue("find", "search")
	s.submit(ctx, 0, q, s.newJob(q, 9*time.Second, apjob.Step{Count: 1, Need: apjob.Resources{CPU: 7800, Memory: 256}, Estimate: 9 * time.Second, Label: special}))
	s.awaitStarts(ctx, 1)
	small := apjob.Step{Count: 6, Need: apjob.Resources{CPU: 500, Memory: 256}, Label: special}
	failing := s.newJob(q, 500*time.Millisecond, small)
	failing.FailFirst = 1
	s.submit(ctx, 1, q, failing)
	s.awaitStarts(ctx, 7)
	pause(ctx, 700*time.Millisecond)
	small.Count = 1
	later := s.newJob(q, 500*time.Millisecond, small)
	s.submit(ctx, 2, q, later)
	if !s.poll(ctx, placeTime, func() bool { return s.emulator.Record.Counts().Starts >= 14 }) {
		s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, later.Job.ID, "only %d of 14 runs were started after %s beside an idle worker", s.emulator.Record.Counts().Starts, placeTime)
	}
	return nil
}
