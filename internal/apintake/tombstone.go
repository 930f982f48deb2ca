package apintake

import (
	"context"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/apstore"
)

// leasesPerTTL is the number of leases that an entry takes for its tombstones within the duration of one. A tombstone that is
// stored under the last moments of its lease's use stays for the rest of that duration, which is longer than a write can be late.
const leasesPerTTL = 2

// tombstones holds what an entry needs to store the tombstones of jobs: records at the place of the location of a job that was
// cancelled before it was stored. They refuse a submission whose write is carried out late.
type tombstones struct {
	// leasing is held while the lease is looked up or granted.
	leasing chan struct{}
	// lease is valid if it isn't 0. It takes tombstones until useUntil.
	lease    apstore.LeaseID
	useUntil time.Time

	// rate is how many tokens come in a second, burst how many there are at most.
	rate, burst float64

	mu sync.Mutex
	// tokens is the number of tombstones that may be stored at refilledAt.
	tokens     float64
	refilledAt time.Time
}

func newTombstones(options Options) *tombstones {
	burst := float64(options.UnknownCancelBurst)
	return &tombstones{leasing: make(chan struct{}, 1), rate: options.UnknownCancelRate, burst: burst, tokens: burst}
}

// takeToken reports whether a tombstone may be stored now. No more than burst and rate times the age of the oldest one are in
// the store.
func (t *tombstones) takeToken(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.refilledAt.IsZero() {
		refill := t.rate * now.Sub(t.refilledAt).Seconds()
		t.tokens = min(t.tokens+max(0, refill), t.burst)
	}
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// leaseFor returns a lease under which a tombstone lasts at least half of TombstoneTTL. lost is a lease that the store no longer
// knows, or 0. Errors: StoreUnavailable, StoreUnknown.
func (i *Intake) leaseFor(ctx context.Context, lost apstore.LeaseID) (apstore.LeaseID, error) {
	t := i.tombstones
	select {
	case t.leasing <- struct{}{}:
		defer func() { <-t.leasing }()
	case <-ctx.Done():
		return 0, apcode.Wrapf(apcode.StoreUnavailable, ctx.Err(), "wait for a lease")
	}
	if t.lease != 0 && t.lease != lost && time.Now().Before(t.useUntil) {
		return t.lease, nil
	}
	requestedAt := time.Now()
	lease, err := i.store.Grant(ctx, i.options.TombstoneTTL)
	if err != nil {
		// A lease whose grant isn't answered holds nothing and ends by itself.
		return 0, err
	}
	t.lease, t.useUntil = lease, requestedAt.Add(i.options.TombstoneTTL/leasesPerTTL)
	return lease, nil
}

// forbid stores the tombstone of a job that isn't stored: it has no location, and isn't in the given shards, in which earlier builds may
// have stored it without one. It retries until the outcome is known. Errors: JobCancelled once the
// tombstone is stored, CancelsLimited and StoreUnavailable (nothing was done), StoreConflict if the job is stored, StoreUnknown if
// ctx ends first.
func (i *Intake) forbid(ctx context.Context, id apjob.ID, shards ...apjournal.Shard) error {
	if !i.tombstones.takeToken(time.Now()) {
		return apcode.Errorf(apcode.CancelsLimited, "job %s is not stored; %g such cancels a second are allowed", id, i.options.UnknownCancelRate)
	}
	var lost apstore.LeaseID
	err := i.settle(ctx, func() error {
		lease, err := i.leaseFor(ctx, lost)
		if err == nil {
			err = i.putTombstone(ctx, id, shards, lease)
		}
		if apcode.Is(err, apcode.LeaseLost) {
			lost = lease
		}
		return err
	})
	switch apcode.Of(err) {
	case apcode.OK:
		return errCancelled(id)
	case apcode.StoreUnknown:
		return apcode.Errorf(apcode.StoreUnknown, "the store has not confirmed the cancelling of job %s", id)
	default:
		return err
	}
}

// putTombstone succeeds if the job has a tombstone, whoever has stored it.
func (i *Intake) putTombstone(ctx context.Context, id apjob.ID, shards []apjournal.Shard, lease apstore.LeaseID) error {
	locationKey := apjournal.LocationKey(id)
	conditions := []apstore.Condition{{Key: locationKey}}
	for _, shard := range shards {
		conditions = append(conditions, apstore.Condition{Key: apjournal.JobKey(shard, id)}, apstore.Condition{Key: apjournal.ProgressKey(shard, id)})
	}
	result, err := i.store.Commit(ctx, apstore.Transaction{
		Conditions: conditions,
		Puts:       []apstore.Put{{Key: locationKey, Data: apfleet.Encode(apjournal.Location{Cancelled: true}), Lease: lease}},
	})
	if apcode.Is(err, apcode.StoreConflict) && tombstoneIn(result.Current, locationKey) {
		return nil
	}
	return err
}

// tombstoneIn reports whether the values include a tombstone.
func tombstoneIn(values []apstore.Value, locationKey apfleet.Key) bool {
	for _, value := range values {
		var location apjournal.Location
		if value.Key == locationKey && value.Revision != 0 && apfleet.Decode(value.Data, &location) == nil {
			return location.Cancelled
		}
	}
	return false
}
