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

// disruption is a worker that is being emptied, with the store revision of the disruption's record.
type disruption struct {
	worker   apjob.WorkerID
	revision apstore.Revision
}

// loadDisruptions reads which workers are being emptied, so that they get no runs from the start.
func (o *Owner) loadDisruptions(ctx context.Context) error {
	page, err := o.config.Store.Scan(ctx, apjournal.PrefixControl)
	if err != nil {
		return err
	}
	update := apstore.Update{Snapshot: true}
	for _, value := range page.Values {
		update.Events = append(update.Events, apstore.Event{Value: value})
	}
	o.applyDisruptions(update)
	return nil
}

// watchDisruptions posts changes of disruptions to the loop.
func (o *Owner) watchDisruptions(ctx context.Context) error {
	watcher := apstore.Watcher{Store: o.config.Store, Prefix: apjournal.PrefixControl, Timeout: watchTimeout, Delay: disruptionPollInterval, Backoff: watchBackoff}
	return watcher.Run(ctx, func(update apstore.Update) {
		if update.Err == nil {
			o.post(ctx, func(time.Time) { o.applyDisruptions(update) })
		}
	})
}

// disruptionPollInterval is the minimum time between two reads of disruption changes.
const disruptionPollInterval = 100 * time.Millisecond

func (o *Owner) applyDisruptions(update apstore.Update) {
	for key := range o.disruptions {
		if update.Omits(key) {
			o.endDisruption(key)
		}
	}
	if update.Omits(apjournal.PrefixAwaiting + apfleet.Key(o.config.Shard)) {
		o.scheduler.SetAvoided(nil)
	}
	for _, event := range update.Events {
		if pool, ok := apjournal.ParseAwaitingKey(event.Value.Key); ok {
			o.applyAwaiting(pool, event)
			continue
		}
		if event.Removed {
			o.endDisruption(event.Value.Key)
			continue
		}
		var d apmachine.Disruption
		if err := apfleet.Decode(event.Value.Data, &d); err != nil {
			o.config.Log("DisruptionUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
			continue
		}
		if d.Ordered {
			o.endDisruption(event.Value.Key)
			continue
		}
		if d.Pool == apfleet.ServiceName(o.config.Shard) && d.Worker != "" {
			o.disruptions[event.Value.Key] = disruption{worker: d.Worker, revision: event.Value.Revision}
		}
	}
	o.updateCordon(time.Now())
}

// applyAwaiting tells the scheduler which of the pool's workers will be emptied in a wave.
func (o *Owner) applyAwaiting(pool apfleet.ServiceName, event apstore.Event) {
	if pool != apfleet.ServiceName(o.config.Shard) {
		return
	}
	var awaiting apmachine.AwaitingUpkeep
	if !event.Removed {
		if err := apfleet.Decode(event.Value.Data, &awaiting); err != nil {
			o.config.Log("AwaitingUnreadable", map[string]any{"Key": event.Value.Key, "Error": err})
		}
	}
	o.scheduler.SetAvoided(awaiting.Workers)
}

// cordonGracePeriod is how long a worker stays cordoned after its disruption has ended. By then the platform
// has been sent the order for the machine's move or upkeep, but the worker's registration lasts until its lease
// in the store ends.
const cordonGracePeriod = 6 * time.Second

// endDisruption records the end of a disruption.
func (o *Owner) endDisruption(key apfleet.Key) {
	if d, ok := o.disruptions[key]; ok {
		delete(o.disruptions, key)
		o.disruptionEndedAt[d.worker] = time.Now()
	}
}

// updateCordon cordons the workers that are disrupted, or were within cordonGracePeriod.
func (o *Owner) updateCordon(now time.Time) {
	cordoned := make(map[apjob.WorkerID]bool, len(o.disruptions)+len(o.disruptionEndedAt))
	for _, d := range o.disruptions {
		cordoned[d.worker] = true
	}
	for id, endedAt := range o.disruptionEndedAt {
		if now.Sub(endedAt) > cordonGracePeriod {
			delete(o.disruptionEndedAt, id)
			continue
		}
		cordoned[id] = true
	}
	o.scheduler.SetCordoned(cordoned)
}

// poolReport returns the report on the pool's load and emptied workers, and whether it must be stored. The load is
// refreshed at most every poolReportInterval unless the set of emptied workers changes. The first report replaces that of
// an earlier owner, an empty one after emptyReportDelay.
func (o *Owner) poolReport(now time.Time) (apmachine.PoolReport, bool) {
	empty := make(map[apjob.WorkerID]apstore.Revision)
	for _, d := range o.disruptions {
		if o.scheduler.WorkerEmpty(d.worker) {
			empty[d.worker] = d.revision
		}
	}
	var stored apmachine.PoolReport
	if o.storedReport != nil {
		stored = *o.storedReport
	}
	due := now.Sub(o.poolReportedAt) >= poolReportInterval
	if !due && maps.Equal(empty, stored.Empty) {
		return apmachine.PoolReport{}, false
	}
	if o.reportingSince.IsZero() {
		o.reportingSince = now
	}
	o.poolReportedAt = now
	load := o.scheduler.PoolLoad(now)
	report := apmachine.PoolReport{
		Empty: empty, LongRunning: load.LongRunning, ReservedCPU: load.ReservedCPU, QueuedWork: load.QueuedWork, WidestStep: load.WidestStep, Unplaced: load.Unplaced,
		HasJobs: o.scheduler.Backlog() > 0, Labels: load.Labels, MissingLabels: load.MissingLabels,
	}
	replaces := o.storedReport == nil && now.Sub(o.reportingSince) >= emptyReportDelay
	return report, replaces || !report.Equal(stored)
}
