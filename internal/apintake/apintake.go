// Package apintake accepts jobs from callers and answers for their state. It works on the store alone,
// so that every entry serves every queue.
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
	// MaxSettingsAge is how long settings may go without confirmation before callers are refused:
	// a little less than the time within which a change must be in force.
	MaxSettingsAge time.Duration
	// WaitingAge is how long a count of waiting jobs is kept.
	WaitingAge time.Duration
	// RetryDelay is the pause between attempts to settle a lost answer.
	RetryDelay time.Duration
}

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{MaxSettingsAge: 1800 * time.Millisecond, WaitingAge: 500 * time.Millisecond, RetryDelay: 30 * time.Millisecond}
}

// Log receives one decision; fields are key and value by turns.
type Log func(event string, id apjob.ID, err error, fields map[string]any)

// Intake serves callers from the store.
type Intake struct {
	ledger  apstore.Ledger
	options Options
	log     Log
	table   atomic.Pointer[apqueue.Table]
	// confirmed is when the settings were last known to be current.
	confirmed atomic.Pointer[time.Time]
	leaving   atomic.Bool

	mu      sync.Mutex
	waiting map[apjournal.Shard]waitingCount
	// lostAt is when the store stopped answering; zero while it answers. regained is closed when it
	// answers again; held counts the submissions that wait for that.
	lostAt   time.Time
	regained chan struct{}
	held     int
}

type waitingCount struct {
	at     time.Time
	counts apjournal.Waiting
}

// New returns an intake that refuses callers until it has settings.
func New(ledger apstore.Ledger, options Options, log Log) *Intake {
	return &Intake{ledger: ledger, options: options, log: log, waiting: make(map[apjournal.Shard]waitingCount)}
}

// Apply puts settings in force unless newer ones are, and reports whether it did.
func (i *Intake) Apply(table *apqueue.Table) bool {
	if present := i.table.Load(); present != nil && present.Version >= table.Version {
		return false
	}
	i.table.Store(table)
	return true
}

// Confirm notes that the settings were current at a time, and that the store answers.
func (i *Intake) Confirm(at time.Time) {
	i.confirmed.Store(&at)
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.lostAt.IsZero() {
		close(i.regained)
		i.lostAt = time.Time{}
	}
}

// Leave makes the entry ask for no new callers.
func (i *Intake) Leave() { i.leaving.Store(true) }

// Ready reports whether the entry wants new callers.
func (i *Intake) Ready() bool {
	_, err := i.Queues()
	return err == nil && !i.leaving.Load()
}

// RetryAfter returns when a refused caller should come back. Of an outage of the store nothing is known
// but how long it has lasted, and it is taken to last as long again, within bounds.
func (i *Intake) RetryAfter() time.Duration {
	confirmed := i.confirmed.Load()
	if confirmed == nil {
		return minRetryAfter
	}
	return min(max(time.Since(*confirmed), minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter is about the time in which an entry regains the store after its return.
	minRetryAfter = time.Second
	// maxRetryAfter is about a caller's patience for one attempt.
	maxRetryAfter = 3 * time.Second
)

// Queues returns the settings in force. Errors: SettingsStale.
func (i *Intake) Queues() (*apqueue.Table, error) {
	table, confirmed := i.table.Load(), i.confirmed.Load()
	if table == nil || confirmed == nil {
		return nil, apcode.Errorf(apcode.SettingsStale, "no settings yet")
	}
	if age := time.Since(*confirmed); age > i.options.MaxSettingsAge {
		return nil, apcode.Errorf(apcode.SettingsStale, "settings were last confirmed %s ago", age.Round(time.Millisecond))
	}
	return table, nil
}

func shardOf(queue apqueue.Queue) apjournal.Shard { return apjournal.Shard(queue.Service) }

// Refused logs a request that was refused before it became a wish about a job.
func (i *Intake) Refused(id apjob.ID, err error, retryAfter time.Duration) {
	i.log("Refused", id, err, map[string]any{"RetryAfter": retryAfter})
}

// Submit stores a job once. It succeeds also when the job is stored already. Errors:
// StoreUnavailable (not stored), JobUnsettled (it may have been).
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
	unsettled := false
	for {
		_, err := i.ledger.Commit(ctx, transaction)
		switch apcode.Of(err) {
		case apcode.OK, apcode.StoreConflict:
			return nil
		case apcode.StoreUnknown:
			unsettled = true
		default:
			if !unsettled {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return apcode.Errorf(apcode.JobUnsettled, "job %s: the store has not confirmed it", job.ID)
		case <-time.After(i.options.RetryDelay):
		}
	}
}

// Status returns a job's state. Errors: NoSuchJob, StoreUnavailable.
func (i *Intake) Status(ctx context.Context, queue apqueue.Queue, id apjob.ID) (apjob.State, error) {
	value, err := i.ledger.Read(ctx, apjournal.ProgressKey(shardOf(queue), id))
	if err != nil {
		i.log("Status", id, err, nil)
		return 0, err
	}
	if value.Revision == 0 {
		value, err = i.ledger.Read(ctx, apjournal.JobKey(shardOf(queue), id))
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

// Cancel asks the owner to end a job. It succeeds also when the job has ended. Errors: NoSuchJob,
// StoreUnavailable, StoreUnknown.
func (i *Intake) Cancel(ctx context.Context, queue apqueue.Queue, id apjob.ID) error {
	err := i.cancel(ctx, shardOf(queue), id)
	i.log("Cancel", id, err, nil)
	return err
}

func (i *Intake) cancel(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
	for {
		value, err := i.ledger.Read(ctx, apjournal.JobKey(shard, id))
		if err != nil {
			return err
		}
		if value.Revision == 0 {
			return i.ended(ctx, shard, id)
		}
		_, err = i.ledger.Commit(ctx, apstore.Transaction{
			Conditions: []apstore.Condition{{Key: value.Key, Revision: value.Revision}},
			Puts:       []apstore.Put{{Key: apjournal.CancelKey(shard, id), Data: cancelMark}},
		})
		// A lost answer or a job that has just been retired: look again.
		if !apcode.Is(err, apcode.StoreUnknown) && !apcode.Is(err, apcode.StoreConflict) || ctx.Err() != nil {
			return err
		}
	}
}

// ended tells a job that has ended from one that was never stored.
func (i *Intake) ended(ctx context.Context, shard apjournal.Shard, id apjob.ID) error {
	value, err := i.ledger.Read(ctx, apjournal.ProgressKey(shard, id))
	if err == nil && value.Revision == 0 {
		return apcode.Errorf(apcode.NoSuchJob, "job %s is not stored", id)
	}
	return err
}

// Waiting counts the queue's jobs of which nothing has started, as the shard's owner last wrote it.
func (i *Intake) Waiting(ctx context.Context, queue apqueue.Queue) (int, error) {
	shard := shardOf(queue)
	i.mu.Lock()
	cached := i.waiting[shard]
	i.mu.Unlock()
	if time.Since(cached.at) < i.options.WaitingAge {
		return cached.counts.Queues[queue.Name], nil
	}
	asked := time.Now()
	value, err := i.ledger.Read(ctx, apjournal.WaitingKey(shard))
	if err != nil {
		return 0, err
	}
	var counts apjournal.Waiting
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &counts); err != nil {
			return 0, err
		}
	}
	i.mu.Lock()
	i.waiting[shard] = waitingCount{at: asked, counts: counts}
	i.mu.Unlock()
	return counts.Queues[queue.Name], nil
}

// cancelMark is the value of a request to cancel; the key says all.
var cancelMark = []byte{1}
