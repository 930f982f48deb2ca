package apjournal

import (
	"strings"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

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

// LocationKey returns the key of a job's location, which doesn't depend on any settings.
func LocationKey(id apjob.ID) apfleet.Key { return prefix + "location/" + apfleet.Key(id) }

// PrefixWaiting holds the counts of waiting jobs of each shard.
const PrefixWaiting apfleet.Key = prefix + "waiting/"

// WaitingKey returns the key of the shard's counts of waiting jobs.
func WaitingKey(shard Shard) apfleet.Key { return PrefixWaiting + apfleet.Key(shard) }

// ParseWaitingKey returns the shard in a key made by WaitingKey.
func ParseWaitingKey(key apfleet.Key) (Shard, bool) {
	name, ok := strings.CutPrefix(string(key), string(PrefixWaiting))
	return Shard(name), ok
}

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
