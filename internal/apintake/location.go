package apintake

import (
	"context"
	"path"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
)

// maxLookups is the number of times that a job is looked for: in the shard of its queue's present service, where its
// location says, and there once more, as the job may have been retired between the reads of its two records.
const maxLookups = 3

// inShardOf calls act with the shard of the queue's present service. If act returns NoSuchJob, the job isn't there, and act is
// called with the shard that the job's location names. Errors: those of act and of the store, and JobCancelled.
func (i *Intake) inShardOf(ctx context.Context, queue apqueue.Queue, id apjob.ID, act func(apjournal.Shard) error) error {
	shard := shardOf(queue)
	for attempt := 1; ; attempt++ {
		err := act(shard)
		if !apcode.Is(err, apcode.NoSuchJob) || attempt == maxLookups {
			return err
		}
		location, found, readErr := i.location(ctx, id)
		switch {
		case readErr != nil:
			return readErr
		case !found:
			return err
		case location.Cancelled:
			return errCancelled(id)
		}
		shard = location.Shard
	}
}

// location returns where a job is. Errors: StoreUnavailable, BadMessage.
func (i *Intake) location(ctx context.Context, id apjob.ID) (location apjournal.Location, found bool, err error) {
	value, err := i.store.Read(ctx, apjournal.LocationKey(id))
	if err != nil || value.Revision == 0 {
		return location, false, err
	}
	return location, true, apfleet.Decode(value.Data, &location)
}

// FindAccepted returns the job of a request whose host and path belong to no present queue, and the queue as it was when it
// accepted the job. Errors: NoSuchQueue, StoreUnavailable, BadMessage.
func (i *Intake) FindAccepted(ctx context.Context, host, requestPath string) (apqueue.Queue, apjob.ID, error) {
	id, location, err := i.locationOf(ctx, host, requestPath)
	if err != nil {
		return apqueue.Queue{}, "", err
	}
	queue, err := acceptedBy(location, id, host, requestPath)
	return queue, id, err
}

// CancelRemoved cancels the job of a request whose host and path belong to no present queue. If there is none, a submission under
// way may still store one, because its entry may know other settings: a tombstone prevents that. Errors: NoSuchQueue (the path
// names no job, or one of another queue), and those of Cancel.
func (i *Intake) CancelRemoved(ctx context.Context, host, requestPath string) error {
	for range maxLookups {
		id, location, err := i.locationOf(ctx, host, requestPath)
		if err != nil {
			return err
		}
		if location.Shard != "" {
			queue, err := acceptedBy(location, id, host, requestPath)
			if err != nil {
				return err
			}
			return i.Cancel(ctx, queue, id)
		}
		if err = errCancelled(id); !location.Cancelled {
			err = i.forbid(ctx, id)
		}
		if apcode.Is(err, apcode.StoreConflict) {
			// The job was stored in the meantime.
			continue
		}
		if apcode.Is(err, apcode.JobCancelled) {
			err = errNoSuchJob(id)
		}
		i.log("Cancel", id, err, nil)
		return err
	}
	return errNoSuchQueue(host, requestPath)
}

// locationOf returns the ID that a path ends with and the location of that job, the zero location if there is none. Errors:
// NoSuchQueue (the path ends with no ID), StoreUnavailable, BadMessage.
func (i *Intake) locationOf(ctx context.Context, host, requestPath string) (apjob.ID, apjournal.Location, error) {
	id := apjob.ID(path.Base(requestPath))
	if apjob.CheckID(id) != nil {
		return "", apjournal.Location{}, errNoSuchQueue(host, requestPath)
	}
	location, _, err := i.location(ctx, id)
	return id, location, err
}

// acceptedBy returns the queue that accepted a job, as it was then. Errors: NoSuchQueue, also if the request isn't one for that queue.
func acceptedBy(location apjournal.Location, id apjob.ID, host, requestPath string) (apqueue.Queue, error) {
	queue := apqueue.Queue{Name: location.Queue, Service: apfleet.ServiceName(location.Shard), Host: location.Host, Prefix: location.Prefix}
	accepted := apqueue.Table{Queues: []apqueue.Queue{queue}}
	if _, rest, ok := accepted.Find(host, requestPath); location.Shard == "" || !ok || rest != string(id) {
		return apqueue.Queue{}, errNoSuchQueue(host, requestPath)
	}
	return queue, nil
}

func errNoSuchQueue(host, requestPath string) error {
	return apcode.Errorf(apcode.NoSuchQueue, "%s%s", host, requestPath)
}
