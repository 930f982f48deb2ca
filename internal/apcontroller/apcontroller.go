// Package apcontroller runs the shard of all machines while this entry owns it: waves of upkeep and moves
// between pools, each machine emptied by its pool's owner first.
package apcontroller

import (
	"context"
	"slices"
	"strconv"
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

// Machines lists, moves and maintains machines.
type Machines interface {
	// List returns all machines, sorted by name. Errors: PlatformFailed.
	List(ctx context.Context) ([]apmachine.Machine, error)
	// Carry does what a machine was emptied for; again after a lost answer.
	// Errors: StaleFence, OrderBusy, NoSuchWave, NoSuchVM, PlatformFailed.
	Carry(ctx context.Context, d apmachine.Disruption, fence uint64) error
}

// Waves reads the operators' waves and writes how far they are.
type Waves interface {
	// Prefix is where operators ask for waves.
	Prefix() apfleet.Key
	// Parse reads a wave. Errors carry BadMessage.
	Parse(data []byte) (apmachine.Wave, error)
	// Status returns the key and the value that tell how far a wave is.
	Status(number int, completed bool) (apfleet.Key, []byte, error)
}

// Config is what a Controller needs.
type Config struct {
	Ledger   apstore.Ledger
	Journal  *apjournal.Journal
	Machines Machines
	Waves    Waves
	Queues   func() *apqueue.Table
	Log      aplog.Event
	// OrderLease is how far apart orders of two holders for one machine must be.
	OrderLease time.Duration
	// Permit is how long a holder that has not given the shard up may act after its successor took over.
	Permit time.Duration
	// Away is the least time that a machine is away after an order.
	Away time.Duration
}

const (
	// tickTime is how often decisions are taken.
	tickTime = 60 * time.Millisecond
	// listAge is the age at which the list of machines is read again.
	listAge = 400 * time.Millisecond
	// watchWait, watchGap and watchBackoff are the times of the watches.
	watchWait    = 2 * time.Second
	watchGap     = 80 * time.Millisecond
	watchBackoff = 200 * time.Millisecond
	// awaitingGap is the least time between two lists of the workers that await upkeep.
	awaitingGap = time.Second
	// retryGap is the pause before an order is sent again.
	retryGap = 500 * time.Millisecond
	// maxOrders bounds the orders under way.
	maxOrders = 24
	// maxStepOrders bounds the orders of one step, so that decisions are taken on fresh tables.
	maxStepOrders = 48
	// maxChanges bounds the changes of one transaction.
	maxChanges = 24
	// actionChanges is the most that one action changes: the end of a wave writes two keys.
	actionChanges = 2
)

// Controller runs the shard of machines. Use New.
type Controller struct {
	config  Config
	events  chan func()
	tables  apmachine.Tables
	started time.Time
	listed  time.Time
	// inherited holds the machines that an earlier holder had begun to empty, or ordered a moment ago.
	inherited map[apmachine.Name]bool
	// records holds until when the records of orders that were carried out are kept for a successor.
	records map[apmachine.Name]time.Time
	// carried holds the machines whose order succeeded, until they are back.
	carried map[apmachine.Name]carried
	// retryAt holds back orders that failed.
	retryAt map[apmachine.Name]time.Time
	// waves holds the numbers behind the operators' keys.
	waves map[apfleet.Key]int
	// awaiting is what the store has of the workers that await upkeep, and when it was written.
	awaiting   map[apfleet.ServiceName][]apjob.WorkerID
	awaitingAt time.Time
	// logged is the size and the need of each pool in the last line about it.
	logged map[apfleet.ServiceName][2]int
}

// New returns a controller of the claimed shard of machines.
func New(config Config) *Controller {
	return &Controller{
		config: config, events: make(chan func(), 64),
		inherited: make(map[apmachine.Name]bool), records: make(map[apmachine.Name]time.Time),
		carried: make(map[apmachine.Name]carried), retryAt: make(map[apmachine.Name]time.Time), waves: make(map[apfleet.Key]int),
		awaiting: make(map[apfleet.ServiceName][]apjob.WorkerID),
		logged:   make(map[apfleet.ServiceName][2]int),
		tables: apmachine.Tables{
			Since: make(map[int]time.Time), Finished: make(map[int]apmachine.Finished),
			Disruptions: make(map[apmachine.Name]apmachine.Disruption), Pools: make(map[apfleet.ServiceName]apmachine.Pool),
			UpSince: make(map[apmachine.Name]time.Time),
		},
	}
}

// Run controls the machines until ctx ends or another owner takes over.
func (c *Controller) Run(ctx context.Context) error {
	c.started = time.Now()
	if err := c.load(ctx); err != nil {
		return err
	}
	c.config.Log("ControlOwned", map[string]any{
		"Fence": c.config.Journal.Fence(), "Epoch": c.config.Journal.Epoch(), "Disruptions": len(c.tables.Disruptions),
	})
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	group, inner := apgroup.WithContext(inner)
	group.Go(func() error { return c.follow(inner, c.config.Waves.Prefix(), c.applyWaves) })
	group.Go(func() error { return c.follow(inner, apjournal.PrefixPools, c.applyPools) })
	group.Go(func() error {
		defer cancel()
		return c.loop(inner)
	})
	err := group.Wait()
	if ctx.Err() != nil {
		last, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
		defer stop()
		return c.config.Journal.Release(last)
	}
	return err
}

// releaseTime bounds giving the shard up.
const releaseTime = time.Second

func (c *Controller) load(ctx context.Context) error {
	control, err := c.config.Ledger.Scan(ctx, apjournal.PrefixControl)
	if err != nil {
		return err
	}
	for _, value := range control.Values {
		if pool, ok := apjournal.AwaitingOf(value.Key); ok {
			var awaiting apmachine.Awaiting
			if err := apfleet.Decode(value.Data, &awaiting); err != nil {
				c.config.Log("AwaitingUnreadable", map[string]any{"Key": value.Key, "Error": err})
			}
			c.awaiting[pool] = awaiting.Workers
			continue
		}
		var d apmachine.Disruption
		if err := apfleet.Decode(value.Data, &d); err != nil {
			c.config.Log("DisruptionUnreadable", map[string]any{"Key": value.Key, "Error": err})
			continue
		}
		c.inherited[d.Machine] = true
		if d.Ordered {
			c.records[d.Machine] = c.started.Add(c.config.OrderLease)
			continue
		}
		d.Revision = value.Revision
		c.tables.Disruptions[d.Machine] = d
	}
	return nil
}

func (c *Controller) follow(ctx context.Context, prefix apfleet.Key, apply func(apstore.Update)) error {
	tail := apstore.Tail{Ledger: c.config.Ledger, Prefix: prefix, Wait: watchWait, Gap: watchGap, Backoff: watchBackoff}
	return tail.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			return
		}
		select {
		case c.events <- func() { apply(update) }:
		case <-ctx.Done():
		}
	})
}

func (c *Controller) applyWaves(update apstore.Update) {
	for _, event := range update.Events {
		if event.Removed {
			number := c.waves[event.Value.Key]
			c.tables.Waves = slices.DeleteFunc(c.tables.Waves, func(w apmachine.Wave) bool { return w.Number == number })
			continue
		}
		wave, err := c.config.Waves.Parse(event.Value.Data)
		if err != nil {
			c.config.Log("WaveUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
			continue
		}
		c.waves[event.Value.Key] = wave.Number
		c.tables.Waves = slices.DeleteFunc(c.tables.Waves, func(w apmachine.Wave) bool { return w.Number == wave.Number })
		c.tables.Waves = append(c.tables.Waves, wave)
	}
}

func (c *Controller) applyPools(update apstore.Update) {
	for _, event := range update.Events {
		name := apfleet.ServiceName(event.Value.Key[len(apjournal.PrefixPools):])
		var pool apmachine.Pool
		if event.Removed || apfleet.Decode(event.Value.Data, &pool) != nil {
			delete(c.tables.Pools, name)
			continue
		}
		pool.SeenAt = time.Now()
		c.tables.Pools[name] = pool
	}
}

func (c *Controller) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event()
			continue
		case <-ticker.C:
		}
		if err := c.step(ctx, time.Now()); err != nil {
			return err
		}
	}
}

func (c *Controller) step(ctx context.Context, now time.Time) error {
	if err := c.newWaves(ctx, now); err != nil {
		return err
	}
	if now.Sub(c.listed) >= listAge && !c.list(ctx, now) {
		return nil
	}
	c.tables.Now, c.tables.Started = now, c.started
	c.tables.First = c.config.Journal.Epoch() == 1
	if table := c.config.Queues(); table != nil {
		for _, s := range table.Services {
			if s.Spare {
				c.tables.Spare = s.Name
			}
		}
	}
	actions := apmachine.Plan(&c.tables)
	c.logWants()
	if err := c.announce(ctx, now); err != nil {
		return err
	}
	return c.execute(ctx, actions, now)
}

// announce tells the pools which of their workers await upkeep, so that long-running tasks that are moved
// stay where they come to.
func (c *Controller) announce(ctx context.Context, now time.Time) error {
	if now.Sub(c.awaitingAt) < awaitingGap {
		return nil
	}
	var write apjournal.Write
	for pool, workers := range c.tables.AwaitingWorkers() {
		if slices.Equal(workers, c.awaiting[pool]) {
			continue
		}
		c.awaiting[pool] = workers
		data := apfleet.Encode(apmachine.Awaiting{Workers: workers})
		write.Puts = append(write.Puts, apstore.Put{Key: apjournal.PrefixAwaiting + apfleet.Key(pool), Data: data})
	}
	if len(write.Puts) == 0 {
		return nil
	}
	c.awaitingAt = now
	return c.write(ctx, write)
}

// logWants writes a line for each pool whose size or need has changed.
func (c *Controller) logWants() {
	for pool, want := range c.tables.Wants {
		size := c.tables.Sizes[pool]
		if c.logged[pool] == [2]int{size, want.Machines} {
			continue
		}
		c.logged[pool] = [2]int{size, want.Machines}
		p := c.tables.Pools[pool]
		c.config.Log("PoolSized", map[string]any{
			"Pool": pool, "Size": size, "Wanted": want.Machines, "Queued": p.Queued, "Usable": len(p.Used), "Widest": p.Widest,
		})
	}
}

// newWaves reads how far waves have come that were not seen before, and tells the operator that they
// run.
func (c *Controller) newWaves(ctx context.Context, now time.Time) error {
	for _, w := range c.tables.Waves {
		if _, known := c.tables.Since[w.Number]; known {
			continue
		}
		value, err := c.config.Ledger.Read(ctx, waveKey(w.Number))
		if err != nil {
			// Looked at again in the next step.
			return nil //nolint:nilerr // The store's absence is logged where it is followed.
		}
		var finished apmachine.Finished
		if value.Revision != 0 {
			if err := apfleet.Decode(value.Data, &finished); err != nil {
				c.config.Log("WaveUnreadable", map[string]any{"Key": value.Key, "Error": err})
			}
		}
		passed := finished.Passed(w, now)
		write := c.status(w.Number, finished.Completed)
		if finished.Began.IsZero() {
			// A successor goes on in the wave's time, not in a time of its own.
			finished.Began = now
			write.Puts = append(write.Puts, apstore.Put{Key: waveKey(w.Number), Data: apfleet.Encode(finished)})
		}
		c.tables.Since[w.Number] = now.Add(-passed)
		c.tables.Finished[w.Number] = finished
		c.config.Log("WaveSeen", map[string]any{
			"Wave": w.Number, "Machines": len(w.Machines), "Done": len(finished.Machines), "MaxCount": w.MaxCount, "Duration": w.Duration, "Passed": passed,
		})
		if err := c.write(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

func waveKey(number int) apfleet.Key {
	return apjournal.PrefixWaves + apfleet.Key(strconv.Itoa(number))
}

// list reads the list of machines; those that are away by our order don't count as up.
func (c *Controller) list(ctx context.Context, now time.Time) bool {
	machines, err := c.config.Machines.List(ctx)
	if err != nil {
		c.config.Log("MachinesUnread", map[string]any{"Error": err, "AgeMs": now.Sub(c.listed).Milliseconds()})
		return false
	}
	c.listed = now
	for i := range machines {
		m := &machines[i]
		if away, ok := c.carried[m.Name]; ok {
			c.override(m, away, now)
		}
		if _, up := c.tables.UpSince[m.Name]; m.State == apmachine.StateUp && !up {
			c.tables.UpSince[m.Name] = now
		} else if m.State != apmachine.StateUp {
			delete(c.tables.UpSince, m.Name)
		}
	}
	c.tables.Machines = machines
	return true
}
