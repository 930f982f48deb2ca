// Package apowner runs one shard of jobs while this entry owns it: it takes the state from the store,
// asks the workers, carries the scheduler's decisions out and stores what they depend on first.
package apowner

import (
	"context"
	"time"

	"auburnport/internal/apgroup"
	"auburnport/internal/aplog"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apworker"
)

// Registry reads registrations of workers.
type Registry interface {
	// Prefix is where workers register.
	Prefix() apfleet.Key
	// Parse reads a registration. Errors carry BadMessage.
	Parse(key apfleet.Key, data []byte) (apworker.Info, error)
	// ID returns the worker that a key names.
	ID(key apfleet.Key) apjob.WorkerID
}

// Config is what an Owner needs.
type Config struct {
	Shard    apjournal.Shard
	Ledger   apstore.Ledger
	Workers  apworker.Client
	Registry Registry
	// Advisor may be nil; steps that need tickets wait then.
	Advisor   apworker.Advisor
	Journal   *apjournal.Journal
	Queues    func() *apqueue.Table
	Scheduler []apscheduler.Option
	Log       aplog.Event
	// Observe receives durations by name, for the histograms.
	Observe func(name string, d time.Duration)
}

const (
	// tickTime is how often decisions are taken without an event.
	tickTime = 100 * time.Millisecond
	// commitGap is the least time between two writes, so that events share a write.
	commitGap = 8 * time.Millisecond
	// registryGap is the least time between two readings of the registrations' changes; a worker
	// that leaves must get nothing new after about two seconds.
	registryGap = 120 * time.Millisecond
	// watchWait is how long a watch may wait for a change.
	watchWait = 2 * time.Second
	// watchBackoff is the pause after a failed watch.
	watchBackoff = 100 * time.Millisecond
	// busyHold and idleHold are how long a worker may wait with its report: short while it has
	// runs, whose lease each call extends.
	busyHold = 700 * time.Millisecond
	idleHold = 1500 * time.Millisecond
	// holdBackoff is the pause after a worker didn't answer.
	holdBackoff = 200 * time.Millisecond
	// storeBackoff is the pause between reports while ends wait to be stored.
	storeBackoff = 15 * time.Millisecond
	// reportShare times the number of workers is the least time between two reports of ends from one of
	// them: 2,000 such reports a second at most, from all.
	reportShare = 500 * time.Microsecond
	// maxOrders bounds the orders under way.
	maxOrders = 256
	// waitingGap is how old the stored counts of waiting jobs may be.
	waitingGap = time.Second
	// poolGap is how old the stored account of the pool may be.
	poolGap = 150 * time.Millisecond
	// eventQueue bounds the events that wait for the loop.
	eventQueue = 1024
	// restFactor times the length of a step is the least rest before the next one. A step costs more the
	// larger the pool is and the more it has to do; events that come meanwhile share the next step, so
	// that a burst leaves at least three quarters of the processor to calls.
	restFactor = 3
	// maxRest bounds that rest.
	maxRest = 60 * time.Millisecond
)

// Owner runs a shard. Use New.
type Owner struct {
	config Config
	shard  *apscheduler.Shard
	events chan func(now time.Time)
	// calls runs calls to workers, to the store and to the advisor; a panic in one ends the shard.
	calls *apgroup.Group
	// underWay counts the orders that wait for their answer; ordersFull tells that more are due.
	underWay   int
	ordersFull bool
	held       map[apjob.WorkerID]bool
	// holdDue tells that there may be workers that are not held.
	holdDue bool
	// table is the settings that the shard has.
	table *apqueue.Table
	// restUntil is when the next step may be taken.
	restUntil time.Time

	// storing tells that a write is under way; only one is at a time.
	storing  bool
	storedAt time.Time
	// wantWrite tells that the loop will be woken for the next write.
	wantWrite bool
	// waiting is what the store has of the counts of waiting jobs.
	waiting   map[apjob.Queue]int
	waitingAt time.Time
	retired   map[apjob.ID]time.Time
	// expired are the retired jobs whose end need not be shown any longer, as of purgedAt.
	expired  []apjob.ID
	purgedAt time.Time
	fatal    error
	stopping bool
	// questions wait for the advisor, which answers one at a time.
	questions []apscheduler.Question
	asking    bool
	// disrupted holds the disruptions of the pool's workers by their keys.
	disrupted map[apfleet.Key]disruption
	// leftAt is when the disruption of a worker ended.
	leftAt map[apjob.WorkerID]time.Time
	// pool is what the store says of the shard's pool.
	pool   apmachine.Pool
	poolAt time.Time
}

// New returns an owner of a claimed shard.
func New(config Config) *Owner {
	return &Owner{
		config: config,
		shard:  apscheduler.New(config.Journal.Fence(), config.Scheduler...),
		events: make(chan func(time.Time), eventQueue),
		held:   make(map[apjob.WorkerID]bool),

		disrupted: make(map[apfleet.Key]disruption),
		leftAt:    make(map[apjob.WorkerID]time.Time),
	}
}

// Run owns the shard until ctx ends or another owner takes over. It returns nil after ctx, and
// gives the shard up before.
func (o *Owner) Run(ctx context.Context) error {
	started := time.Now()
	state, err := o.config.Journal.Load(ctx)
	if err != nil {
		return err
	}
	if err := o.loadDisruptions(ctx); err != nil {
		return err
	}
	o.load(state, time.Now())
	o.config.Log("ShardOwned", map[string]any{
		"Shard": o.config.Shard, "Fence": o.config.Journal.Fence(), "Epoch": o.config.Journal.Epoch(),
		"Jobs": o.shard.Backlog(), "Broken": len(state.Broken), "LoadMs": time.Since(started).Milliseconds(),
	})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := apgroup.WithContext(inner)
	o.calls = group
	group.Go(func() error { return o.followInbox(inner) })
	group.Go(func() error { return o.followWorkers(inner) })
	group.Go(func() error { return o.followDisruptions(inner) })
	group.Go(func() error {
		defer cancel()
		return o.loop(ctx, inner)
	})
	return group.Wait()
}

func (o *Owner) load(state apjournal.State, now time.Time) {
	o.setQueues()
	for id, saved := range state.Jobs {
		age := min(max(time.Since(saved.Job.Submitted), 0), maxAge)
		if saved.Begun {
			o.shard.Load(saved.Job, saved.Progress, age, now)
		} else {
			o.shard.Submit(saved.Job, age, now)
		}
		if saved.Cancelled {
			o.shard.Cancel(id, now)
		}
	}
	o.retired = state.Retired
}

// maxAge bounds the age of a job that comes from another entry's time of day, which may be wrong.
const maxAge = time.Minute

func (o *Owner) setQueues() {
	table := o.config.Queues()
	if table == nil || table == o.table {
		return
	}
	o.table = table
	queues := make(map[apjob.Queue]apscheduler.Queue, len(table.Queues))
	for _, q := range table.Queues {
		queues[q.Name] = apscheduler.Queue{
			Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Slack: q.Slack, Advised: q.Advice != nil,
		}
	}
	o.shard.SetQueues(queues)
}

// loop applies events and takes decisions, alone.
func (o *Owner) loop(ctx, inner context.Context) error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	rested := time.NewTimer(0)
	defer rested.Stop()
	for {
		select {
		case <-ctx.Done():
			return o.leave(inner)
		case <-inner.Done():
			return o.fatal
		case event := <-o.events:
			event(time.Now())
			o.drain()
		case <-ticker.C:
			o.setQueues()
			o.cordon(time.Now())
			o.holdDue = true
		case <-rested.C:
		}
		if o.fatal != nil {
			return o.fatal
		}
		now := time.Now()
		if rest := o.restUntil.Sub(now); rest > 0 {
			rested.Reset(rest)
			continue
		}
		o.step(inner, now)
		o.restUntil = time.Now().Add(Rest(time.Since(now)))
	}
}

// Rest returns the least time between the end of a step that took a time and the next step.
func Rest(took time.Duration) time.Duration { return min(restFactor*took, maxRest) }

// drain applies the events that are there already.
func (o *Owner) drain() {
	for {
		select {
		case event := <-o.events:
			event(time.Now())
		default:
			return
		}
	}
}

func (o *Owner) step(ctx context.Context, now time.Time) {
	if !o.stopping && !o.storing {
		o.shard.Plan(now, time.Now())
	}
	o.store(ctx, now)
	o.send(ctx, now)
	o.ask(ctx)
	if o.holdDue {
		o.holdDue = false
		o.hold(ctx)
	}
	o.report()
}

func (o *Owner) report() {
	for _, event := range o.shard.TakeEvents() {
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
		o.config.Log(event.What, fields)
	}
}

// post hands an event to the loop.
func (o *Owner) post(ctx context.Context, event func(now time.Time)) bool {
	select {
	case o.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave stores what is known and gives the shard up.
func (o *Owner) leave(ctx context.Context) error {
	o.stopping = true
	deadline := time.NewTimer(leaveTime)
	defer deadline.Stop()
	for o.storing || o.shard.BatchDue() {
		o.store(ctx, time.Now())
		select {
		case event := <-o.events:
			event(time.Now())
		case <-deadline.C:
			return apcode.Errorf(apcode.StoreUnavailable, "shard %s: could not be stored before leaving", o.config.Shard)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	err := o.config.Journal.Release(ctx)
	o.report()
	o.config.Log("ShardReleased", map[string]any{"Shard": o.config.Shard, "Error": err})
	return err
}

// leaveTime bounds each part of giving a shard up.
const leaveTime = 1500 * time.Millisecond
