// Package apscheduler decides for one shard of jobs which task runs where. It does no I/O: facts go
// in by methods, orders and records to be stored come out.
package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Order is something to be sent to a worker.
type Order interface{ order() }

// Start orders a run whose assignment is stored.
type Start struct {
	To    apworker.Target
	Order apworker.StartOrder
}

// Stop orders the end of a run.
type Stop struct {
	To    apworker.Target
	Order apworker.StopOrder
}

// Pace throttles a run.
type Pace struct {
	To    apworker.Target
	Order apworker.PaceOrder
}

func (Start) order() {}
func (Stop) order()  {}
func (Pace) order()  {}

// Queue holds the settings of a queue.
type Queue struct {
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail; at least 1.
	MaxAttempts int
	// Stretch times the longest chain of work, plus Slack, is the time in which a job should be done.
	Stretch float64
	Slack   time.Duration
	// Advised tells that starts need a ticket.
	Advised bool
}

// Batch is a set of records to be stored together, in one transaction.
type Batch struct {
	Records []Record
	// ends are the ends that the records hold.
	ends []pendingEnd
	// planned are the runs that may be ordered once the records are stored.
	planned []planned
}

// Record is the new progress of a job.
type Record struct {
	Job      apjob.ID
	Progress apjob.Progress
	// Retired tells that the job as submitted need not be kept any longer.
	Retired bool
}

type planned struct {
	run    apjob.RunKey
	worker apjob.WorkerID
}

type pendingEnd struct {
	worker apjob.WorkerID
	number uint64
}

// Shard is the state of one shard. It is used from one goroutine.
type Shard struct {
	options Options
	// fence is above that of every earlier owner.
	fence uint64
	// since is the time of the first plan.
	since   time.Time
	jobs    map[apjob.ID]*job
	workers map[apjob.WorkerID]*worker
	// byID holds the workers in the order of their ids; nil when it must be made anew.
	byID []*worker
	// chain is scratch space for the longest chain of a job.
	chain  []time.Duration
	queues map[apjob.Queue]Queue
	// cordoned workers get no new runs and are emptied, in the order of the numbers; cordons is the
	// highest.
	cordoned map[apjob.WorkerID]int
	cordons  int
	// avoided workers will be emptied soon: long-running tasks go elsewhere if they can.
	avoided map[apjob.WorkerID]bool
	// dirty lists the jobs whose progress is not stored yet, oldest first.
	dirty []apjob.ID
	// deferred lists the jobs of which only ends that unlock nothing wait to be stored, oldest first.
	deferred []deferredJob
	// active holds the jobs that are not final.
	active map[apjob.ID]*job
	// backfill holds the jobs with steps that fill up workers.
	backfill map[apjob.ID]bool
	// learnt holds the mean duration of the tasks of a queue, in seconds.
	learnt map[apjob.Queue]*average
	events []Event
	// advice is what is known of the workers of steps that need tickets; questions wait to be asked.
	advice    map[apjob.StepID]*advice
	questions []Question
	// paces are orders to throttle that wait to be sent.
	paces []Order
}

// Event is a decision or a change of what the shard believes, for the log.
type Event struct {
	What   string
	Run    apjob.RunKey
	Worker apjob.WorkerID
	// Fields are further inputs of the decision. The receiver may add to them.
	Fields map[string]any
}

// New returns an empty shard under a fencing token.
func New(fence uint64, opts ...Option) *Shard {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Shard{
		options:  options,
		fence:    fence,
		jobs:     make(map[apjob.ID]*job),
		active:   make(map[apjob.ID]*job),
		backfill: make(map[apjob.ID]bool),
		workers:  make(map[apjob.WorkerID]*worker),
		queues:   make(map[apjob.Queue]Queue),
		learnt:   make(map[apjob.Queue]*average),
		advice:   make(map[apjob.StepID]*advice),
	}
}

// SetQueues replaces the settings of all queues.
func (s *Shard) SetQueues(queues map[apjob.Queue]Queue) { s.queues = queues }

// TakeEvents returns and forgets the events since the last call.
func (s *Shard) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *Shard) log(what string, run apjob.RunKey, on apjob.WorkerID, fields map[string]any) {
	if len(s.events) < s.options.MaxEvents {
		s.events = append(s.events, Event{What: what, Run: run, Worker: on, Fields: fields})
	}
}
