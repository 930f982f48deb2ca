package apowner

import (
	"context"
	"maps"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
)

// store begins to write the next batch unless a write is under way.
func (o *Owner) store(ctx context.Context, now time.Time) {
	if o.storing || now.Sub(o.storedAt) < commitGap && !o.stopping {
		o.wake(ctx, now)
		return
	}
	var waiting map[apjob.Queue]int
	counted := false
	if now.Sub(o.waitingAt) >= waitingGap {
		waiting = o.shard.Waiting()
		counted = !maps.Equal(waiting, o.waiting)
		o.waitingAt = now
	}
	purge := o.purge(now)
	pool, accounted := o.account(now)
	if !o.shard.BatchDue() && !counted && !accounted && len(purge) == 0 {
		return
	}
	batch := o.shard.NextBatch()
	write := o.write(batch)
	write.Removals = append(write.Removals, purge...)
	if counted {
		o.waiting = waiting
		data := apfleet.Encode(apjournal.Waiting{Queues: waiting})
		write.Puts = append(write.Puts, apstore.Put{Key: apjournal.WaitingKey(o.config.Shard), Data: data})
	}
	if accounted {
		o.pool = pool
		key := apjournal.PrefixPools + apfleet.Key(o.config.Shard)
		write.Puts = append(write.Puts, apstore.Put{Key: key, Data: apfleet.Encode(pool)})
	}
	o.storing = true
	o.calls.Go(func() error {
		began := time.Now()
		err := o.config.Journal.Store(ctx, write, func(err error) {
			o.config.Log("StoreFailed", map[string]any{"Shard": o.config.Shard, "Error": err, "AfterMs": time.Since(began).Milliseconds()})
		})
		o.config.Observe("store_write", time.Since(began))
		o.post(ctx, func(now time.Time) { o.stored(batch, err, now) })
		return nil
	})
}

// wake makes the loop run again when the next write may begin.
func (o *Owner) wake(ctx context.Context, now time.Time) {
	if o.storing || o.wantWrite || !o.shard.BatchDue() {
		return
	}
	o.wantWrite = true
	time.AfterFunc(commitGap-now.Sub(o.storedAt), func() {
		o.post(ctx, func(time.Time) { o.wantWrite = false })
	})
}

func (o *Owner) stored(batch apscheduler.Batch, err error, now time.Time) {
	o.storing = false
	o.storedAt = now
	// Runs wait to be ordered, and the next batch to be stored.
	o.restUntil = time.Time{}
	if err != nil {
		o.fatal = err
		return
	}
	o.shard.Stored(batch)
	for _, record := range batch.Records {
		if record.Retired {
			o.retired[record.Job] = time.Unix(record.Progress.Ended, 0)
		}
	}
}

func (o *Owner) write(batch apscheduler.Batch) apjournal.Write {
	var write apjournal.Write
	for _, record := range batch.Records {
		data := apfleet.Encode(record.Progress)
		write.Puts = append(write.Puts, apstore.Put{Key: apjournal.ProgressKey(o.config.Shard, record.Job), Data: data})
		if record.Retired {
			write.Removals = append(write.Removals, apjournal.JobKey(o.config.Shard, record.Job))
			if record.Progress.State == apjob.Cancelled {
				write.Removals = append(write.Removals, apjournal.CancelKey(o.config.Shard, record.Job))
			}
		}
	}
	return write
}

// maxPurge bounds the removals that share a write with a batch.
const maxPurge = 2

// purgeGap is how often jobs are looked for whose end need not be shown any longer.
const purgeGap = time.Second

// purge returns the keys of jobs whose end need not be shown any longer.
func (o *Owner) purge(now time.Time) []apfleet.Key {
	if len(o.expired) == 0 && now.Sub(o.purgedAt) >= purgeGap {
		o.purgedAt = now
		for id, ended := range o.retired {
			if time.Since(ended) > retention {
				o.expired = append(o.expired, id)
			}
		}
	}
	var keys []apfleet.Key
	for _, id := range o.expired[:min(maxPurge, len(o.expired))] {
		keys = append(keys, apjournal.ProgressKey(o.config.Shard, id))
		o.forget(id)
	}
	o.expired = o.expired[len(keys):]
	return keys
}

func (o *Owner) forget(id apjob.ID) {
	delete(o.retired, id)
	o.shard.Forget(id)
}

// retention is how long the end of a job is kept: the platform asks for 120 s.
const retention = 150 * time.Second
