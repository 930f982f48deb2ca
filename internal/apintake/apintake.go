// Package apintake accepts jobs from callers and answers queries for their state. It uses only the store, so
// that every entry can serve every queue.
package apintake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apqueue"
	"auburnport/pkg/apstore"
)

// Options configure an Intake.
type Options struct {
	// MaxSettingsAge is how long settings stay valid after they were last confirmed as current. Callers are
	// refused after that. It is a little less than the time within which a settings change must take effect.
	MaxSettingsAge time.Duration
	// WaitingCacheTTL is how long a count of waiting jobs is cached.
	WaitingCacheTTL time.Duration
	// RetryDelay is the delay between retries of a submission.
	RetryDelay time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{MaxSettingsAge: 1800 * time.Millisecond, WaitingCacheTTL: 500 * time.Millisecond, RetryDelay: 30 * time.Millisecond}
}

// Log records the outcome of a request.
type Log func(event string, id apjob.ID, err error, fields map[string]any)

// Intake serves callers' requests from the store.
type Intake struct {
	store   apstore.TransactionalStore
	options Options
	log     Log
	table   atomic.Pointer[apqueue.Table]
	// confirmedAt is when the settings were last confirmed as current.
	confirmedAt atomic.Pointer[time.Time]
	leaving     atomic.Bool

	mu           sync.Mutex
	cachedCounts map[apjournal.Shard]cachedCount
	// unavailableSince is when the store stopped answering, or zero while it answers. recovered is closed
	// when it answers again. waitingSubmissions counts the submissions that wait for that.
	unavailableSince   time.Time
	recovered          chan struct{}
	waitingSubmissions int
}

type cachedCount struct {
	readAt time.Time
	counts apjournal.WaitingCounts
}

// New returns an intake that refuses callers until settings are applied and confirmed.
func New(store apstore.TransactionalStore, options Options, log Log) *Intake {
	return &Intake{store: store, options: options, log: log, cachedCounts: make(map[apjournal.Shard]cachedCount)}
}

// ApplySettings replaces the settings unless the current ones are at least as new, and reports whether it did.
func (i *Intake) ApplySettings(table *apqueue.Table) bool {
	if current := i.table.Load(); current != nil && current.Version >= table.Version {
		return false
	}
	i.table.Store(table)
	return true
}

// ConfirmSettings records that the settings were current at a time, and that the store answers.
func (i *Intake) ConfirmSettings(at time.Time) {
	i.confirmedAt.Store(&at)
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.unavailableSince.IsZero() {
		close(i.recovered)
		i.unavailableSince = time.Time{}
	}
}

// MarkLeaving makes Ready return false because the entry is shutting down.
func (i *Intake) MarkLeaving() { i.leaving.Store(true) }

// Ready reports whether the entry accepts new callers.
func (i *Intake) Ready() bool {
	_, err := i.Queues()
	return err == nil && !i.leaving.Load()
}

// RetryAfter returns the delay after which a refused caller should retry. A store outage is assumed to last
// as long again as it has lasted, within bounds.
func (i *Intake) RetryAfter() time.Duration {
	confirmedAt := i.confirmedAt.Load()
	if confirmedAt == nil {
		return minRetryAfter
	}
	return min(max(time.Since(*confirmedAt), minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter is about how long an entry takes to reconnect once the store is back.
	minRetryAfter = time.Second
	// maxRetryAfter is about a caller's timeout for one attempt.
	maxRetryAfter = 3 * time.Second
)

// Queues returns the current settings. Errors: SettingsStale.
func (i *Intake) Queues() (*apqueue.Table, error) {
	table, confirmedAt := i.table.Load(), i.confirmedAt.Load()
	if table == nil || confirmedAt == nil {
		return nil, apcode.Errorf(apcode.SettingsStale, "no settings have been loaded yet")
	}
	if age := time.Since(*confirmedAt); age > i.options.MaxSettingsAge {
		return nil, apcode.Errorf(apcode.SettingsStale, "settings were last confirmed %s ago", age.Round(time.Millisecond))
	}
	return table, nil
}

func shardOf(queue apqueue.Queue) apjournal.Shard { return apjournal.Shard(queue.Service) }

// LogRefusal logs a request that was refused before it reached Submit, Status, Cancel or WaitingJobs.
func (i *Intake) LogRefusal(id apjob.ID, err error, retryAfter time.Duration) {
	i.log("Refused", id, err, map[string]any{"RetryAfter": retryAfter})
}

// Submit stores a job. It is idempotent: it also succeeds when the job is already stored or has ended.
// Errors: StoreUnavailable (not stored), JobUnsettled (may be stored).
func (i *Intake) Submit(ctx context.Context, queue apqueue.Queue, job *apjob.Job) error {
	err := i.submit(ctx, shardOf(queue), job)
	i.log("Submit", job.ID, err, map[string]any{"Queue": queue.Name})
	return err
}

func (i *Intake) submit(ctx context.Context, shard apjournal.Shard, job *apjob.Job) error {
	key := apjournal.JobKey(shard, job.ID)
	transaction := apstore.Transaction{
		Conditions: []apstore.Condition{{Key: key}, {Key: apjournal.ProgressKey(shard, job.ID)}},
		Puts:       []apstore.Put{{Key: key, Data: apfleet.Encode(job)}},
	}
	maybeStored := false
	for {
		_, err := i.store.Commit(ctx, transaction)
		switch apcode.Of(err) {
		case apcode.OK, apcode.StoreConflict:
			return nil
		case apcode.StoreUnknown:
			maybeStored = true
		default:
			if !maybeStored {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return apcode.Errorf(apcode.JobUnsettled, "job %s: the store has not confirmed the write", job.ID)
		case <-time.After(i.options.RetryDelay):
		}
	}
}

// Status returns a job's state. Errors: NoSuchJob, StoreUnavailable, BadMessage.
func (i *Intake) Status(ctx context.Context, queue apqueue.Queue, id apjob.ID) (apjob.State, error) {
	value, err := i.store.Read(ctx, apjournal.ProgressKey(shardOf(queue), id))
	if err != nil {
		i.log("Status", id, err, nil)
		return 0, err
	}
	if value.Revision == 0 {
		value, err = i.store.Read(ctx, apjournal.JobKey(shardOf(queue), id))
		if err == nil && value.Revision == 0 {
			err = apcode.Errorf(apcode.NoSuchJob, "job %s is not stored", id)
		}
		i.log("Status", id, err, nil)
		return apjob.Pending, err
	}
	var progress apjob.Progress
	if err := apfleet.Decode(value.Data, &progress); err != nil {
		return 0, err
	}
	return progress.State, nil
}

// Cancel asks the shard's owner to cancel a job. It also succeeds when the job has ended. Errors: NoSuchJob,
// StoreUnavailable, StoreUnknown, StoreConflict (ctx ended between retries).
func (i *Intake) Cancel(ctx context.Context, queue apqueue.Queue, id apjob.ID) error {
	err := i.cancel(ctx, shardOf(queue), id)
	i.log("Cancel", id, err, nil)
	return err
}

func (i *Intake) cancel(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
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
		// Retry after a lost answer, or when the job was retired since it was read.
		if !apcode.Is(err, apcode.StoreUnknown) && !apcode.Is(err, apcode.StoreConflict) || ctx.Err() != nil {
			return err
		}
	}
}

// checkEnded returns nil for a job that has ended, and NoSuchJob for one that was never stored.
func (i *Intake) checkEnded(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
	value, err := i.store.Read(ctx, apjournal.ProgressKey(shard, id))
	if err == nil && value.Revision == 0 {
		return apcode.Errorf(apcode.NoSuchJob, "job %s is not stored", id)
	}
	return err
}

// WaitingJobs counts the queue's jobs with no started task, without scheduled jobs, as last stored by the shard's
// owner.
func (i *Intake) WaitingJobs(ctx context.Context, queue apqueue.Queue) (int, error) {
	shard := shardOf(queue)
	i.mu.Lock()
	cached := i.cachedCounts[shard]
	i.mu.Unlock()
	if time.Since(cached.readAt) < i.options.WaitingCacheTTL {
		return cached.counts.Queues[queue.Name], nil
	}
	startedAt := time.Now()
	value, err := i.store.Read(ctx, apjournal.WaitingKey(shard))
	if err != nil {
		return 0, err
	}
	var counts apjournal.WaitingCounts
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &counts); err != nil {
			return 0, err
		}
	}
	i.mu.Lock()
	i.cachedCounts[shard] = cachedCount{readAt: startedAt, counts: counts}
	i.mu.Unlock()
	return counts.Queues[queue.Name], nil
}

// cancelValue is a placeholder: the key alone identifies the cancel request.
var cancelValue = []byte{1}
