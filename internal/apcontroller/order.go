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

// awayMachine is a machine that an order of this controller has made unavailable.
type awayMachine struct {
	orderedAt time.Time
	// worker is the machine's worker at the time of the order. While the platform still lists the machine
	// with this worker, its list is out of date.
	worker apjob.WorkerID
	// target is the pool that the machine is moved to; empty for upkeep.
	target apfleet.ServiceName
}

// correctState marks a listed machine as unavailable while the platform's list lags behind the order.
func (c *Controller) correctState(m *apmachine.Machine, away awayMachine, now time.Time) {
	if now.Sub(away.orderedAt) < c.config.MinDowntime || m.State == apmachine.StateUp && away.worker != "" && m.Worker == away.worker {
		away.markUnavailable(m)
	} else if m.State == apmachine.StateUp {
		delete(c.away, m.Name)
	}
}

// markUnavailable sets the state that the order leads to.
func (a awayMachine) markUnavailable(m *apmachine.Machine) {
	m.State = apmachine.StateUpkeep
	if a.target != "" {
		m.State, m.Pool = apmachine.StateMoving, a.target
	}
}

// execute stores the changes of the planned actions, then sends the orders among them.
func (c *Controller) execute(ctx context.Context, actions []apmachine.Action, now time.Time) error {
	var write apjournal.Write
	var opened []apmachine.Disruption
	var orders []apmachine.Disruption
	for _, action := range actions {
		// Each disruption must know the revision at which it was stored, so all changes of a step go into
		// one transaction.
		if len(write.Puts)+len(write.Removals)+maxActionChanges > maxTransactionChanges {
			break
		}
		switch action := action.(type) {
		case apmachine.OpenDisruption:
			d := action.Disruption
			_, d.RecentOrder = c.recordExpiry[d.Machine]
			c.config.Log("DisruptionOpened", map[string]any{"Machine": d.Machine, "Worker": d.Worker, "Pool": d.Pool, "Wave": d.Wave, "Target": d.Target, "ListAgeMs": now.Sub(c.listedAt).Milliseconds()})
			write.Puts = append(write.Puts, disruptionPut(d))
			opened = append(opened, d)
			delete(c.recordExpiry, d.Machine)
		case apmachine.CloseDisruption:
			c.config.Log("DisruptionClosed", map[string]any{"Machine": action.Machine, "Why": action.Reason})
			if c.tables.Disruptions[action.Machine].RecentOrder {
				// An order whose response was lost may have been carried out.
				c.addOrderRecord(c.tables.Disruptions[action.Machine], &write, now)
			} else {
				write.Removals = append(write.Removals, disruptionKey(action.Machine))
			}
			delete(c.tables.Disruptions, action.Machine)
		case apmachine.ExecuteDisruption:
			if len(orders) < maxOrdersPerStep && now.After(c.retryAt[action.Disruption.Machine]) && !c.tables.Withheld[action.Disruption.Machine] {
				orders = append(orders, action.Disruption)
			}
		case apmachine.CompleteWave:
			progress := c.tables.Progress[action.Wave]
			progress.Completed = true
			c.tables.Progress[action.Wave] = progress
			c.config.Log("WaveCompleted", map[string]any{"Wave": action.Wave, "AfterMs": now.Sub(c.tables.WaveFirstSeen[action.Wave]).Milliseconds()})
			write.Puts = append(write.Puts, apstore.Put{Key: waveKey(action.Wave), Data: apfleet.Encode(progress)})
			write.Puts = append(write.Puts, c.waveStatus(action.Wave, true).Puts...)
		}
	}
	c.removeExpiredRecords(&write, now)
	if err := c.commit(ctx, write); err != nil {
		return err
	}
	for _, d := range opened {
		d.Revision = c.config.Journal.Revision()
		c.tables.Disruptions[d.Machine] = d
	}
	if err := c.markOrders(ctx, orders, now); err != nil {
		return err
	}
	return c.sendOrders(ctx, orders)
}

// markOrders stores for each machine that an order may be given, before any is. A successor then knows which machines
// a previous owner may have ordered. After the takeover that owner can't store a mark, so it orders no others.
func (c *Controller) markOrders(ctx context.Context, orders []apmachine.Disruption, now time.Time) error {
	var write apjournal.Write
	var marked []apmachine.Disruption
	for _, d := range orders {
		open, isOpen := c.tables.Disruptions[d.Machine]
		switch {
		case !isOpen:
			// A spare machine is ordered without being emptied, so nothing is stored about it yet.
			c.addOrderRecord(d, &write, now)
		case !open.RecentOrder:
			open.RecentOrder = true
			marked = append(marked, open)
		}
	}
	for chunk := range slices.Chunk(marked, maxTransactionChanges) {
		var part apjournal.Write
		for _, d := range chunk {
			part.Puts = append(part.Puts, disruptionPut(d))
		}
		if err := c.commit(ctx, part); err != nil {
			return err
		}
		for _, d := range chunk {
			d.Revision = c.config.Journal.Revision()
			c.tables.Disruptions[d.Machine] = d
		}
	}
	return c.commit(ctx, write)
}

// addOrderRecord adds a record to write that tells a successor that the machine was ordered.
func (c *Controller) addOrderRecord(d apmachine.Disruption, write *apjournal.Write, now time.Time) {
	d.Ordered = true
	write.Puts = append(write.Puts, disruptionPut(d))
	c.recordExpiry[d.Machine] = now.Add(c.config.OrderLease)
}

// previousPermit returns how long after the takeover a previous owner may still give orders: not at all if the shard was
// released, or had no owner before.
func (c *Controller) previousPermit() time.Duration {
	if c.config.Journal.Epoch() == 1 || c.config.Journal.PreviousOwnerReleased() {
		return 0
	}
	return c.config.PermitTTL
}

// inheritedWait returns how long after the takeover an order may come too soon after one of a previous owner.
func (c *Controller) inheritedWait() time.Duration { return c.previousPermit() + c.config.OrderLease }

func disruptionKey(name apmachine.Name) apfleet.Key {
	return apjournal.PrefixDisruptions + apfleet.Key(name)
}

func disruptionPut(d apmachine.Disruption) apstore.Put {
	return apstore.Put{Key: disruptionKey(d.Machine), Data: apfleet.Encode(d)}
}

// sendOrders sends orders concurrently, then stores their results.
func (c *Controller) sendOrders(ctx context.Context, orders []apmachine.Disruption) error {
	if len(orders) == 0 {
		return nil
	}
	results := make([]error, len(orders))
	// Orders in flight are not cancelled when ctx ends: the shard is released only after they are answered.
	orderCtx := context.WithoutCancel(ctx)
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentOrders)
	for i, d := range orders {
		group.Go(func() error {
			results[i] = apgroup.CatchPanic(func() error {
				if ctx.Err() != nil {
					return apcode.Wrapf(apcode.PermitExpired, ctx.Err(), "order of %s", d.Machine)
				}
				return c.config.Machines.Execute(orderCtx, d, c.config.Journal.Fence())
			})
			return nil
		})
	}
	_ = group.Wait()
	var write apjournal.Write
	changedWaves := make(map[int]bool)
	for i, d := range orders {
		if err := c.handleOrderResult(d, results[i], &write, changedWaves); err != nil {
			return err
		}
	}
	for _, number := range slices.Sorted(maps.Keys(changedWaves)) {
		data := apfleet.Encode(c.tables.Progress[number])
		write.Puts = append(write.Puts, apstore.Put{Key: waveKey(number), Data: data})
	}
	return c.commit(ctx, write)
}

// handleOrderResult updates the tables after one order. It adds the order's record to write and the number of
// the wave whose progress changed to changedWaves.
func (c *Controller) handleOrderResult(d apmachine.Disruption, err error, write *apjournal.Write, changedWaves map[int]bool) error {
	now := time.Now()
	c.config.Log("MachineOrdered", map[string]any{"Machine": d.Machine, "Worker": d.Worker, "Wave": d.Wave, "Target": d.Target, "Error": err})
	switch apcode.Of(err) {
	case apcode.OK:
		away := awayMachine{orderedAt: now, worker: d.Worker, target: d.Target}
		c.away[d.Machine] = away
		if i, ok := c.machineIndex(d.Machine); ok {
			away.markUnavailable(&c.tables.Machines[i])
		}
		if d.Kind == apmachine.KindUpkeep {
			progress := c.tables.Progress[d.Wave]
			progress.Machines = append(slices.Clone(progress.Machines), d.Machine)
			c.tables.Progress[d.Wave] = progress
			changedWaves[d.Wave] = true
		}
	case apcode.StaleFence:
		return err
	case apcode.NoSuchWave, apcode.NoSuchVM:
		// The order can't succeed, so its disruption is closed. A later plan opens it again while the wave and
		// the platform list the machine, or repeats a move that is still needed.
	default:
		c.retryAt[d.Machine] = now.Add(orderRetryDelay)
		return nil
	}
	if _, open := c.tables.Disruptions[d.Machine]; open {
		c.addOrderRecord(d, write, now)
		delete(c.tables.Disruptions, d.Machine)
	}
	return nil
}

// removeExpiredRecords adds to write the removal of order records that a successor no longer needs.
func (c *Controller) removeExpiredRecords(write *apjournal.Write, now time.Time) {
	for name, expiry := range c.recordExpiry {
		if len(write.Puts)+len(write.Removals) >= maxTransactionChanges {
			return
		}
		if !now.Before(expiry) {
			write.Removals = append(write.Removals, disruptionKey(name))
			delete(c.recordExpiry, name)
		}
	}
}

// machineIndex returns the index of a machine in the machine list.
func (c *Controller) machineIndex(name apmachine.Name) (int, bool) {
	i := slices.IndexFunc(c.tables.Machines, func(m apmachine.Machine) bool { return m.Name == name })
	return i, i >= 0
}

// waveStatus returns the write that reports a wave's status to the operator; it is empty when the status can't be
// encoded.
func (c *Controller) waveStatus(number int, completed bool) apjournal.Write {
	key, data, err := c.config.Waves.Status(number, completed)
	if err != nil {
		c.config.Log("WaveStatusUnwritten", map[string]any{"Wave": number, "Error": err})
		return apjournal.Write{}
	}
	return apjournal.Write{Puts: []apstore.Put{{Key: key, Data: data}}}
}

// commit stores a write. A large one is split into several transactions; an empty one needs none.
func (c *Controller) commit(ctx context.Context, write apjournal.Write) error {
	for len(write.Puts)+len(write.Removals) > 0 {
		puts := min(maxTransactionChanges, len(write.Puts))
		removals := min(maxTransactionChanges-puts, len(write.Removals))
		part := apjournal.Write{Puts: write.Puts[:puts], Removals: write.Removals[:removals]}
		write.Puts, write.Removals = write.Puts[puts:], write.Removals[removals:]
		err := c.config.Journal.Store(ctx, part, func(err error) {
			c.config.Log("StoreFailed", map[string]any{"Shard": apjournal.MachineShard, "Error": err})
		})
		if err != nil {
			return err
		}
	}
	return nil
}
