// Package apscheduler assigns the tasks of one shard of jobs to workers. It does no I/O: the caller passes
// in what it observes (jobs, worker reports, answers to orders) and takes out the orders to send to workers
// and the records to store.
package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Order is a message to a worker: a Start, Stop or Pace.
type Order interface{ order() }

// Start tells a worker to start a run. It is issued only once the assignment is stored.
type Start struct {
	To    apworker.Target
	Order apworker.StartOrder
}

// Stop tells a worker to stop a run.
type Stop struct {
	To    apworker.Target
	Order apworker.StopOrder
}

// Pace throttles a run, or lifts the throttling.
type Pace struct {
	To    apworker.Target
	Order apworker.PaceOrder
}

func (Start) order() {}
func (Stop) order()  {}
func (Pace) order()  {}

// Queue holds the settings of a queue.
type Queue struct {
	// Priority ranks queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails; at least 1.
	MaxAttempts int
	// Stretch and Slack set the soft deadline of a job, counted from its submission: Stretch times the
	// estimated duration of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	// NeedsTicket means that a task may start only with a ticket from the queue's advisor.
	NeedsTicket bool
}

// Batch is a set of records to be stored in one transaction.
type Batch struct {
	Records []Record
	// plannedRuns are the runs that may be started once the records are stored.
	plannedRuns []plannedRun
}

// Record is the progress of a job, to be stored.
type Record struct {
	Job      apjob.ID
	Progress apjob.Progress
	// Retired means that the job is final and has no running tasks, so its definition can be deleted.
	Retired bool
	// job is the job that the record was made of, changes its count of changes at that time.
	job     *job
	changes uint64
}

// plannedRun is a run whose assignment isn't stored yet.
type plannedRun struct {
	run    apjob.RunKey
	worker apjob.WorkerID
}

// pendingEnd is the applied end of a run, by its number in the worker's sequence. It is stored once the job's first
// changes are, as many as there were when it was applied.
type pendingEnd struct {
	number  uint64
	job     *job
	changes uint64
}

// stored reports whether a record that contains the end is in the store.
func (e *pendingEnd) stored() bool { return e.job.storedChanges >= e.changes }

// Shard is the scheduling state of one shard. It is not safe for concurrent use.
type Shard struct {
	options Options
	// fence is the owner's fencing token, higher than that of every earlier owner. newestFence is the highest one that the
	// owner may use; it is lower than that of every later owner.
	fence       uint64
	newestFence uint64
	// raisedFences holds the fencing tokens of orders to workers that may have restarted. An order to an earlier process
	// has a lower one, so that the present process refuses it.
	raisedFences map[apjob.WorkerID]uint64
	// fenceRaisesDue holds the workers that have or may have restarted and orders to whose earlier process may have had the
	// newest fence. Until there is a newer one, they get no starts. A worker that is forgotten stays here, as its calls may be late.
	fenceRaisesDue map[apjob.WorkerID]bool
	// forgottenAt is when each worker that was forgotten within maxCallDelay was.
	forgottenAt map[apjob.WorkerID]time.Time
	// firstPlanAt is the time of the first call of Plan.
	firstPlanAt time.Time
	jobs        map[apjob.ID]*job
	workers     map[apjob.WorkerID]*worker
	// sortedWorkers caches the workers sorted by ID; nil when it must be rebuilt.
	sortedWorkers []*worker
	// pathBuffer is reused by criticalPath to avoid allocations.
	pathBuffer []time.Duration
	// queues holds the settings of the queues in force, formerQueues the last ones of those that were
	// removed while a job without terms was in them.
	queues       map[apjob.Queue]Queue
	formerQueues map[apjob.Queue]Queue
	// queuesChanged means that the settings of queues were replaced since the last call of Plan.
	queuesChanged bool
	// cordoned workers get no new runs and are evacuated in ascending order of their numbers. lastCordon
	// is the highest number given out.
	cordoned   map[apjob.WorkerID]int
	lastCordon int
	// avoided workers will be evacuated soon, so long-running tasks are placed elsewhere if possible.
	avoided map[apjob.WorkerID]bool
	// reservedSince is when each step that workers were reserved for in the last Plan got its reservation.
	reservedSince map[apjob.StepID]time.Time
	// queuedRecords lists the jobs whose progress is to be stored in the next batches, oldest first.
	queuedRecords []apjob.ID
	// deferredRecords lists the jobs whose only unstored changes are run ends that nothing depends on,
	// oldest first.
	deferredRecords []deferredJob
	// active holds the jobs that are not final.
	active map[apjob.ID]*job
	// backfill holds the jobs that have a backfill step.
	backfill map[apjob.ID]bool
	// meanDurations holds the observed mean task duration of each queue, in seconds.
	meanDurations map[apjob.Queue]*movingAverage
	events        []Event
	// advice holds the advisor's answers for each step that needs tickets; pendingQuestions are still to
	// be sent to the advisor.
	advice           map[apjob.StepID]*stepAdvice
	pendingQuestions []Question
	// pendingPaces are Pace orders that are still to be sent.
	pendingPaces []Order
}

// Event is a log event: a scheduling decision or a change in the known state of a job or worker.
type Event struct {
	Name   string
	Run    apjob.RunKey
	Worker apjob.WorkerID
	// Fields holds further log fields. The receiver may add to it.
	Fields map[string]any
}

// New returns an empty shard that issues its orders under the given fencing token.
func New(fence uint64, opts ...Option) *Shard {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Shard{
		options:        options,
		fence:          fence,
		newestFence:    fence,
		raisedFences:   make(map[apjob.WorkerID]uint64),
		forgottenAt:    make(map[apjob.WorkerID]time.Time),
		fenceRaisesDue: make(map[apjob.WorkerID]bool),
		jobs:           make(map[apjob.ID]*job),
		active:         make(map[apjob.ID]*job),
		backfill:       make(map[apjob.ID]bool),
		workers:        make(map[apjob.WorkerID]*worker),
		queues:         make(map[apjob.Queue]Queue),
		meanDurations:  make(map[apjob.Queue]*movingAverage),
		advice:         make(map[apjob.StepID]*stepAdvice),
	}
}

// TakeEvents returns the events since the last call and clears them.
func (s *Shard) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *Shard) logEvent(name string, run apjob.RunKey, workerID apjob.WorkerID, fields map[string]any) {
	if len(s.events) < s.options.MaxEvents {
		s.events = append(s.events, Event{Name: name, Run: run, Worker: workerID, Fields: fields})
	}
}
