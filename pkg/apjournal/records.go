package apjournal

import (
	"maps"
	"net/netip"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// Epoch is the record that every write to a shard replaces.
type Epoch struct {
	Owner apfleet.EntryName `cbor:"Holder"`
	// Number increases with every owner.
	Number uint64 `cbor:"Number"`
	// WriteNumber increases with every write of the owner.
	WriteNumber uint64 `cbor:"Write"`
	// Released is true when the owner has released the shard, and neither it nor an earlier one does anything more.
	Released bool `cbor:"Released"`
	// Protocol is the version of the rules that the owner follows. It is 0 for owners older than the field.
	Protocol Protocol `cbor:"Protocol,omitempty"`
}

// Protocol is a version of the rules that the owner of a shard follows. Later versions include the earlier ones.
type Protocol int

// ProtocolMarkedOrders is the version from which on the owner of the machines stores in a machine's record that an order
// may be given, before it gives the order.
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
	// HoldsJobs means that jobs, or their ends, are stored in the shard. HasWorkers means that workers are registered for its
	// pool; only an owner can empty their machines. Either way the shard needs an owner even if no pool in force has its
	// name. Owners older than a field leave it out.
	HoldsJobs  bool `cbor:"HoldsJobs,omitempty"`
	HasWorkers bool `cbor:"HasWorkers,omitempty"`
}

// Equal reports whether two records say the same.
func (w WaitingCounts) Equal(v WaitingCounts) bool {
	return w.HoldsJobs == v.HoldsJobs && w.HasWorkers == v.HasWorkers && maps.Equal(w.Queues, v.Queues)
}

// Check accepts every count.
func (w WaitingCounts) Check() error { return nil }

// Location says in which shard a job is, whichever service its queue has now. It is stored and removed together with the
// job's other records, so that an ID stands for one job. Jobs of entries older than the record have none.
type Location struct {
	// Shard holds the job's other records.
	Shard Shard `cbor:"Shard,omitempty"`
	// Queue, Host and Prefix are those of the queue when it accepted the job.
	Queue  apjob.Queue `cbor:"Queue,omitempty"`
	Host   string      `cbor:"Host,omitempty"`
	Prefix string      `cbor:"Prefix,omitempty"`
	// Cancelled means that the job was cancelled before it was stored, so it must not be stored any more. The other fields
	// are empty then, and the record is removed with its lease.
	Cancelled bool `cbor:"Cancelled,omitempty"`
}

// Check returns BadMessage for a location without a shard.
func (l Location) Check() error {
	if l.Shard == "" && !l.Cancelled {
		return apcode.Errorf(apcode.BadMessage, "location without a shard")
	}
	return nil
}
