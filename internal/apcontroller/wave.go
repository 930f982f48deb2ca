package apcontroller

import (
	"context"
	"slices"
	"strconv"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

// publishAwaiting stores for each pool which of its workers await upkeep, so that its owner moves
// long-running tasks to workers that are not about to be emptied themselves.
func (c *Controller) publishAwaiting(ctx context.Context, now time.Time) error {
	if now.Sub(c.publishedAt) < awaitingInterval {
		return nil
	}
	var write apjournal.Write
	for pool, workers := range c.tables.AwaitingWorkers() {
		if slices.Equal(workers, c.published[pool]) {
			continue
		}
		c.published[pool] = workers
		data := apfleet.Encode(apmachine.AwaitingUpkeep{Workers: workers})
		write.Puts = append(write.Puts, apstore.Put{Key: apjournal.PrefixAwaiting + apfleet.Key(pool), Data: data})
	}
	if len(write.Puts) == 0 {
		return nil
	}
	c.publishedAt = now
	return c.commit(ctx, write)
}

// registerNewWaves loads the progress of waves that this controller has not seen before and reports them to
// the operator as running.
func (c *Controller) registerNewWaves(ctx context.Context, now time.Time) error {
	for _, w := range c.tables.Waves {
		if _, known := c.tables.WaveFirstSeen[w.Number]; known {
			continue
		}
		value, err := c.config.Store.Read(ctx, waveKey(w.Number))
		if err != nil {
			// Retried in the next step. The watch of the queue table in apnode logs that the store is unavailable.
			return nil //nolint:nilerr // The store's absence is logged where it is followed.
		}
		var progress apmachine.WaveProgress
		if value.Revision != 0 {
			if err := apfleet.Decode(value.Data, &progress); err != nil {
				c.config.Log("WaveUnreadable", map[string]any{"Key": value.Key, "Error": err})
			}
		}
		elapsed := progress.Elapsed(w, now)
		write := c.waveStatus(w.Number, progress.Completed)
		if progress.FirstSeen.IsZero() {
			// The stored start time makes a successor continue the wave's time window instead of starting a
			// new one.
			progress.FirstSeen = now
			write.Puts = append(write.Puts, apstore.Put{Key: waveKey(w.Number), Data: apfleet.Encode(progress)})
		}
		c.tables.WaveFirstSeen[w.Number] = now.Add(-elapsed)
		c.tables.Progress[w.Number] = progress
		c.config.Log("WaveSeen", map[string]any{
			"Wave": w.Number, "Machines": len(w.Machines), "Done": len(progress.Machines), "MaxCount": w.MaxCount, "Duration": w.Duration, "Passed": elapsed,
		})
		if err := c.commit(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

// waveKey returns the key of a wave's progress.
func waveKey(number int) apfleet.Key {
	return apjournal.PrefixWaves + apfleet.Key(strconv.Itoa(number))
}
