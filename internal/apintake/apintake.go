// Package apintake accepts jobs from callers and answers queries for their state. It uses only the store, so
// that every entry can serve every queue.
package apintake

import (
	"sync"
	"sync/atomic"
	"time"

	"auburnport/pkg/apcode"
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
	// RetryDelay is the delay between attempts at a write whose outcome is unknown.
	RetryDelay time.Duration
	// TombstoneTTL is the duration of the leases of tombstones.
	TombstoneTTL time.Duration
	// UnknownCancelRate and UnknownCancelBurst bound the cancels of jobs that aren't stored: so many a second, and so many
	// at once.
	UnknownCancelRate  float64
	UnknownCancelBurst int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MaxSettingsAge: 1800 * time.Millisecond, WaitingCacheTTL: 500 * time.Millisecond, RetryDelay: 30 * time.Millisecond,
		TombstoneTTL: time.Minute, UnknownCancelRate: 4, UnknownCancelBurst: 64,
	}
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
	tombstones  *tombstones

	mu sync.Mutex
	// waiting holds the number of waiting jobs by queue, as read at waitingReadAt.
	waiting       map[apjob.Queue]int
	waitingReadAt time.Time
	// unavailableSince is when the store stopped answering, or zero while it answers. recovered is closed
	// when it answers again. waitingSubmissions counts the submissions that wait for that.
	unavailableSince   time.Time
	recovered          chan struct{}
	waitingSubmissions int
}

// New returns an intake that refuses callers until settings are applied and confirmed.
func New(store apstore.TransactionalStore, options Options, log Log) *Intake {
	return &Intake{store: store, options: options, log: log, tombstones: newTombstones(options)}
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
