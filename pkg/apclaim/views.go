package apclaim

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
)

// OwnersPerID is the number of entries that own an id.
const OwnersPerID = 2

// maxViews bounds the remembered views; a claim is refused while more are needed.
const maxViews = 64

// Member is one run of an entry.
type Member struct {
	Name        apfleet.EntryName `cbor:"Name"`
	Incarnation uint64            `cbor:"Incarnation"`
}

// View is the set of members from one moment on.
type View struct {
	Since   time.Time
	Members []Member
}

// Views is the history of the members that one entry has seen. It tells who could know of an id.
// The zero value has seen no member.
type Views struct {
	// views is in the order of time; the last one is in force.
	views []View
	// handedOver holds the members that gave their rows to the next owners before they left.
	handedOver map[Member]time.Time
	// truncated is the end of the newest view that was dropped for lack of room.
	truncated time.Time
}

// Observe records the present members.
func (v *Views) Observe(now time.Time, members []Member, window time.Duration) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Incarnation - b.Incarnation))
	})
	v.forget(now, window)
	if n := len(v.views); n > 0 && slices.Equal(v.views[n-1].Members, sorted) {
		return
	}
	v.views = append(v.views, View{Since: now, Members: sorted})
	if len(v.views) > maxViews {
		v.truncated = v.views[1].Since
		v.views = slices.Delete(v.views, 0, 1)
	}
}

// HandOver notes that a member gave its rows to the next owners.
func (v *Views) HandOver(now time.Time, member Member) {
	if v.handedOver == nil {
		v.handedOver = make(map[Member]time.Time)
	}
	v.handedOver[member] = now
}

// forget drops the views that ended before the window.
func (v *Views) forget(now time.Time, window time.Duration) {
	for len(v.views) > 1 && now.Sub(v.views[1].Since) > window {
		v.views = slices.Delete(v.views, 0, 1)
	}
	for member, at := range v.handedOver {
		if now.Sub(at) > 2*window {
			delete(v.handedOver, member)
		}
	}
}

// Plan tells whom to ask for an id.
type Plan struct {
	// Ask holds the members to ask, the present owners first.
	Ask []Member
	// Owners is how many of Ask are present owners; all of them must grant.
	Owners int
	// Groups holds, for each earlier view whose owners differ, those owners that are still there;
	// at least one of each group must grant.
	Groups [][]Member
	// Possible is false when nobody is left who could know of the id.
	Possible bool
}

// Plan returns whom to ask for id. Each id that was claimed within the window is known to at least
// one member of every group.
func (v *Views) Plan(now time.Time, id ID, window time.Duration) Plan {
	if len(v.views) == 0 {
		return Plan{}
	}
	current := v.views[len(v.views)-1].Members
	owners := Owners(id, current)
	plan := Plan{Ask: slices.Clone(owners), Owners: len(owners), Possible: len(owners) > 0}
	if !v.truncated.IsZero() && now.Sub(v.truncated) < window {
		plan.Possible = false
	}
	for i, view := range v.views[:len(v.views)-1] {
		if now.Sub(v.views[i+1].Since) > window {
			continue
		}
		v.addGroup(&plan, Owners(id, view.Members), current)
	}
	return plan
}

func (v *Views) addGroup(plan *Plan, earlier, current []Member) {
	var group []Member
	for _, member := range earlier {
		if _, ok := v.handedOver[member]; ok {
			return
		}
		if slices.Contains(current, member) {
			group = append(group, member)
		}
	}
	if len(earlier) > 0 && len(group) == 0 {
		plan.Possible = false
		return
	}
	for _, member := range group {
		if !slices.Contains(plan.Ask, member) {
			plan.Ask = append(plan.Ask, member)
		}
	}
	plan.Groups = append(plan.Groups, group)
}

// Enough reports whether the members that granted are enough to run the request.
func (p Plan) Enough(granted []Member) bool {
	if !p.Possible {
		return false
	}
	for _, owner := range p.Ask[:p.Owners] {
		if !slices.Contains(granted, owner) {
			return false
		}
	}
	for _, group := range p.Groups {
		if !slices.ContainsFunc(group, func(m Member) bool { return slices.Contains(granted, m) }) {
			return false
		}
	}
	return true
}

// Owners returns the members that own id by rendezvous hash, in the order of their names, which is
// the order in which every claimant asks them.
func Owners(id ID, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		x, y := weight(id, a), weight(id, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	owners := ranked[:min(OwnersPerID, len(ranked))]
	slices.SortFunc(owners, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return owners
}

func weight(id ID, member Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.WriteString("@")
	_, _ = digest.WriteString(string(member.Name))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = digest.Write([]byte{byte(member.Incarnation >> shift)})
	}
	return digest.Sum64()
}
