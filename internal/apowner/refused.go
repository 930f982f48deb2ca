package apowner

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apscheduler"
	"auburnport/pkg/apstore"
)

// store writes a batch with other changes. If the store refuses the whole, each record is written alone. It returns the
// jobs whose records were refused. Errors: those of apjournal.Journal.Store.
func (o *Owner) store(ctx context.Context, batch apscheduler.Batch, write apjournal.Write, onFailure func(error)) (map[apjob.ID]bool, error) {
	err := o.config.Journal.Store(ctx, write, onFailure)
	if !apjournal.IsRefused(err) {
		return nil, err
	}
	onFailure(err)
	records := make(map[apjob.ID]apjournal.Write, len(batch.Records))
	rest := apjournal.Write{Puts: slices.Clone(write.Puts), Removals: slices.Clone(write.Removals)}
	for _, record := range batch.Records {
		alone := o.recordWrite(record)
		records[record.Job] = alone
		rest.Puts = slices.DeleteFunc(rest.Puts, func(put apstore.Put) bool { return put.Key == alone.Puts[0].Key })
		rest.Removals = slices.DeleteFunc(rest.Removals, func(key apfleet.Key) bool { return slices.Contains(alone.Removals, key) })
	}
	// This shows whether it is a record that the store refuses.
	if err := o.config.Journal.Store(ctx, rest, onFailure); err != nil {
		return nil, err
	}
	refused := make(map[apjob.ID]bool)
	for id, alone := range records {
		err := o.config.Journal.Store(ctx, alone, onFailure)
		if apjournal.IsRefused(err) {
			refused[id] = true
			continue
		}
		if err != nil {
			return nil, err
		}
	}
	return refused, nil
}

// refuse ends the jobs whose records can't be stored.
func (o *Owner) refuse(jobs map[apjob.ID]bool, now time.Time) {
	for id := range jobs {
		o.config.Log("JobUnstorable", map[string]any{"Shard": o.config.Shard, "Job": id})
		o.scheduler.RecordRefused(id, now)
	}
}
