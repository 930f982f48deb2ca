package apowner

import (
	"context"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
)

// startWrite starts the next write unless one is in progress, the last one was too recent or nothing has
// changed.
func (o *Owner) startWrite(ctx context.Context, now time.Time) {
	if !o.mayWrite(now) {
		o.scheduleWake(ctx, now)
		return
	}
	counts, countsChanged := o.waitingCounts(now)
	expiredKeys := o.takeExpiredKeys(now)
	pool, poolChanged := o.poolReport(now)
	if !o.scheduler.HasBatch() && !countsChanged && !poolChanged && len(expiredKeys) == 0 && !o.ownershipDue(now) {
		return
	}
	batch := o.scheduler.NextBatch()
	write, oversized := o.journalWrite(batch)
	if len(oversized) > 0 {
		batch = batch.Without(oversized)
		o.refuse(oversized, now)
	}
	write.Removals = append(write.Removals, expiredKeys...)
	if countsChanged {
		o.storedCounts = &counts
		write.Puts = append(write.Puts, apstore.Put{Key: apjournal.WaitingKey(o.config.Shard), Data: apfleet.Encode(counts)})
	}
	if poolChanged {
		o.storedReport = &pool
		key := apjournal.PrefixPools + apfleet.Key(o.config.Shard)
		write.Puts = append(write.Puts, apstore.Put{Key: key, Data: apfleet.Encode(pool)})
	}
	o.writing = true
	o.calls.Go(func() error {
		started, sentAt := time.Now(), o.owned.RequestTime()
		failures := 0
		refused, err := o.store(ctx, batch, write, func(err error) {
			failures++
			// The next attempt is sent after this.
			sentAt = o.owned.RequestTime()
			o.config.Log("StoreFailed", map[string]any{
				"Shard": o.config.Shard, "Error": err, "AfterMs": time.Since(started).Milliseconds(), "Revision": o.config.Journal.Revision(),
			})
		})
		if failures > 0 {
			o.config.Log("WriteSettled", map[string]any{"Shard": o.config.Shard, "Error": err, "Failures": failures, "Revision": o.config.Journal.Revision()})
		}
		if err == nil {
			o.owned.Extend(sentAt, ownershipTTL)
		}
		o.config.ObserveDuration("store_write", time.Since(started))
		o.post(ctx, func(now time.Time) {
			o.handleWriteResult(batch.Without(refused), err, now)
			o.refuse(refused, now)
		})
		return nil
	})
}

// mayWrite reports whether a write may start now.
func (o *Owner) mayWrite(now time.Time) bool {
	return !o.writing && (now.Sub(o.lastWriteAt) >= minWriteInterval || o.stopping)
}

// waitingCounts returns the counts of waiting jobs, and whether they must be stored: they are due, and differ from those stored
// last by this owner. The first ones replace those of an earlier owner.
func (o *Owner) waitingCounts(now time.Time) (apjournal.WaitingCounts, bool) {
	if now.Sub(o.waitingCountedAt) < waitingCountsInterval {
		return apjournal.WaitingCounts{}, false
	}
	o.waitingCountedAt = now
	counts := apjournal.WaitingCounts{
		Queues: o.scheduler.WaitingJobs(), HoldsJobs: o.scheduler.HoldsJobs() || len(o.retiredAt) > 0, HasWorkers: o.scheduler.HasWorkers(),
	}
	return counts, o.storedCounts == nil || !counts.Equal(*o.storedCounts)
}

const (
	// ownershipTTL is how long after a write was sent that is stored workers' leases may be extended.
	ownershipTTL = 1200 * time.Millisecond
	// ownershipRenewals is the number of writes within ownershipTTL while nothing changes.
	ownershipRenewals = 3
)

// ownershipDue reports whether a write is due only to prove that the shard is still owned, so that the leases of
// workers with runs may be extended.
func (o *Owner) ownershipDue(now time.Time) bool {
	return now.Sub(o.lastWriteAt) >= ownershipTTL/ownershipRenewals && o.scheduler.HasRuns()
}

// scheduleWake wakes the loop when the next write may start.
func (o *Owner) scheduleWake(ctx context.Context, now time.Time) {
	if o.writing || o.wakeScheduled {
		return
	}
	o.wakeScheduled = true
	time.AfterFunc(minWriteInterval-now.Sub(o.lastWriteAt), func() {
		o.post(ctx, func(time.Time) { o.wakeScheduled = false })
	})
}

func (o *Owner) handleWriteResult(batch apscheduler.Batch, err error, now time.Time) {
	o.writing = false
	o.lastWriteAt = now
	// Run the next step at once: it sends the orders of the stored runs and writes the next batch.
	o.nextStepAt = time.Time{}
	if err != nil {
		o.fatalErr = err
		return
	}
	o.scheduler.BatchStored(batch, o.config.Journal.Revision())
	for _, record := range batch.Records {
		if record.Retired {
			o.retiredAt[record.Job] = time.Unix(record.Progress.Ended, 0)
		}
	}
}

// journalWrite returns the write of a batch without the records that are larger than a value of the store, and the jobs of
// these.
func (o *Owner) journalWrite(batch apscheduler.Batch) (apjournal.Write, map[apjob.ID]bool) {
	var write apjournal.Write
	oversized := make(map[apjob.ID]bool)
	for _, record := range batch.Records {
		alone := o.recordWrite(record)
		if len(alone.Puts[0].Data) > apstore.MaxValueBytes {
			oversized[record.Job] = true
			continue
		}
		write.Puts = append(write.Puts, alone.Puts...)
		write.Removals = append(write.Removals, alone.Removals...)
	}
	return write, oversized
}

// recordWrite returns the write of one record. Its first put is the record.
func (o *Owner) recordWrite(record apscheduler.Record) apjournal.Write {
	var write apjournal.Write
	write.Puts = append(write.Puts, apstore.Put{Key: apjournal.ProgressKey(o.config.Shard, record.Job), Data: apfleet.Encode(record.Progress)})
	if record.Retired {
		write.Removals = append(write.Removals, apjournal.JobKey(o.config.Shard, record.Job))
		if record.Progress.State == apjob.Cancelled {
			write.Removals = append(write.Removals, apjournal.CancelKey(o.config.Shard, record.Job))
		}
	}
	return write
}

// maxPurgedPerWrite bounds the expired jobs whose two records are removed in one write with a batch.
const maxPurgedPerWrite = 2

// purgeScanInterval is how often retired jobs are scanned for expired ones.
const purgeScanInterval = time.Second

// takeExpiredKeys returns the keys of expired jobs to remove in the next write, and forgets these jobs. A job that the
// scheduler keeps is left for a later scan.
func (o *Owner) takeExpiredKeys(now time.Time) []apfleet.Key {
	if len(o.expired) == 0 && now.Sub(o.purgeScannedAt) >= purgeScanInterval {
		o.purgeScannedAt = now
		for id, ended := range o.retiredAt {
			if time.Since(ended) > endedJobRetention {
				o.expired = append(o.expired, id)
			}
		}
	}
	var keys []apfleet.Key
	purged := o.expired[:min(maxPurgedPerWrite, len(o.expired))]
	for _, id := range purged {
		if o.scheduler.RemoveJob(id) {
			delete(o.retiredAt, id)
			keys = append(keys, apjournal.ProgressKey(o.config.Shard, id), apjournal.LocationKey(id))
		}
	}
	o.expired = o.expired[len(purged):]
	return keys
}

// endedJobRetention is how long the end of a job is kept. The platform asks for 120 s.
const endedJobRetention = 150 * time.Second
