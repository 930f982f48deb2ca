package apfleet

import "strings"

// Key identifies a value in the store, and the replica of that value in every entry.
type Key string

// Keys and key prefixes in the store.
const (
	KeyPrefix         Key = "auburnport/"
	KeySettings       Key = KeyPrefix + "settings"
	KeyRegistry       Key = KeyPrefix + "entries"
	KeyWave           Key = KeyPrefix + "wave"
	PrefixOwners      Key = KeyPrefix + "owners/"
	PrefixDisruptions Key = KeyPrefix + "disruptions/"
	PrefixControl     Key = "auburnport-control/"
)

// OwnersKey returns the key of a data centre's owner table.
func OwnersKey(dc DataCentre) Key { return PrefixOwners + Key(dc) }

// DisruptionsKey returns the key of a pool's disruption table.
func DisruptionsKey(pool PoolName) Key { return PrefixDisruptions + Key(pool) }

// ControlKey returns the key of a region's control lease.
func ControlKey(region string) Key { return PrefixControl + Key(region) }

// HasPrefix reports whether the key starts with prefix.
func (k Key) HasPrefix(prefix Key) bool { return strings.HasPrefix(string(k), string(prefix)) }
