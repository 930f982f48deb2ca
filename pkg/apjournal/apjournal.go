// Package apjournal keeps the jobs of a shard in the store: as submitted, with their progress, and
// under one owner at a time.
package apjournal

import (
	"context"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// Shard names a set of jobs with one owner.
type Shard string

// Prefixes of the keys.
const (
	prefix apfleet.Key = "auburnport-jobs/"
	// PrefixMembers holds the entries that are up and the owners of shards.
	PrefixMembers apfleet.Key = prefix + "members/"
	prefixEntries             = PrefixMembers + "entry/"
	prefixOwners              = PrefixMembers + "owner/"
	suffixJob                 = "/job"
	suffixCancel              = "/cancel"
)

// EntryKey returns the key of an entry that is up.
func EntryKey(name apfleet.EntryName) apfleet.Key { return prefixEntries + apfleet.Key(name) }

// OwnerKey returns the key under which a shard is owned.
func OwnerKey(shard Shard) apfleet.Key { return prefixOwners + apfleet.Key(shard) }

// AwaitingOf returns the pool that a key under PrefixAwaiting names.
func AwaitingOf(key apfleet.Key) (apfleet.ServiceName, bool) {
	pool, ok := strings.CutPrefix(string(key), string(PrefixAwaiting))
	return apfleet.ServiceName(pool), ok
}

// EntryOf returns the entry that a key under PrefixMembers names.
func EntryOf(key apfleet.Key) (apfleet.EntryName, bool) {
	name, ok := strings.CutPrefix(string(key), string(prefixEntries))
	return apfleet.EntryName(name), ok
}

// ShardOf returns the shard that a key under PrefixMembers names.
func ShardOf(key apfleet.Key) (Shard, bool) {
	name, ok := strings.CutPrefix(string(key), string(prefixOwners))
	return Shard(name), ok
}

// InboxPrefix holds jobs as submitted and requests to cancel them.
func InboxPrefix(shard Shard) apfleet.Key { return prefix + "inbox/" + apfleet.Key(shard) + "/" }

// JobKey returns the key of a job as submitted.
func JobKey(shard Shard, id apjob.ID) apfleet.Key {
	return InboxPrefix(shard) + apfleet.Key(id) + suffixJob
}

// CancelKey returns the key of a request to cancel a job.
func CancelKey(shard Shard, id apjob.ID) apfleet.Key {
	return InboxPrefix(shard) + apfleet.Key(id) + suffixCancel
}

// progressPrefix holds the progress of a shard's jobs.
func progressPrefix(shard Shard) apfleet.Key { return prefix + "progress/" + apfleet.Key(shard) + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(shard Shard, id apjob.ID) apfleet.Key {
	return progressPrefix(shard) + apfleet.Key(id)
}

// WaitingKey returns the key of the shard's counts of waiting jobs.
func WaitingKey(shard Shard) apfleet.Key { return prefix + "waiting/" + apfleet.Key(shard) }

// Prefixes of what the controller of machines and the owners of pools tell each other.
const (
	// PrefixControl holds what the controller tells the owners of pools.
	PrefixControl apfleet.Key = prefix + "control/"
	// PrefixDisruptions holds the machines that are being emptied.
	PrefixDisruptions = PrefixControl + "disruption/"
	// PrefixAwaiting holds, for each pool, the workers whose machines will be emptied for a wave.
	PrefixAwaiting = PrefixControl + "awaiting/"
	// PrefixPools holds what each pool's owner says of it.
	PrefixPools apfleet.Key = prefix + "pool/"
	// PrefixWaves holds how far each wave is.
	PrefixWaves apfleet.Key = prefix + "wave/"
)

// Machines is the shard of all machines: its owner alone moves and maintains them.
const Machines Shard = "-machines"

// epochKey orders the writes of a shard: every write replaces it.
func epochKey(shard Shard) apfleet.Key { return prefix + "epoch/" + apfleet.Key(shard) }

// InboxID splits a key of the inbox. cancel is true for a request to cancel.
func InboxID(shard Shard, key apfleet.Key) (id apjob.ID, cancel, ok bool) {
	rest, found := strings.CutPrefix(string(key), string(InboxPrefix(shard)))
	if !found {
		return "", false, false
	}
	if name, isJob := strings.CutSuffix(rest, suffixJob); isJob {
		return apjob.ID(name), false, true
	}
	name, isCancel := strings.CutSuffix(rest, suffixCancel)
	return apjob.ID(name), true, isCancel
}

// Epoch is the value that every write of a shard replaces.
type Epoch struct {
	Holder apfleet.EntryName `cbor:"Holder"`
	// Number rises with every owner.
	Number uint64 `cbor:"Number"`
	// Write rises with every write of the owner.
	Write uint64 `cbor:"Write"`
	// Released tells that the owner has given the shard up, and acts no more.
	Released bool `cbor:"Released"`
}

// Check returns BadMessage for an epoch without a holder.
func (e Epoch) Check() error {
	if e.Holder == "" {
		return apcode.Errorf(apcode.BadMessage, "epoch without a holder")
	}
	return nil
}

// Entry is the value of an entry's key.
type Entry struct {
	// Weight is the entry's processor share in thousandths of a core; 0 counts as 1.
	Weight int `cbor:"Weight"`
}

// Check returns BadMessage for a negative weight.
func (e Entry) Check() error {
	if e.Weight < 0 {
		return apcode.Errorf(apcode.BadMessage, "entry of weight %d", e.Weight)
	}
	return nil
}

// Owner is the value of an owner's key.
type Owner struct {
	Holder apfleet.EntryName `cbor:"Holder"`
}

// Check returns BadMessage for an owner without a name.
func (o Owner) Check() error {
	if o.Holder == "" {
		return apcode.Errorf(apcode.BadMessage, "owner without a name")
	}
	return nil
}

// Waiting counts a shard's waiting jobs by queue.
type Waiting struct {
	Queues map[apjob.Queue]int `cbor:"Queues"`
}

// Check accepts every count.
func (w Waiting) Check() error { return nil }

// Write is a change of what the store keeps.
type Write struct {
	Puts     []apstore.Put
	Removals []apfleet.Key
}

// Journal writes a shard's state while it is owned.
type Journal struct {
	ledger   apstore.Ledger
	shard    Shard
	epoch    Epoch
	revision apstore.Revision
	// fence is above that of every earlier owner of the shard.
	fence uint64
	// handedOver tells that the owner before has given the shard up.
	handedOver bool
}

// The pause between attempts of a write doubles from some answers of the store to a part of a second,
// so that a refusing store is not pressed and its return is soon noticed.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Claim takes ownership of a shard that has no owner; lease ends the ownership. Errors:
// StoreConflict when there is an owner, and those of the store.
func Claim(ctx context.Context, ledger apstore.Ledger, shard Shard, holder apfleet.EntryName, lease apstore.LeaseID) (*Journal, error) {
	value, err := ledger.Read(ctx, epochKey(shard))
	if err != nil {
		return nil, err
	}
	epoch := Epoch{}
	if value.Revision != 0 {
		if err := apfleet.Decode(value.Data, &epoch); err != nil {
			return nil, err
		}
	}
	handedOver := epoch.Released
	epoch = Epoch{Holder: holder, Number: epoch.Number + 1}
	free, err := claimable(ctx, ledger, shard, holder)
	if err != nil {
		return nil, err
	}
	result, err := ledger.Commit(ctx, apstore.Transaction{
		Conditions: []apstore.Condition{{Key: OwnerKey(shard), Revision: free}, {Key: epochKey(shard), Revision: value.Revision}},
		Puts: []apstore.Put{
			{Key: OwnerKey(shard), Data: apfleet.Encode(Owner{Holder: holder}), Lease: lease},
			{Key: epochKey(shard), Data: apfleet.Encode(epoch)},
		},
	})
	if err != nil {
		return nil, err
	}
	return &Journal{
		ledger: ledger, shard: shard, epoch: epoch, revision: result.Revision,
		fence: uint64(result.Revision), handedOver: handedOver,
	}, nil
}

// claimable returns the revision at which the owner's key may be taken: when it is absent, or left
// from a claim of the same holder whose answer was lost.
func claimable(ctx context.Context, ledger apstore.Ledger, shard Shard, holder apfleet.EntryName) (apstore.Revision, error) {
	value, err := ledger.Read(ctx, OwnerKey(shard))
	if err != nil || value.Revision == 0 {
		return 0, err
	}
	var owner Owner
	if err := apfleet.Decode(value.Data, &owner); err != nil {
		return 0, err
	}
	if owner.Holder != holder {
		return 0, apcode.Errorf(apcode.StoreConflict, "shard %s belongs to %s", shard, owner.Holder)
	}
	return value.Revision, nil
}

// Fence returns the fencing token of this ownership.
func (j *Journal) Fence() uint64 { return j.fence }

// Revision returns the revision of the last write.
func (j *Journal) Revision() apstore.Revision { return j.revision }

// Epoch returns the number of this ownership.
func (j *Journal) Epoch() uint64 { return j.epoch.Number }

// HandedOver reports whether the owner before has given the shard up, and acts no more: no answer to a
// release that was lost is taken for one.
func (j *Journal) HandedOver() bool { return j.handedOver }

// Store writes a change, again after lost answers, until it is known to be stored. attempt is told of
// every failure. Errors: LeaseLost when another owner has taken over, BadMessage, and ctx's.
func (j *Journal) Store(ctx context.Context, write Write, attempt func(error)) error {
	return j.store(ctx, j.epoch, write, attempt)
}

// store writes a change with the next epoch.
func (j *Journal) store(ctx context.Context, next Epoch, write Write, attempt func(error)) error {
	next.Write++
	transaction := apstore.Transaction{
		Conditions: []apstore.Condition{{Key: epochKey(j.shard), Revision: j.revision}},
		Puts:       append([]apstore.Put{{Key: epochKey(j.shard), Data: apfleet.Encode(next)}}, write.Puts...),
		Removals:   write.Removals,
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		result, err := j.ledger.Commit(ctx, transaction)
		switch apcode.Of(err) {
		case apcode.OK:
			j.epoch, j.revision = next, result.Revision
			return nil
		case apcode.StoreConflict:
			return j.settle(result.Present[0], next)
		case apcode.BadMessage:
			// The same write would be refused again.
			return err
		default:
			attempt(err)
		}
		select {
		case <-ctx.Done():
			return apcode.Wrapf(apcode.StoreUnknown, ctx.Err(), "write of shard %s", j.shard)
		case <-time.After(delay):
		}
	}
}

// settle tells whether a conflict comes from an earlier attempt of the same write.
func (j *Journal) settle(present apstore.Value, next Epoch) error {
	var epoch Epoch
	if present.Revision == 0 {
		return apcode.Errorf(apcode.LeaseLost, "shard %s: its epoch is gone", j.shard)
	}
	if err := apfleet.Decode(present.Data, &epoch); err != nil {
		return err
	}
	if epoch != next {
		return apcode.Errorf(apcode.LeaseLost, "shard %s belongs to %s in epoch %d", j.shard, epoch.Holder, epoch.Number)
	}
	j.epoch, j.revision = next, present.Revision
	return nil
}

// Release gives the shard up, so that another entry can claim it at once.
func (j *Journal) Release(ctx context.Context) error {
	last := j.epoch
	last.Released = true
	return j.store(ctx, last, Write{Removals: []apfleet.Key{OwnerKey(j.shard)}}, func(error) {})
}

// Saved is a job with its progress.
type Saved struct {
	Job      *apjob.Job
	Progress apjob.Progress
	// Begun tells that there is progress.
	Begun     bool
	Cancelled bool
}

// State is all that the store keeps of a shard.
type State struct {
	// Jobs are those that are not retired.
	Jobs map[apjob.ID]*Saved
	// Retired holds the ends of jobs whose work is over.
	Retired map[apjob.ID]time.Time
	// Broken lists the keys of values that can't be read.
	Broken []apfleet.Key
}

// Load reads a shard. Errors: those of the store.
func (j *Journal) Load(ctx context.Context) (State, error) {
	state := State{Jobs: make(map[apjob.ID]*Saved), Retired: make(map[apjob.ID]time.Time)}
	inbox, err := j.ledger.Scan(ctx, InboxPrefix(j.shard))
	if err != nil {
		return state, err
	}
	progress, err := j.ledger.Scan(ctx, progressPrefix(j.shard))
	if err != nil {
		return state, err
	}
	for _, value := range inbox.Values {
		id, cancel, ok := InboxID(j.shard, value.Key)
		if !ok || cancel {
			continue
		}
		job, err := DecodeJob(value.Data)
		if err != nil {
			state.Broken = append(state.Broken, value.Key)
			continue
		}
		state.Jobs[id] = &Saved{Job: job}
	}
	for _, value := range inbox.Values {
		if id, cancel, _ := InboxID(j.shard, value.Key); cancel && state.Jobs[id] != nil {
			state.Jobs[id].Cancelled = true
		}
	}
	for _, value := range progress.Values {
		id := apjob.ID(strings.TrimPrefix(string(value.Key), string(progressPrefix(j.shard))))
		var p apjob.Progress
		if err := apfleet.Decode(value.Data, &p); err != nil {
			state.Broken = append(state.Broken, value.Key)
			continue
		}
		if saved := state.Jobs[id]; saved != nil {
			saved.Progress, saved.Begun = p, true
		} else if p.State.Final() {
			state.Retired[id] = time.Unix(p.Ended, 0)
		}
	}
	return state, nil
}

// DecodeJob reads a job as submitted. Errors: BadMessage, BadJob.
func DecodeJob(data []byte) (*apjob.Job, error) {
	var job apjob.Job
	if err := apfleet.Decode(data, &job); err != nil {
		return nil, err
	}
	return &job, nil
}
