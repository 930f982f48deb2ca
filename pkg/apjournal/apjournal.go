// Package apjournal stores a shard's jobs as submitted and their progress. It makes sure that a shard has one
// owner at a time.
package apjournal

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// Shard names a set of jobs that has a single owner.
type Shard string

// Prefixes and suffixes of the keys in the store.
const (
	prefix apfleet.Key = "auburnport-jobs/"
	// PrefixMembers holds the records of running entries and of shard owners.
	PrefixMembers apfleet.Key = prefix + "members/"
	prefixEntries             = PrefixMembers + "entry/"
	prefixOwners              = PrefixMembers + "owner/"
	suffixJob                 = "/job"
	suffixCancel              = "/cancel"
)

// EntryKey returns the key of a running entry's record.
func EntryKey(name apfleet.EntryName) apfleet.Key { return prefixEntries + apfleet.Key(name) }

// OwnerKey returns the key of a shard's owner record.
func OwnerKey(shard Shard) apfleet.Key { return prefixOwners + apfleet.Key(shard) }

// ParseAwaitingKey returns the pool in a key under PrefixAwaiting.
func ParseAwaitingKey(key apfleet.Key) (apfleet.ServiceName, bool) {
	pool, ok := strings.CutPrefix(string(key), string(PrefixAwaiting))
	return apfleet.ServiceName(pool), ok
}

// ParseEntryKey returns the entry in a key made by EntryKey.
func ParseEntryKey(key apfleet.Key) (apfleet.EntryName, bool) {
	name, ok := strings.CutPrefix(string(key), string(prefixEntries))
	return apfleet.EntryName(name), ok
}

// ParseOwnerKey returns the shard in a key made by OwnerKey.
func ParseOwnerKey(key apfleet.Key) (Shard, bool) {
	name, ok := strings.CutPrefix(string(key), string(prefixOwners))
	return Shard(name), ok
}

// InboxPrefix returns the prefix of the shard's submitted jobs and cancel requests.
func InboxPrefix(shard Shard) apfleet.Key { return prefix + "inbox/" + apfleet.Key(shard) + "/" }

// JobKey returns the key of a submitted job.
func JobKey(shard Shard, id apjob.ID) apfleet.Key {
	return InboxPrefix(shard) + apfleet.Key(id) + suffixJob
}

// CancelKey returns the key of a cancel request.
func CancelKey(shard Shard, id apjob.ID) apfleet.Key {
	return InboxPrefix(shard) + apfleet.Key(id) + suffixCancel
}

// progressPrefix returns the prefix of the progress records of a shard's jobs.
func progressPrefix(shard Shard) apfleet.Key { return prefix + "progress/" + apfleet.Key(shard) + "/" }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(shard Shard, id apjob.ID) apfleet.Key {
	return progressPrefix(shard) + apfleet.Key(id)
}

// WaitingKey returns the key of the shard's counts of waiting jobs.
func WaitingKey(shard Shard) apfleet.Key { return prefix + "waiting/" + apfleet.Key(shard) }

// Prefixes of the records that the machine controller and the owners of pools exchange.
const (
	// PrefixControl holds the machine controller's records for pool owners.
	PrefixControl apfleet.Key = prefix + "control/"
	// PrefixDisruptions holds a record for each machine that is being emptied or was ordered shortly before.
	PrefixDisruptions = PrefixControl + "disruption/"
	// PrefixAwaiting holds, for each pool, the workers whose machines will be emptied in a wave.
	PrefixAwaiting = PrefixControl + "awaiting/"
	// PrefixPools holds the report of each pool's owner.
	PrefixPools apfleet.Key = prefix + "pool/"
	// PrefixWaves holds the progress of each wave.
	PrefixWaves apfleet.Key = prefix + "wave/"
)

// MachineShard is the shard of all machines. Only its owner orders their moves and their upkeep.
const MachineShard Shard = "-machines"

// epochKey returns the key of a shard's epoch record. Every write to the shard replaces the record on
// condition of its last revision, which serializes the writes.
func epochKey(shard Shard) apfleet.Key { return prefix + "epoch/" + apfleet.Key(shard) }

// ParseInboxKey returns the job ID in a key under InboxPrefix. cancel is true for a cancel request.
func ParseInboxKey(shard Shard, key apfleet.Key) (id apjob.ID, cancel, ok bool) {
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

// Epoch is the record that every write to a shard replaces.
type Epoch struct {
	Owner apfleet.EntryName `cbor:"Holder"`
	// Number increases with every owner.
	Number uint64 `cbor:"Number"`
	// WriteNumber increases with every write of the owner.
	WriteNumber uint64 `cbor:"Write"`
	// Released is true when the owner has released the shard and does nothing more.
	Released bool `cbor:"Released"`
	// Protocol is the version of the rules that the owner follows. It is 0 for owners older than the field.
	Protocol Protocol `cbor:"Protocol,omitempty"`
}

// Protocol is a version of the rules that the owner of a shard follows. Later versions include the earlier ones.
type Protocol int

// ProtocolMarkedOrders: the owner of the machines stores in a machine's record that an order may be given, before it
// gives the order.
const ProtocolMarkedOrders Protocol = 1

// Check returns BadMessage for an epoch without an owner.
func (e Epoch) Check() error {
	if e.Owner == "" {
		return apcode.Errorf(apcode.BadMessage, "epoch record without an owner")
	}
	return nil
}

// Entry is the record of a running entry.
type Entry struct {
	// Weight is the entry's CPU share in thousandths of a core. 0 counts as 1.
	Weight int `cbor:"Weight"`
	// Relay is the address at which the entry relays calls to the store. The zero value means that it relays none.
	Relay netip.AddrPort `cbor:"Relay,omitzero"`
}

// Check returns BadMessage for a negative weight.
func (e Entry) Check() error {
	if e.Weight < 0 {
		return apcode.Errorf(apcode.BadMessage, "negative entry weight %d", e.Weight)
	}
	return nil
}

// Owner is the owner record of a shard.
type Owner struct {
	Entry apfleet.EntryName `cbor:"Holder"`
}

// Check returns BadMessage for an owner record without an entry.
func (o Owner) Check() error {
	if o.Entry == "" {
		return apcode.Errorf(apcode.BadMessage, "owner record without an entry")
	}
	return nil
}

// WaitingCounts holds the number of a shard's waiting jobs by queue.
type WaitingCounts struct {
	Queues map[apjob.Queue]int `cbor:"Queues"`
}

// Check accepts every count.
func (w WaitingCounts) Check() error { return nil }

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

// PreviousOwnerReleased reports whether the previous owner released the shard and does nothing more. Only a release
// that is recorded in the store counts.
func (j *Journal) PreviousOwnerReleased() bool { return j.previousOwnerReleased }

// PreviousProtocol returns the version of the rules that the previous owner followed.
func (j *Journal) PreviousProtocol() Protocol { return j.previousProtocol }

// Store writes changes and retries until they are known to be stored. onFailure is called after every failed
// attempt. Errors: LeaseLost when another owner has taken over, BadMessage, and StoreUnknown when ctx ends.
func (j *Journal) Store(ctx context.Context, write Write, onFailure func(error)) error {
	return j.storeAs(ctx, j.epoch, write, onFailure)
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
		case apcode.BadMessage:
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

// Release releases the shard so that another entry can claim it at once.
func (j *Journal) Release(ctx context.Context) error {
	released := j.epoch
	released.Released = true
	return j.storeAs(ctx, released, Write{Removals: []apfleet.Key{OwnerKey(j.shard)}}, func(error) {})
}

// StoredJob is a submitted job with its progress.
type StoredJob struct {
	Job      *apjob.Job
	Progress apjob.Progress
	// HasProgress is true when progress is stored for the job.
	HasProgress bool
	Cancelled   bool
}

// State is the stored state of a shard.
type State struct {
	// Jobs holds the jobs whose definition is still stored. A retired job, which is final and has no running tasks,
	// keeps only its progress.
	Jobs map[apjob.ID]*StoredJob
	// Retired holds the end times of retired jobs.
	Retired map[apjob.ID]time.Time
	// Unreadable lists the keys of records that can't be decoded.
	Unreadable []apfleet.Key
}

// Load reads the stored state of the shard. Errors: those of the store.
func (j *Journal) Load(ctx context.Context) (State, error) {
	state := State{Jobs: make(map[apjob.ID]*StoredJob), Retired: make(map[apjob.ID]time.Time)}
	inbox, err := j.store.Scan(ctx, InboxPrefix(j.shard))
	if err != nil {
		return state, err
	}
	progress, err := j.store.Scan(ctx, progressPrefix(j.shard))
	if err != nil {
		return state, err
	}
	for _, value := range inbox.Values {
		id, cancel, ok := ParseInboxKey(j.shard, value.Key)
		if !ok || cancel {
			continue
		}
		job, err := DecodeJob(value.Data)
		if err != nil {
			state.Unreadable = append(state.Unreadable, value.Key)
			continue
		}
		state.Jobs[id] = &StoredJob{Job: job}
	}
	for _, value := range inbox.Values {
		if id, cancel, _ := ParseInboxKey(j.shard, value.Key); cancel && state.Jobs[id] != nil {
			state.Jobs[id].Cancelled = true
		}
	}
	for _, value := range progress.Values {
		id := apjob.ID(strings.TrimPrefix(string(value.Key), string(progressPrefix(j.shard))))
		var p apjob.Progress
		if err := apfleet.Decode(value.Data, &p); err != nil {
			state.Unreadable = append(state.Unreadable, value.Key)
			continue
		}
		if stored := state.Jobs[id]; stored != nil {
			stored.Progress, stored.HasProgress = p, true
		} else if p.State.Final() {
			state.Retired[id] = time.Unix(p.Ended, 0)
		}
	}
	return state, nil
}

// DecodeJob decodes a submitted job. Errors: BadMessage, BadJob.
func DecodeJob(data []byte) (*apjob.Job, error) {
	var job apjob.Job
	if err := apfleet.Decode(data, &job); err != nil {
		return nil, err
	}
	return &job, nil
}
