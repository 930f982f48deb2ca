package apfleet

import (
	"net/netip"
	"slices"
	"time"

	"auburnport/pkg/apcode"
)

// Member is one run of an entry.
type Member struct {
	_ struct{} `cbor:",toarray"`

	Name EntryName `cbor:"Name"`
	// Incarnation differs between two runs of the same entry, and the later run has the higher one.
	Incarnation uint64 `cbor:"Incarnation"`
}

// Registration is an entry that may hold requests in flight.
type Registration struct {
	_ struct{} `cbor:",toarray"`

	Name EntryName `cbor:"Name"`
	// Incarnation differs between two runs of the same entry, and the later run has the higher one.
	Incarnation uint64         `cbor:"Incarnation"`
	Mesh        netip.AddrPort `cbor:"Mesh"`
	DataCentre  DataCentre     `cbor:"DataCentre"`
}

// Member returns the run of the entry.
func (r Registration) Member() Member { return Member{Name: r.Name, Incarnation: r.Incarnation} }

// FormerView is a set of members that has been replaced.
type FormerView struct {
	Members []Member `cbor:"Members"`
	// Ended is when the view was replaced.
	Ended time.Time `cbor:"Ended"`
}

// Registry is the table of entries and one value of the store. A planned stop waits for all entries,
// and the entries of the views tell who may know of a request id.
type Registry struct {
	// Sequence counts the views and never falls.
	Sequence uint64 `cbor:"Sequence"`
	// Entries holds each name once.
	Entries []Registration `cbor:"Entries"`
	// Former holds the views that ended lately, oldest first.
	Former []FormerView `cbor:"Former,omitempty"`
	// HandedOver holds former members that gave their request ids to the next owners.
	HandedOver []Member `cbor:"HandedOver,omitempty"`
}

// Check returns BadMessage for a row without a name or an address.
func (r Registry) Check() error {
	for _, e := range r.Entries {
		if e.Name == "" || !e.Mesh.IsValid() {
			return apcode.Errorf(apcode.BadMessage, "entry %q has no name or no mesh address", e.Name)
		}
	}
	return nil
}

// Members returns the present view.
func (r Registry) Members() []Member {
	members := make([]Member, 0, len(r.Entries))
	for _, e := range r.Entries {
		members = append(members, e.Member())
	}
	return members
}

// Join returns the registry after an entry has joined; an earlier run of it has ended by that. Former
// views are kept for window.
func (r Registry) Join(now time.Time, entry Registration, window time.Duration) Registry {
	next := r.next(now, window)
	next.Entries = slices.DeleteFunc(next.Entries, func(e Registration) bool { return e.Name == entry.Name })
	next.Entries = append(next.Entries, entry)
	return next
}

// Leave returns the registry after a member has left or was found dead.
func (r Registry) Leave(now time.Time, member Member, handedOver bool, window time.Duration) Registry {
	next := r.next(now, window)
	next.Entries = slices.DeleteFunc(next.Entries, func(e Registration) bool { return e.Member() == member })
	if handedOver {
		next.HandedOver = append(next.HandedOver, member)
	}
	return next
}

// next returns a copy in which the present view is the newest former one.
func (r Registry) next(now time.Time, window time.Duration) Registry {
	next := Registry{Sequence: r.Sequence + 1, Entries: slices.Clone(r.Entries)}
	for _, view := range r.Former {
		if now.Sub(view.Ended) <= window {
			next.Former = append(next.Former, view)
		}
	}
	if len(r.Entries) > 0 {
		next.Former = append(next.Former, FormerView{Members: r.Members(), Ended: now})
	}
	for _, member := range r.HandedOver {
		if next.remembers(member) {
			next.HandedOver = append(next.HandedOver, member)
		}
	}
	return next
}

// remembers reports whether a member belongs to a former view.
func (r Registry) remembers(member Member) bool {
	return slices.ContainsFunc(r.Former, func(v FormerView) bool { return slices.Contains(v.Members, member) })
}
