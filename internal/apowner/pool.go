package apowner

import (
	"context"
	"maps"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apmachine"
	"auburnport/pkg/apstore"
)

// disruption is a worker that is being emptied, at a revision of the store.
type disruption struct {
	worker   apjob.WorkerID
	revision apstore.Revision
}

// loadDisruptions reads which workers are being emptied, so that none of them gets a run again.
func (o *Owner) loadDisruptions(ctx context.Context) error {
	page, err := o.config.Ledger.Scan(ctx, apjournal.PrefixControl)
	if err != nil {
		return err
	}
	update := apstore.Update{Reset: true}
	for _, value := range page.Values {
		update.Events = append(update.Events, apstore.Event{Value: value})
	}
	o.disrupt(update)
	return nil
}

// followDisruptions passes changes of the disruptions to the loop.
func (o *Owner) followDisruptions(ctx context.Context) error {
	tail := apstore.Tail{Ledger: o.config.Ledger, Prefix: apjournal.PrefixControl, Wait: watchWait, Gap: disruptionGap, Backoff: watchBackoff}
	return tail.Run(ctx, func(update apstore.Update) {
		if update.Err == nil {
			o.post(ctx, func(time.Time) { o.disrupt(update) })
		}
	})
}

// disruptionGap is the least time between two readings of disruptions.
const disruptionGap = 100 * time.Millisecond

func (o *Owner) disrupt(update apstore.Update) {
	if update.Reset {
		o.releaseUnlisted(update.Events)
	}
	for _, event := range update.Events {
		if pool, ok := apjournal.AwaitingOf(event.Value.Key); ok {
			o.await(pool, event)
			continue
		}
		if event.Removed {
			o.released(event.Value.Key)
			continue
		}
		var d apmachine.Disruption
		if err := apfleet.Decode(event.Value.Data, &d); err != nil {
			o.config.Log("DisruptionUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
			continue
		}
		if d.Ordered {
			o.released(event.Value.Key)
			continue
		}
		if d.Pool == apfleet.ServiceName(o.config.Shard) && d.Worker != "" {
			o.disrupted[event.Value.Key] = disruption{worker: d.Worker, revision: event.Value.Revision}
		}
	}
	o.cordon(time.Now())
}

// await notes which of the pool's workers will be emptied for a wave.
func (o *Owner) await(pool apfleet.ServiceName, event apstore.Event) {
	if pool != apfleet.ServiceName(o.config.Shard) {
		return
	}
	var awaiting apmachine.Awaiting
	if !event.Removed {
		if err := apfleet.Decode(event.Value.Data, &awaiting); err != nil {
			o.config.Log("AwaitingUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
		}
	}
	o.shard.Avoid(awaiting.Workers)
}

// afterlife is how long a worker stays cordoned after its disruption has ended: its machine has been
// ordered away, and its registration goes within some heartbeats.
const afterlife = 6 * time.Second

// released notes the end of a disruption.
func (o *Owner) released(key apfleet.Key) {
	if d, ok := o.disrupted[key]; ok {
		delete(o.disrupted, key)
		o.leftAt[d.worker] = time.Now()
	}
}

// releaseUnlisted notes the end of the disruptions that are not among all that there are.
func (o *Owner) releaseUnlisted(all []apstore.Event) {
	listed := make(map[apfleet.Key]bool, len(all))
	for _, event := range all {
		listed[event.Value.Key] = true
	}
	for key := range o.disrupted {
		if !listed[key] {
			o.released(key)
		}
	}
}

// cordon keeps runs from workers that are disrupted, or were a moment ago.
func (o *Owner) cordon(now time.Time) {
	cordoned := make(map[apjob.WorkerID]bool, len(o.disrupted)+len(o.leftAt))
	for _, d := range o.disrupted {
		cordoned[d.worker] = true
	}
	for id, at := range o.leftAt {
		if now.Sub(at) > afterlife {
			delete(o.leftAt, id)
			continue
		}
		cordoned[id] = true
	}
	o.shard.Cordon(cordoned)
}

// account returns what the pool's owner says of it, and whether it must be stored.
func (o *Owner) account(now time.Time) (apmachine.Pool, bool) {
	empty := make(map[apjob.WorkerID]apstore.Revision)
	for _, d := range o.disrupted {
		if o.shard.Empty(d.worker) {
			empty[d.worker] = d.revision
		}
	}
	due := now.Sub(o.poolAt) >= poolGap
	if !due && maps.Equal(empty, o.pool.Empty) {
		return apmachine.Pool{}, false
	}
	o.poolAt = now
	load := o.shard.PoolLoad(now)
	pool := apmachine.Pool{Empty: empty, Lasting: load.Lasting, Used: load.Used, Queued: load.Queued, Widest: load.Widest, Homeless: load.Homeless}
	same := maps.Equal(empty, o.pool.Empty) && maps.Equal(pool.Lasting, o.pool.Lasting) &&
		maps.Equal(pool.Used, o.pool.Used) && pool.Queued == o.pool.Queued && pool.Widest == o.pool.Widest && pool.Homeless == o.pool.Homeless
	return pool, !same
}
