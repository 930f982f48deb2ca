// Package apjournal stores a shard's jobs as submitted and their progress. It makes sure that a shard has one
// owner at a time.
package apjournal

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Shard names a set of jobs that has a single owner.
type Shard string

// Write is a set of changes to a shard's stored state.
type Write struct {
	Puts     []apstore.Put
	Removals []apfleet.Key
}

// Journal writes the stored state of a shard for its owner.
type Journal struct {
	store    apstore.TransactionalStore
	shard    Shard
	epoch    Epoch
	revision apstore.Revision
	// fence is higher than the fence of every earlier owner of the shard.
	fence uint64
	// previousOwnerReleased is true when the previous owner released the shard. previousProtocol is the version of
	// the rules that it followed.
	previousOwnerReleased bool
	previousProtocol      Protocol
}

// The delay between attempts of a write doubles from minRetryDelay, which is a few round trips to the store,
// up to maxRetryDelay. This spares a store that refuses writes, and its recovery is noticed quickly.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Claim takes ownership of a shard that has no owner. The ownership ends with the lease. Errors:
// StoreConflict when the shard has an owner, and those of the store.
func Claim(ctx context.Context, store apstore.TransactionalStore, shard Shard, owner apfleet.EntryName, lease apstore.LeaseID) (*Journal, error) {
	value, err := store.Read(ctx, epochKey(shard))
	if err != nil {
		return nil, err
	}
	epoch := Epoch{}
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &epoch); err != nil {
			return nil, err
		}
	}
	previous := epoch
	epoch = Epoch{Owner: owner, Number: epoch.Number + 1, Protocol: ProtocolMarkedOrders}
	ownerRevision, err := claimRevision(ctx, store, shard, owner)
	if err != nil {
		return nil, err
	}
	result, err := store.Commit(ctx, apstore.Transaction{
		Conditions: []apstore.Condition{{Key: OwnerKey(shard), Revision: ownerRevision}, {Key: epochKey(shard), Revision: value.Revision}},
		Puts: []apstore.Put{
			{Key: OwnerKey(shard), Data: apfleet.Encode(Owner{Entry: owner}), Lease: lease},
			{Key: epochKey(shard), Data: apfleet.Encode(epoch)},
		},
	})
	if err != nil {
		return nil, err
	}
	return &Journal{
		store: store, shard: shard, epoch: epoch, revision: result.Revision,
		fence: uint64(result.Revision), previousOwnerReleased: previous.Released, previousProtocol: previous.Protocol,
	}, nil
}

// claimRevision returns the revision at which the owner's key may be replaced: 0 when there is no owner, or
// the revision left by an earlier claim of the same entry whose answer was lost.
func claimRevision(ctx context.Context, store apstore.TransactionalStore, shard Shard, owner apfleet.EntryName) (apstore.Revision, error) {
	value, err := store.Read(ctx, OwnerKey(shard))
	if err != nil || value.Revision == 0 {
		return 0, err
	}
	var current Owner
	if err := apfleet.Decode(value.Data, &current); err != nil {
		return 0, err
	}
	if current.Entry != owner {
		return 0, apcode.Errorf(apcode.StoreConflict, "shard %s is owned by %s", shard, current.Entry)
	}
	return value.Revision, nil
}

// Fence returns the fencing token of this ownership.
func (j *Journal) Fence() uint64 { return j.fence }

// Revision returns the revision of the last write.
func (j *Journal) Revision() apstore.Revision { return j.revision }

// Epoch returns the number of this ownership.
func (j *Journal) Epoch() uint64 { return j.epoch.Number }

// PreviousOwnerReleased reports whether the previous owner released the shard, and neither it nor an earlier one does
// anything more. Only a release that is recorded in the store counts.
func (j *Journal) PreviousOwnerReleased() bool { return j.previousOwnerReleased }

// PreviousProtocol returns the version of the rules that the previous owner followed.
func (j *Journal) PreviousProtocol() Protocol { return j.previousProtocol }

// Store writes changes and retries until they are known to be stored. onFailure is called after every failed
// attempt. Errors: LeaseLost when another owner has taken over, those of IsRefused, and StoreUnknown when ctx ends.
func (j *Journal) Store(ctx context.Context, write Write, onFailure func(error)) error {
	return j.storeAs(ctx, j.epoch, write, onFailure)
}

// IsRefused reports whether an error says that the store refuses a write for what it holds, so that it would refuse it again.
func IsRefused(err error) bool {
	return apcode.Is(err, apcode.BadMessage) || apcode.Is(err, apcode.ValueTooLarge)
}

// storeAs writes changes together with the next epoch record.
func (j *Journal) storeAs(ctx context.Context, next Epoch, write Write, onFailure func(error)) error {
	next.WriteNumber++
	transaction := apstore.Transaction{
		Conditions: []apstore.Condition{{Key: epochKey(j.shard), Revision: j.revision}},
		Puts:       append([]apstore.Put{{Key: epochKey(j.shard), Data: apfleet.Encode(next)}}, write.Puts...),
		Removals:   write.Removals,
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		result, err := j.store.Commit(ctx, transaction)
		switch apcode.Of(err) {
		case apcode.OK:
			j.epoch, j.revision = next, result.Revision
			return nil
		case apcode.StoreConflict:
			return j.resolveConflict(result.Current[0], next)
		case apcode.BadMessage, apcode.ValueTooLarge:
			// The same write would be refused again.
			return err
		default:
			onFailure(err)
		}
		select {
		case <-ctx.Done():
			return apcode.Wrapf(apcode.StoreUnknown, ctx.Err(), "write of shard %s", j.shard)
		case <-time.After(delay):
		}
	}
}

// resolveConflict returns nil if the conflict was caused by an earlier attempt of the same write.
func (j *Journal) resolveConflict(current apstore.Value, next Epoch) error {
	var epoch Epoch
	if current.Revision == 0 {
		return apcode.Errorf(apcode.LeaseLost, "shard %s: the epoch record is missing", j.shard)
	}
	if err := apfleet.Decode(current.Data, &epoch); err != nil {
		return err
	}
	if epoch != next {
		return apcode.Errorf(apcode.LeaseLost, "shard %s is owned by %s in epoch %d", j.shard, epoch.Owner, epoch.Number)
	}
	j.epoch, j.revision = next, current.Revision
	return nil
}

// Release releases the shard so that another entry can claim it at once. quiet tells the next owner that neither this one
// nor an earlier one does anything more.
func (j *Journal) Release(ctx context.Context, quiet bool) error {
	released := j.epoch
	released.Released = quiet
	return j.storeAs(ctx, released, Write{Removals: []apfleet.Key{OwnerKey(j.shard)}}, func(error) {})
}
