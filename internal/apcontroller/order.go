package apcontroller

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/internal/apgroup"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

// carried is a machine that is away by our order.
type carried struct {
	at     time.Time
	worker apjob.WorkerID
	// target is the pool that the machine is moved to; empty for upkeep.
	target apfleet.ServiceName
}

// override shows a machine as away until the list has caught up with our order.
func (c *Controller) override(m *apmachine.Machine, away carried, now time.Time) {
	if now.Sub(away.at) < c.config.Away || m.State == apmachine.StateUp && away.worker != "" && m.Worker == away.worker {
		away.apply(m)
	} else if m.State == apmachine.StateUp {
		delete(c.carried, m.Name)
	}
}

// apply shows a machine as away.
func (a carried) apply(m *apmachine.Machine) {
	m.State = apmachine.StateUpkeep
	if a.target != "" {
		m.State, m.Pool = apmachine.StateMoving, a.target
	}
}

func (c *Controller) execute(ctx context.Context, actions []apmachine.Action, now time.Time) error {
	var write apjournal.Write
	var records apjournal.Write
	var opened []apmachine.Disruption
	var orders []apmachine.Disruption
	for _, action := range actions {
		// One transaction opens disruptions, for each carries its revision.
		if len(write.Puts)+len(write.Removals)+actionChanges > maxChanges {
			break
		}
		switch action := action.(type) {
		case apmachine.Open:
			d := action.Disruption
			c.config.Log("DisruptionOpened", map[string]any{"Machine": d.Machine, "Worker": d.Worker, "Pool": d.Pool, "Wave": d.Wave, "Target": d.Target, "ListAgeMs": now.Sub(c.listed).Milliseconds()})
			write.Puts = append(write.Puts, disruptionPut(d))
			opened = append(opened, d)
			delete(c.records, d.Machine)
		case apmachine.Close:
			c.config.Log("DisruptionClosed", map[string]any{"Machine": action.Machine, "Why": action.Why})
			write.Removals = append(write.Removals, disruptionKey(action.Machine))
			delete(c.tables.Disruptions, action.Machine)
		case apmachine.Carry:
			if len(orders) < maxStepOrders && now.After(c.retryAt[action.Disruption.Machine]) && c.mayOrder(action.Disruption.Machine, now) {
				orders = append(orders, action.Disruption)
				if _, open := c.tables.Disruptions[action.Disruption.Machine]; !open {
					// A spare machine needs no emptying, and so has no record yet.
					c.record(action.Disruption, &records, now)
				}
			}
		case apmachine.Complete:
			finished := c.tables.Finished[action.Wave]
			finished.Completed = true
			c.tables.Finished[action.Wave] = finished
			c.config.Log("WaveCompleted", map[string]any{"Wave": action.Wave, "AfterMs": now.Sub(c.tables.Since[action.Wave]).Milliseconds()})
			write.Puts = append(write.Puts, apstore.Put{Key: waveKey(action.Wave), Data: apfleet.Encode(finished)})
			write.Puts = append(write.Puts, c.status(action.Wave, true).Puts...)
		}
	}
	c.dropRecords(&write, now)
	if err := c.write(ctx, write); err != nil {
		return err
	}
	for _, d := range opened {
		d.Revision = c.config.Journal.Revision()
		c.tables.Disruptions[d.Machine] = d
	}
	if err := c.write(ctx, records); err != nil {
		return err
	}
	return c.order(ctx, orders)
}

// record adds a record to a write that tells a successor that a machine was ordered.
func (c *Controller) record(d apmachine.Disruption, write *apjournal.Write, now time.Time) {
	d.Ordered = true
	write.Puts = append(write.Puts, disruptionPut(d))
	c.records[d.Machine] = now.Add(c.config.OrderLease)
}

// mayOrder holds a new holder back until its orders are far enough from those of the last one, which ordered
// only machines that the store has a record of. Such an order may still come while its permit lasts, unless it
// gave the shard up.
func (c *Controller) mayOrder(name apmachine.Name, now time.Time) bool {
	if c.config.Journal.Epoch() == 1 || !c.inherited[name] {
		return true
	}
	wait := c.config.OrderLease
	if !c.config.Journal.HandedOver() {
		wait += c.config.Permit
	}
	return now.Sub(c.started) >= wait
}

func disruptionKey(name apmachine.Name) apfleet.Key {
	return apjournal.PrefixDisruptions + apfleet.Key(name)
}

func disruptionPut(d apmachine.Disruption) apstore.Put {
	return apstore.Put{Key: disruptionKey(d.Machine), Data: apfleet.Encode(d)}
}

// order sends orders together, then stores what was done.
func (c *Controller) order(ctx context.Context, orders []apmachine.Disruption) error {
	if len(orders) == 0 {
		return nil
	}
	results := make([]error, len(orders))
	// Orders that are under way are awaited before the shard is given up.
	sending := context.WithoutCancel(ctx)
	group := &errgroup.Group{}
	group.SetLimit(maxOrders)
	for i, d := range orders {
		group.Go(func() error {
			results[i] = apgroup.Guard(func() error {
				if ctx.Err() != nil {
					return apcode.Wrapf(apcode.PermitExpired, ctx.Err(), "order of %s", d.Machine)
				}
				return c.config.Machines.Carry(sending, d, c.config.Journal.Fence())
			})
			return nil
		})
	}
	_ = group.Wait()
	var write apjournal.Write
	changed := make(map[int]bool)
	for i, d := range orders {
		if err := c.ordered(d, results[i], &write, changed); err != nil {
			return err
		}
	}
	for _, number := range slices.Sorted(maps.Keys(changed)) {
		data := apfleet.Encode(c.tables.Finished[number])
		write.Puts = append(write.Puts, apstore.Put{Key: waveKey(number), Data: data})
	}
	return c.write(ctx, write)
}

// ordered notes the answer to one order.
func (c *Controller) ordered(d apmachine.Disruption, err error, write *apjournal.Write, changed map[int]bool) error {
	now := time.Now()
	c.config.Log("MachineOrdered", map[string]any{"Machine": d.Machine, "Worker": d.Worker, "Wave": d.Wave, "Target": d.Target, "Error": err})
	switch apcode.Of(err) {
	case apcode.OK:
		away := carried{at: now, worker: d.Worker, target: d.Target}
		c.carried[d.Machine] = away
		if i, ok := c.row(d.Machine); ok {
			away.apply(&c.tables.Machines[i])
		}
		if d.Kind == apmachine.KindUpkeep {
			finished := c.tables.Finished[d.Wave]
			finished.Machines = append(slices.Clone(finished.Machines), d.Machine)
			c.tables.Finished[d.Wave] = finished
			changed[d.Wave] = true
		}
	case apcode.StaleFence:
		return err
	case apcode.NoSuchWave, apcode.NoSuchVM:
		// Refused for good: the machine isn't of that wave or has left.
	default:
		c.retryAt[d.Machine] = now.Add(retryGap)
		return nil
	}
	if _, open := c.tables.Disruptions[d.Machine]; open {
		c.record(d, write, now)
		delete(c.tables.Disruptions, d.Machine)
	}
	return nil
}

// dropRecords adds the removal of records that tell a successor nothing any more.
func (c *Controller) dropRecords(write *apjournal.Write, now time.Time) {
	for name, until := range c.records {
		if len(write.Puts)+len(write.Removals) >= maxChanges {
			return
		}
		if !now.Before(until) {
			write.Removals = append(write.Removals, disruptionKey(name))
			delete(c.records, name)
		}
	}
}

func (c *Controller) row(name apmachine.Name) (int, bool) {
	i := slices.IndexFunc(c.tables.Machines, func(m apmachine.Machine) bool { return m.Name == name })
	return i, i >= 0
}

func (c *Controller) status(number int, completed bool) apjournal.Write {
	key, data, err := c.config.Waves.Status(number, completed)
	if err != nil {
		c.config.Log("WaveStatusUnwritten", map[string]any{"Wave": number, "Error": err})
		return apjournal.Write{}
	}
	return apjournal.Write{Puts: []apstore.Put{{Key: key, Data: data}}}
}

// write stores a change, in several transactions when it is large and in none when it is empty.
func (c *Controller) write(ctx context.Context, write apjournal.Write) error {
	for len(write.Puts)+len(write.Removals) > 0 {
		puts := min(maxChanges, len(write.Puts))
		removals := min(maxChanges-puts, len(write.Removals))
		part := apjournal.Write{Puts: write.Puts[:puts], Removals: write.Removals[:removals]}
		write.Puts, write.Removals = write.Puts[puts:], write.Removals[removals:]
		err := c.config.Journal.Store(ctx, part, func(err error) {
			c.config.Log("StoreFailed", map[string]any{"Shard": apjournal.Machines, "Error": err})
		})
		if err != nil {
			return err
		}
	}
	return nil
}
