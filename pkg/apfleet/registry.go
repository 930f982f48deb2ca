package apfleet

import (
	"net/netip"
	"slices"
	"time"

	"auburnport/pkg/apcode"
)

// Member identifies one incarnation of an entry.
type Member struct {
	_ struct{} `cbor:",toarray"`

	Name EntryName `cbor:"Name"`
	// Incarnation is higher for each later run of the same entry.
	Incarnation uint64 `cbor:"Incarnation"`
}

// Registration is the record of a registered entry. An entry that shuts down completes its requests in flight before
// it removes its registration. Package apcontrol removes that of an entry that stays dead.
type Registration struct {
	_ struct{} `cbor:",toarray"`

	Name EntryName `cbor:"Name"`
	// Incarnation is higher for each later run of the same entry.
	Incarnation uint64 `cbor:"Incarnation"`
	// Mesh is the address at which the entry listens for other entries.
	Mesh       netip.AddrPort `cbor:"Mesh"`
	DataCentre DataCentre     `cbor:"DataCentre"`
}

// Member returns the registered incarnation of the entry.
func (r Registration) Member() Member { return Member{Name: r.Name, Incarnation: r.Incarnation} }

// FormerView is a past membership view: a set of members that has been replaced by a newer one.
type FormerView struct {
	Members []Member `cbor:"Members"`
	// Ended is when the view was replaced.
	Ended time.Time `cbor:"Ended"`
}

// Registry is the table of registered entries. It is a single value in the store. A disruption waits until all
// registered entries have confirmed it. The current and former views determine which entries may know of a
// request id.
type Registry struct {
	// Sequence is the number of the current view. It increases with each new view.
	Sequence uint64 `cbor:"Sequence"`
	// Entries is the current view. It holds each name at most once.
	Entries []Registration `cbor:"Entries"`
	// FormerViews holds the recently replaced views, oldest first.
	FormerViews []FormerView `cbor:"Former,omitempty"`
	// HandedOver holds former members that handed their request ids over to the next owners before they left.
	HandedOver []Member `cbor:"HandedOver,omitempty"`
}

// Check returns BadMessage for an entry without a name or a mesh address.
func (r Registry) Check() error {
	for _, entry := range r.Entries {
		if entry.Name == "" || !entry.Mesh.IsValid() {
			return apcode.Errorf(apcode.BadMessage, "entry %q has no name or no mesh address", entry.Name)
		}
	}
	return nil
}

// Members returns the members of the current view.
func (r Registry) Members() []Member {
	members := make([]Member, 0, len(r.Entries))
	for _, entry := range r.Entries {
		members = append(members, entry.Member())
	}
	return members
}

// Join returns the registry after an entry has joined. The entry replaces its earlier incarnation. Former views are
// kept for the duration of window.
func (r Registry) Join(now time.Time, entry Registration, window time.Duration) Registry {
	next := r.withNewView(now, window)
	next.Entries = slices.DeleteFunc(next.Entries, func(e Registration) bool { return e.Name == entry.Name })
	next.Entries = append(next.Entries, entry)
	return next
}

// Leave returns the registry after a member has left or was found dead. handedOver tells whether the member handed
// its request ids over. Former views are kept for the duration of window.
func (r Registry) Leave(now time.Time, member Member, handedOver bool, window time.Duration) Registry {
	next := r.withNewView(now, window)
	next.Entries = slices.DeleteFunc(next.Entries, func(e Registration) bool { return e.Member() == member })
	if handedOver {
		next.HandedOver = append(next.HandedOver, member)
	}
	return next
}

// withNewView returns a copy that begins a new view with the same entries. The current view becomes the newest former
// view, and views that ended more than window ago are dropped.
func (r Registry) withNewView(now time.Time, window time.Duration) Registry {
	next := Registry{Sequence: r.Sequence + 1, Entries: slices.Clone(r.Entries)}
	for _, view := range r.FormerViews {
		if now.Sub(view.Ended) <= window {
			next.FormerViews = append(next.FormerViews, view)
		}
	}
	if len(r.Entries) > 0 {
		next.FormerViews = append(next.FormerViews, FormerView{Members: r.Members(), Ended: now})
	}
	for _, member := range r.HandedOver {
		if next.inFormerView(member) {
			next.HandedOver = append(next.HandedOver, member)
		}
	}
	return next
}

// inFormerView reports whether a member belongs to a former view.
func (r Registry) inFormerView(member Member) bool {
	return slices.ContainsFunc(r.FormerViews, func(v FormerView) bool { return slices.Contains(v.Members, member) })
}
