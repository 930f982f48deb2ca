// Package apowner runs the scheduler of one shard of jobs while this entry owns the shard. It loads the state
// from the store, polls the workers and sends them the scheduler's orders. State that an order depends on is
// stored before the order is sent.
package apowner

import (
	"context"
	"slices"
	"time"

	"auburnport/internal/apgroup"
	"auburnport/internal/aplog"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// Registry reads worker registrations.
type Registry interface {
	// Prefix returns the key prefix under which workers register.
	Prefix() apfleet.Key
	// Parse decodes a registration. Errors: BadMessage.
	Parse(key apfleet.Key, data []byte) (apworker.Info, error)
	// ID returns the worker ID in a registration key.
	ID(key apfleet.Key) apjob.WorkerID
}

// Config holds the dependencies and settings of an Owner.
type Config struct {
	Shard    apjournal.Shard
	Store    apstore.TransactionalStore
	Workers  apworker.Client
	Registry Registry
	// Advisor returns the advisor to ask now. It may be nil or return nil: steps that need tickets then wait.
	Advisor          func() apworker.Advisor
	Journal          *apjournal.Journal
	Queues           func() *apqueue.Table
	SchedulerOptions []apscheduler.Option
	Log              aplog.EventFunc
	// ObserveDuration records a duration in the histogram of the given name.
	ObserveDuration func(name string, d time.Duration)
	// Clock measures how long the shard is known to be owned. The default is aplease.Boottime.
	Clock aplease.Clock
}

const (
	// tickInterval is how often the scheduler runs when no event arrives.
	tickInterval = 100 * time.Millisecond
	// minWriteInterval is the minimum time between two writes, so that several events share one write.
	minWriteInterval = 8 * time.Millisecond
	// registryPollInterval is the minimum time between two reads of registration changes. A worker that
	// leaves must get no new runs after about two seconds.
	registryPollInterval = 120 * time.Millisecond
	// watchTimeout bounds how long a watch waits for a change.
	watchTimeout = 2 * time.Second
	// watchBackoff is the delay after a failed watch.
	watchBackoff = 100 * time.Millisecond
	// busyPollTimeout and idlePollTimeout bound how long a worker may delay its report until a run ends. A
	// worker with runs is polled more often because each poll extends the lease of its runs.
	busyPollTimeout = 700 * time.Millisecond
	idlePollTimeout = 1500 * time.Millisecond
	// unextendedPollTimeout bounds the delay for a worker with runs whose lease is not extended because the shard may
	// be lost. Its lease must be extended soon after a write has shown otherwise.
	unextendedPollTimeout = 200 * time.Millisecond
	// pollBackoff is the delay after a failed poll.
	pollBackoff = 200 * time.Millisecond
	// minEndedPollDelay is the minimum delay after a report of ended runs, in which the ends are stored.
	minEndedPollDelay = 15 * time.Millisecond
	// endedPollDelayPerWorker times the number of polled workers is the minimum delay after a report of ended
	// runs. It limits such reports to 2,000 per second over all workers.
	endedPollDelayPerWorker = 500 * time.Microsecond
	// maxInFlightOrders bounds the orders that wait for an answer.
	maxInFlightOrders = 256
	// senderIdleTime is how long a goroutine that has sent an order waits for another one.
	senderIdleTime = time.Second
	// waitingCountsInterval is how often the counts of waiting jobs are refreshed in the store.
	waitingCountsInterval = time.Second
	// poolReportInterval is how often the pool's report is refreshed in the store.
	poolReportInterval = 150 * time.Millisecond
	// emptyReportDelay is how long a new owner keeps a report without workers and work from replacing that of an earlier
	// owner: its workers may not have reported yet.
	emptyReportDelay = 3 * time.Second
	// eventQueueSize bounds the events queued for the loop.
	eventQueueSize = 1024
	// stepDelayFactor times the duration of a step is the minimum delay before the next one. Events that
	// arrive in the meantime share the next step. The cost of a step grows with the pool and its load. The
	// delay keeps steps of up to 20 ms to a quarter of the time, so that the rest is left to calls during a
	// burst. Only the step after a completed write isn't delayed.
	stepDelayFactor = 3
	// maxStepDelay bounds that delay.
	maxStepDelay = 60 * time.Millisecond
)

// Owner runs the scheduler of a shard. Use New.
type Owner struct {
	config    Config
	scheduler *apscheduler.Shard
	events    chan func(now time.Time)
	// calls runs the calls to workers, the store and the advisor. A panic in one of them ends Run.
	calls *apgroup.Group
	// inFlightOrders counts the orders that wait for an answer. ordersAtLimit is true while that is
	// maxInFlightOrders.
	inFlightOrders int
	ordersAtLimit  bool
	// nextOrder hands an order to a goroutine that waits for one. It has no buffer.
	nextOrder chan apscheduler.Order
	// polled holds the workers that have a polling goroutine, and the function that gives up the poll under way.
	polled map[apjob.WorkerID]context.CancelFunc
	// pollDue is true when there may be workers without a polling goroutine.
	pollDue bool
	// queueTable is the queue settings that the scheduler uses.
	queueTable *apqueue.Table
	// nextStepAt is the earliest time of the next step.
	nextStepAt time.Time

	// owned is valid while workers' leases may be extended. A successor prevents every later write of this owner, so
	// a write that is stored proves that there was none when it was sent.
	owned *aplease.Permit
	// writing is true while a write is in progress. There is only one at a time.
	writing     bool
	lastWriteAt time.Time
	// wakeScheduled is true when a timer will wake the loop for the next write.
	wakeScheduled bool
	// storedCounts holds the counts of waiting jobs as last written to the store by this owner; nil before that.
	storedCounts     *apjournal.WaitingCounts
	waitingCountedAt time.Time
	// retiredAt holds the end times of retired jobs.
	retiredAt map[apjob.ID]time.Time
	// expired lists retired jobs whose end no longer has to be kept, as found by the scan at purgeScannedAt.
	expired        []apjob.ID
	purgeScannedAt time.Time
	// unreadable lists the keys of records that could not be decoded when the state was loaded.
	unreadable []apfleet.Key
	fatalErr   error
	stopping   bool
	// questions holds the pending questions to the advisor, which answers one at a time.
	questions   []apscheduler.Question
	advisorBusy bool
	// disruptions holds the open disruptions of the pool's workers by store key.
	disruptions map[apfleet.Key]disruption
	// disruptionEndedAt holds when the disruption of a worker ended.
	disruptionEndedAt map[apjob.WorkerID]time.Time
	// storedReport is the pool's report as last written to the store by this owner; nil before that.
	storedReport *apmachine.PoolReport
	// poolReportedAt is when the load was last refreshed, reportingSince when it first was.
	poolReportedAt, reportingSince time.Time
}

// New returns an owner of a shard that config.Journal has claimed.
func New(config Config) *Owner {
	if config.Clock == nil {
		config.Clock = aplease.Boottime
	}
	owned := aplease.NewPermit(config.Clock)
	options := append(slices.Clip(config.SchedulerOptions), apscheduler.WithOptions(func(o *apscheduler.Options) {
		o.MayExtend = func() bool { return owned.Check(0) == nil }
		o.MaxLease = o.Lease + ownershipTTL
	}))
	return &Owner{
		config:    config,
		scheduler: apscheduler.New(config.Journal.Fence(), options...),
		events:    make(chan func(time.Time), eventQueueSize),
		nextOrder: make(chan apscheduler.Order),
		polled:    make(map[apjob.WorkerID]context.CancelFunc),
		owned:     owned,

		disruptions:       make(map[apfleet.Key]disruption),
		disruptionEndedAt: make(map[apjob.WorkerID]time.Time),
	}
}

// Run runs the shard until ctx ends or another owner takes over. When ctx ends it releases the shard and
// returns nil if that succeeds.
func (o *Owner) Run(ctx context.Context) error {
	started := time.Now()
	state, err := o.config.Journal.Load(ctx)
	if err != nil {
		return err
	}
	if err := o.loadDisruptions(ctx); err != nil {
		return err
	}
	o.loadState(state, time.Now())
	o.config.Log("ShardOwned", map[string]any{
		"Shard": o.config.Shard, "Fence": o.config.Journal.Fence(), "Epoch": o.config.Journal.Epoch(),
		"Jobs": o.scheduler.Backlog(), "Broken": len(state.Unreadable), "LoadMs": time.Since(started).Milliseconds(),
	})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := apgroup.WithContext(inner)
	o.calls = group
	group.Go(func() error { return o.watchInbox(inner) })
	group.Go(func() error { return o.watchRegistrations(inner) })
	group.Go(func() error { return o.watchDisruptions(inner) })
	group.Go(func() error {
		defer cancel()
		return o.loop(ctx, inner)
	})
	return group.Wait()
}

func (o *Owner) loadState(state apjournal.State, now time.Time) {
	o.refreshQueues()
	for id, saved := range state.Jobs {
		age := min(max(time.Since(saved.Job.Submitted), 0), maxLoadedJobAge)
		if saved.HasProgress {
			o.scheduler.RestoreJob(saved.Job, saved.Progress, age, now)
		} else {
			o.scheduler.Submit(saved.Job, age, now)
		}
		if saved.Cancelled {
			o.scheduler.Cancel(id, now)
		}
	}
	o.retiredAt = state.Retired
	o.unreadable = state.Unreadable
}

// maxLoadedJobAge bounds the age of a loaded job. It is computed from the wall clock of another entry, which
// may be wrong.
const maxLoadedJobAge = time.Minute

func (o *Owner) refreshQueues() {
	table := o.config.Queues()
	if table == nil || table == o.queueTable {
		return
	}
	o.queueTable = table
	queues := make(map[apjob.Queue]apscheduler.Queue, len(table.Queues))
	for _, q := range table.Queues {
		queues[q.Name] = apscheduler.Queue{
			Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Slack: q.Slack, NeedsTicket: q.Advice != nil,
		}
	}
	o.scheduler.SetQueues(queues)
}

// loop applies events and runs steps. The scheduler is used by this goroutine only.
func (o *Owner) loop(ctx, inner context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stepTimer := time.NewTimer(0)
	defer stepTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return o.release(inner)
		case <-inner.Done():
			return o.fatalErr
		case event := <-o.events:
			event(time.Now())
			o.drainEvents()
		case <-ticker.C:
			o.refreshQueues()
			o.updateCordon(time.Now())
			o.pollDue = true
		case <-stepTimer.C:
		}
		if o.fatalErr != nil {
			return o.fatalErr
		}
		now := time.Now()
		if delay := o.nextStepAt.Sub(now); delay > 0 {
			stepTimer.Reset(delay)
			continue
		}
		o.runStep(inner, now)
		o.nextStepAt = time.Now().Add(StepDelay(time.Since(now)))
	}
}

// StepDelay returns the minimum delay between the end of a step that took stepTime and the next step.
func StepDelay(stepTime time.Duration) time.Duration {
	return min(stepDelayFactor*stepTime, maxStepDelay)
}

// drainEvents applies the events that are already queued.
func (o *Owner) drainEvents() {
	for {
		select {
		case event := <-o.events:
			event(time.Now())
		default:
			return
		}
	}
}

func (o *Owner) runStep(ctx context.Context, now time.Time) {
	if !o.stopping && o.mayWrite(now) {
		// What is planned while no write may start is only stored later, by which time more is known.
		o.scheduler.Plan(now, time.Now())
	}
	o.startWrite(ctx, now)
	o.sendOrders(ctx, now)
	o.askAdvisor(ctx)
	if o.pollDue {
		o.pollDue = false
		o.pollWorkers(ctx)
	}
	o.logEvents()
}

// logEvents logs the scheduler's events.
func (o *Owner) logEvents() {
	for _, event := range o.scheduler.TakeEvents() {
		fields := event.Fields
		if fields == nil {
			fields = make(map[string]any)
		}
		fields["Shard"] = o.config.Shard
		if event.Run.Task.Job != "" {
			fields["Job"] = event.Run.Task.Job
		}
		if event.Run.Run > 0 {
			fields["Task"], fields["Run"] = event.Run.Task, event.Run.Run
		}
		if event.Worker != "" {
			fields["Worker"] = event.Worker
		}
		o.config.Log(event.Name, fields)
	}
}

// post queues an event for the loop. It reports false when ctx ends first.
func (o *Owner) post(ctx context.Context, event func(now time.Time)) bool {
	select {
	case o.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// release stores the pending state and releases the shard.
func (o *Owner) release(ctx context.Context) error {
	o.stopping = true
	deadline := time.NewTimer(releaseTimeout)
	defer deadline.Stop()
	for o.writing || o.scheduler.HasBatch() {
		o.startWrite(ctx, time.Now())
		select {
		case event := <-o.events:
			event(time.Now())
		case <-deadline.C:
			return apcode.Errorf(apcode.StoreUnavailable, "shard %s: timed out while storing pending state before the release", o.config.Shard)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := o.config.Journal.Release(ctx, true)
	o.logEvents()
	o.config.Log("ShardReleased", map[string]any{"Shard": o.config.Shard, "Error": err})
	return err
}

// releaseTimeout bounds each of the two parts of a release: storing the pending state, and the call that
// releases the shard.
const releaseTimeout = 1500 * time.Millisecond
