package apcontroller

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

// watch passes every change under prefix to apply, on the goroutine of the control loop.
func (c *Controller) watch(ctx context.Context, prefix apfleet.Key, apply func(apstore.Update)) error {
	watcher := apstore.Watcher{Store: c.config.Store, Prefix: prefix, Timeout: watchTimeout, Delay: watchDelay, Backoff: watchBackoff}
	return watcher.Run(ctx, func(update apstore.Update) {
		if update.Err != nil {
			return
		}
		select {
		case c.updates <- func() { apply(update) }:
		case <-ctx.Done():
		}
	})
}

func (c *Controller) applyWaves(update apstore.Update) {
	for key := range c.waveNumbers {
		if update.Omits(key) {
			c.removeWave(key)
		}
	}
	for _, event := range update.Events {
		if event.Removed {
			c.removeWave(event.Value.Key)
			continue
		}
		wave, err := c.config.Waves.Parse(event.Value.Data)
		if err != nil {
			c.config.Log("WaveUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
			continue
		}
		c.waveNumbers[event.Value.Key] = wave.Number
		c.tables.Waves = slices.DeleteFunc(c.tables.Waves, func(w apmachine.Wave) bool { return w.Number == wave.Number })
		c.tables.Waves = append(c.tables.Waves, wave)
	}
}

// removeWave removes the wave of a request that no longer exists.
func (c *Controller) removeWave(key apfleet.Key) {
	number, known := c.waveNumbers[key]
	if !known {
		return
	}
	delete(c.waveNumbers, key)
	c.tables.Waves = slices.DeleteFunc(c.tables.Waves, func(w apmachine.Wave) bool { return w.Number == number })
}

func (c *Controller) applyPools(update apstore.Update) {
	for name := range c.tables.Pools {
		if update.Omits(apjournal.PrefixPools + apfleet.Key(name)) {
			delete(c.tables.Pools, name)
		}
	}
	for _, event := range update.Events {
		name := apfleet.ServiceName(event.Value.Key[len(apjournal.PrefixPools):])
		var report apmachine.PoolReport
		if event.Removed || apfleet.Decode(event.Value.Data, &report) != nil {
			delete(c.tables.Pools, name)
			continue
		}
		report.ReceivedAt = time.Now()
		c.tables.Pools[name] = report
	}
}
