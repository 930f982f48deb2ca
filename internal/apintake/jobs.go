package apintake

import (
	"context"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
)

// Submit stores a job with the present settings of its queue. It is idempotent: it also succeeds when the job is already
// stored or has ended, in the shard of whatever service. Errors: StoreUnavailable (not stored), JobUnsettled (may be stored),
// JobCancelled (cancelled before, never stored).
func (i *Intake) Submit(ctx context.Context, queue apqueue.Queue, job *apjob.Job) error {
	err := i.submit(ctx, queue, job)
	i.log("Submit", job.ID, err, map[string]any{"Queue": queue.Name})
	return err
}

func (i *Intake) submit(ctx context.Context, queue apqueue.Queue, job *apjob.Job) error {
	transaction := submission(queue, job)
	err := i.settle(ctx, func() error {
		result, err := i.store.Commit(ctx, transaction)
		if !apcode.Is(err, apcode.StoreConflict) {
			return err
		}
		if tombstoneIn(result.Current, apjournal.LocationKey(job.ID)) {
			return errCancelled(job.ID)
		}
		// The job is already stored.
		return nil
	})
	if apcode.Is(err, apcode.StoreUnknown) {
		return apcode.Errorf(apcode.JobUnsettled, "job %s: the store has not confirmed the write", job.ID)
	}
	return err
}

// submission returns the transaction that stores a job with the present settings of its queue, unless it is already stored, has
// ended or has a tombstone.
func submission(queue apqueue.Queue, job *apjob.Job) apstore.Transaction {
	shard := shardOf(queue)
	key, locationKey := apjournal.JobKey(shard, job.ID), apjournal.LocationKey(job.ID)
	accepted := *job
	accepted.Terms = apjob.Terms{
		MaxAttempts: queue.MaxAttempts, Stretch: queue.Stretch, Slack: queue.Slack, Priority: queue.Priority, NeedsTicket: queue.Advice != nil,
	}
	location := apjournal.Location{Shard: shard, Queue: queue.Name, Host: queue.Host, Prefix: queue.Prefix}
	return apstore.Transaction{
		Conditions: []apstore.Condition{{Key: locationKey}, {Key: key}, {Key: apjournal.ProgressKey(shard, job.ID)}},
		Puts:       []apstore.Put{{Key: key, Data: apfleet.Encode(accepted)}, {Key: locationKey, Data: apfleet.Encode(location)}},
	}
}

// Status returns a job's state. Errors: NoSuchJob, StoreUnavailable, BadMessage.
func (i *Intake) Status(ctx context.Context, queue apqueue.Queue, id apjob.ID) (apjob.State, error) {
	var state apjob.State
	err := i.inShardOf(ctx, queue, id, func(shard apjournal.Shard) (err error) {
		state, err = i.statusIn(ctx, shard, id)
		return err
	})
	if apcode.Is(err, apcode.JobCancelled) {
		err = errNoSuchJob(id)
	}
	if err != nil || state == apjob.Pending {
		i.log("Status", id, err, nil)
	}
	return state, err
}

func (i *Intake) statusIn(ctx context.Context, shard apjournal.Shard, id apjob.ID) (apjob.State, error) {
	value, err := i.store.Read(ctx, apjournal.ProgressKey(shard, id))
	if err != nil {
		return 0, err
	}
	if value.Revision == 0 {
		value, err = i.store.Read(ctx, apjournal.JobKey(shard, id))
		if err == nil && value.Revision == 0 {
			err = errNoSuchJob(id)
		}
		return apjob.Pending, err
	}
	var progress apjob.Progress
	if err := apfleet.Decode(value.Data, &progress); err != nil {
		return 0, err
	}
	return progress.State, nil
}

// Cancel asks the shard's owner to cancel a job. It also succeeds when the job has ended. Errors: NoSuchJob (it isn't
// stored, nor will be by a submission that is under way), CancelsLimited, StoreUnavailable, StoreUnknown.
func (i *Intake) Cancel(ctx context.Context, queue apqueue.Queue, id apjob.ID) error {
	err := i.cancel(ctx, queue, id)
	if apcode.Is(err, apcode.JobCancelled) {
		err = errNoSuchJob(id)
	}
	i.log("Cancel", id, err, nil)
	return err
}

func (i *Intake) cancel(ctx context.Context, queue apqueue.Queue, id apjob.ID) error {
	for range maxLookups {
		err := i.inShardOf(ctx, queue, id, func(shard apjournal.Shard) error { return i.cancelIn(ctx, shard, id) })
		if apcode.Is(err, apcode.NoSuchJob) {
			err = i.forbid(ctx, id, shardOf(queue))
		}
		if err == nil || !apcode.Is(err, apcode.StoreConflict) {
			return err
		}
		// The job was stored or retired in the meantime.
	}
	return errNoSuchJob(id)
}

func (i *Intake) cancelIn(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
	return i.settle(ctx, func() error {
		for {
			value, err := i.store.Read(ctx, apjournal.JobKey(shard, id))
			if err != nil {
				return err
			}
			if value.Revision == 0 {
				return i.checkEnded(ctx, shard, id)
			}
			_, err = i.store.Commit(ctx, apstore.Transaction{
				Conditions: []apstore.Condition{{Key: value.Key, Revision: value.Revision}},
				Puts:       []apstore.Put{{Key: apjournal.CancelKey(shard, id), Data: cancelValue}},
			})
			// After a conflict, the job was retired since it was read.
			if !apcode.Is(err, apcode.StoreConflict) || ctx.Err() != nil {
				return err
			}
		}
	})
}

// checkEnded returns nil for a job that has ended, and NoSuchJob for one that was never stored in the shard.
func (i *Intake) checkEnded(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
	value, err := i.store.Read(ctx, apjournal.ProgressKey(shard, id))
	if err == nil && value.Revision == 0 {
		return errNoSuchJob(id)
	}
	return err
}

func errNoSuchJob(id apjob.ID) error {
	return apcode.Errorf(apcode.NoSuchJob, "job %s is not stored", id)
}

func errCancelled(id apjob.ID) error {
	return apcode.Errorf(apcode.JobCancelled, "job %s was cancelled before it was stored", id)
}

// cancelValue is a placeholder: the key alone identifies the cancel request.
var cancelValue = []byte{1}
