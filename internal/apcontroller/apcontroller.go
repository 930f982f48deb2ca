// Package apcontroller controls all machines while this entry owns their shard: it runs maintenance waves and
// moves machines between pools. The owner of a machine's pool empties the machine first.
package apcontroller

import (
	"context"
	"time"

	"auburnport/internal/apgroup"
	"auburnport/internal/aplog"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
)

// Machines is the platform's machine service.
type Machines interface {
	// List returns all machines, sorted by name. It may omit a machine that stays, but not because of an error.
	// Errors: PlatformFailed.
	List(ctx context.Context) ([]apmachine.Machine, error)
	// Execute orders the move or the upkeep of an emptied machine. It is idempotent, so an order whose response
	// was lost can be sent again.
	// Errors: StaleFence, OrderBusy, NoSuchWave, NoSuchVM, PlatformFailed.
	Execute(ctx context.Context, d apmachine.Disruption, fence uint64) error
}

// Waves decodes the waves that operators request and encodes their status.
type Waves interface {
	// Prefix returns the key prefix of the operators' wave requests.
	Prefix() apfleet.Key
	// Parse decodes a wave. Errors: BadMessage.
	Parse(data []byte) (apmachine.Wave, error)
	// Status returns the key and the value that report a wave as running or completed.
	Status(number int, completed bool) (apfleet.Key, []byte, error)
}

// Config configures a Controller.
type Config struct {
	Store    apstore.TransactionalStore
	Journal  *apjournal.Journal
	Machines Machines
	Waves    Waves
	// Queues returns the newest settings, or nil while there are none. Nothing is planned without settings.
	Queues func() *apqueue.Table
	Log    aplog.EventFunc
	// OrderLease is the minimum time between orders of two different shard owners for one machine.
	OrderLease time.Duration
	// PermitTTL is how long an owner that has not released the shard may still act after its successor claimed it.
	PermitTTL time.Duration
	// MinDowntime is the minimum time that a machine is unavailable after an order.
	MinDowntime time.Duration
}

const (
	// planInterval is how often actions are planned.
	planInterval = 60 * time.Millisecond
	// maxListAge is the age at which the machine list is read again.
	maxListAge = 400 * time.Millisecond
	// watchTimeout is the long-poll duration of a watch, watchDelay the pause between two watches, and
	// watchBackoff the pause after a failed one.
	watchTimeout = 2 * time.Second
	watchDelay   = 80 * time.Millisecond
	watchBackoff = 200 * time.Millisecond
	// awaitingInterval is the minimum time between two writes of the workers that await upkeep.
	awaitingInterval = time.Second
	// orderRetryDelay is the pause before a failed order is sent again.
	orderRetryDelay = 500 * time.Millisecond
	// maxConcurrentOrders bounds the orders in flight.
	maxConcurrentOrders = 24
	// maxOrdersPerStep bounds the orders of one step, so that the next plan is based on fresh tables.
	maxOrdersPerStep = 48
	// maxTransactionChanges bounds the puts and removals of one transaction.
	maxTransactionChanges = 24
	// maxActionChanges is the largest number of changes of one action: completing a wave writes two keys.
	maxActionChanges = 2
)

// Controller controls the machines. Create it with New.
type Controller struct {
	config Config
	// updates holds the store's changes until the control loop applies them.
	updates chan func()
	tables  apmachine.Tables
	// startedAt is when this controller took over.
	startedAt time.Time
	// listedAt is when the machine list was last read.
	listedAt time.Time
	// recordExpiry is the time until which the record of an executed order is kept for a successor.
	recordExpiry map[apmachine.Name]time.Time
	// away holds the machines whose order succeeded, until they are up again.
	away map[apmachine.Name]awayMachine
	// retryAt is the earliest time at which a failed order is sent again.
	retryAt map[apmachine.Name]time.Time
	// waveNumbers maps the key of a wave request to the wave's number.
	waveNumbers map[apfleet.Key]int
	// published is the stored list of the workers of each pool that await upkeep, publishedAt the time
	// of its last write.
	published   map[apfleet.ServiceName][]apjob.WorkerID
	publishedAt time.Time
	// loggedSizes is the size and the target size that were last logged of each pool.
	loggedSizes map[apfleet.ServiceName][2]int
}

// New returns a controller for the machines' shard, which config.Journal has claimed.
func New(config Config) *Controller {
	return &Controller{
		config: config, updates: make(chan func(), 64),
		recordExpiry: make(map[apmachine.Name]time.Time),
		away:         make(map[apmachine.Name]awayMachine), retryAt: make(map[apmachine.Name]time.Time), waveNumbers: make(map[apfleet.Key]int),
		published:   make(map[apfleet.ServiceName][]apjob.WorkerID),
		loggedSizes: make(map[apfleet.ServiceName][2]int),
		tables: apmachine.Tables{
			WaveFirstSeen: make(map[int]time.Time), Progress: make(map[int]apmachine.WaveProgress),
			Disruptions: make(map[apmachine.Name]apmachine.Disruption), Pools: make(map[apfleet.ServiceName]apmachine.PoolReport),
			UpSince: make(map[apmachine.Name]time.Time), Withheld: make(map[apmachine.Name]bool),
		},
	}
}

// Run controls the machines until ctx ends or another owner takes over. It releases the shard when ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.startedAt = time.Now()
	if err := c.loadState(ctx); err != nil {
		return err
	}
	c.config.Log("ControlOwned", map[string]any{
		"Fence": c.config.Journal.Fence(), "Epoch": c.config.Journal.Epoch(), "Disruptions": len(c.tables.Disruptions),
	})
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	group, inner := apgroup.WithContext(inner)
	group.Go(func() error { return c.watch(inner, c.config.Waves.Prefix(), c.applyWaves) })
	group.Go(func() error { return c.watch(inner, apjournal.PrefixPools, c.applyPools) })
	group.Go(func() error {
		defer cancel()
		return c.controlLoop(inner)
	})
	err := group.Wait()
	if ctx.Err() != nil {
		last, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer stop()
		return c.config.Journal.Release(last, time.Since(c.startedAt) >= c.previousPermit())
	}
	return err
}

// releaseTimeout bounds the release of the shard.
const releaseTimeout = time.Second

// loadState reads what previous owners of the shard have stored.
func (c *Controller) loadState(ctx context.Context) error {
	control, err := c.config.Store.Scan(ctx, apjournal.PrefixControl)
	if err != nil {
		return err
	}
	for _, value := range control.Values {
		if pool, ok := apjournal.ParseAwaitingKey(value.Key); ok {
			var awaiting apmachine.AwaitingUpkeep
			if err := apfleet.Decode(value.Data, &awaiting); err != nil {
				c.config.Log("AwaitingUnreadable", map[string]any{"Key": value.Key, "Error": err})
			}
			c.published[pool] = awaiting.Workers
			continue
		}
		var d apmachine.Disruption
		if err := apfleet.Decode(value.Data, &d); err != nil {
			c.config.Log("DisruptionUnreadable", map[string]any{"Key": value.Key, "Error": err})
			continue
		}
		if d.Ordered || d.RecentOrder || c.config.Journal.PreviousProtocol() < apjournal.ProtocolMarkedOrders {
			c.tables.Withheld[d.Machine] = true
		}
		if d.Ordered {
			c.recordExpiry[d.Machine] = c.startedAt.Add(c.inheritedWait())
			continue
		}
		d.Revision = value.Revision
		c.tables.Disruptions[d.Machine] = d
	}
	return nil
}

// controlLoop applies changes as they come and plans at every tick.
func (c *Controller) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case apply := <-c.updates:
			apply()
			continue
		case <-ticker.C:
		}
		if err := c.step(ctx, time.Now()); err != nil {
			return err
		}
	}
}

// step refreshes the tables, plans once and executes the plan.
func (c *Controller) step(ctx context.Context, now time.Time) error {
	if err := c.registerNewWaves(ctx, now); err != nil {
		return err
	}
	if now.Sub(c.listedAt) >= maxListAge && !c.refreshMachines(ctx, now) {
		return nil
	}
	c.tables.Now, c.tables.Started = now, c.startedAt
	c.tables.FirstController = c.config.Journal.Epoch() == 1
	if now.Sub(c.startedAt) >= c.inheritedWait() {
		clear(c.tables.Withheld)
	}
	table := c.config.Queues()
	if table == nil {
		return nil
	}
	c.setPoolsInForce(table)
	actions := apmachine.Plan(&c.tables)
	c.logPoolSizes()
	if err := c.publishAwaiting(ctx, now); err != nil {
		return err
	}
	return c.execute(ctx, actions, now)
}

// setPoolsInForce takes from the newest settings which pools may get machines.
func (c *Controller) setPoolsInForce(table *apqueue.Table) {
	c.tables.SparePool, c.tables.InForce = "", make(map[apfleet.ServiceName]bool, len(table.Services))
	for _, s := range table.Services {
		if s.Spare {
			c.tables.SparePool = s.Name
			continue
		}
		c.tables.InForce[s.Name] = true
	}
}

// logPoolSizes logs each pool whose size or target size has changed.
func (c *Controller) logPoolSizes() {
	for pool, target := range c.tables.TargetSizes {
		size := c.tables.Sizes[pool]
		if c.loggedSizes[pool] == [2]int{size, target.Machines} {
			continue
		}
		c.loggedSizes[pool] = [2]int{size, target.Machines}
		p := c.tables.Pools[pool]
		c.config.Log("PoolSized", map[string]any{
			"Pool": pool, "Size": size, "Wanted": target.Machines, "Queued": p.QueuedWork, "Usable": len(p.ReservedCPU), "Widest": p.WidestStep,
		})
	}
}

// refreshMachines reads the machine list and reports whether it could. Machines that this controller has
// ordered away do not count as up.
func (c *Controller) refreshMachines(ctx context.Context, now time.Time) bool {
	machines, err := c.config.Machines.List(ctx)
	if err != nil {
		c.config.Log("MachinesUnread", map[string]any{"Error": err, "AgeMs": now.Sub(c.listedAt).Milliseconds()})
		return false
	}
	c.listedAt = now
	for i := range machines {
		m := &machines[i]
		if away, ok := c.away[m.Name]; ok {
			c.correctState(m, away, now)
		}
		if _, up := c.tables.UpSince[m.Name]; m.State == apmachine.StateUp && !up {
			c.tables.UpSince[m.Name] = now
		} else if m.State != apmachine.StateUp {
			delete(c.tables.UpSince, m.Name)
		}
	}
	c.tables.SetMachines(machines, now)
	return true
}
