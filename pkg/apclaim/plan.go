package apclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
)

// OwnersPerID is the number of entries that own an id; a majority of them must grant it.
const OwnersPerID = 3

// Group is the owners of an id in one view.
type Group struct {
	// Owners holds the owners that can still be asked.
	Owners []apfleet.Member
	// Needed is how many of Owners must grant. In the present view that is a majority of its owners;
	// in a former view so many that they include one who knows of any grant of that view.
	Needed int
}

// Plan tells whom to ask for an id. Two claimants whose plans come from the same registry, or from two
// states of it within the window, have an owner in common that grants the id to one of them only.
type Plan struct {
	// Sequence is that of the registry.
	Sequence uint64
	// Groups holds the present view first, then the former ones.
	Groups []Group
}

// NewPlan returns the plan for an id.
func NewPlan(now time.Time, registry apfleet.Registry, id ID, window time.Duration) Plan {
	present := registry.Members()
	owners := Owners(id, present)
	plan := Plan{Sequence: registry.Sequence, Groups: []Group{{Owners: owners, Needed: quorum(len(owners))}}}
	for _, view := range registry.Former {
		if now.Sub(view.Ended) <= window {
			plan.add(formerGroup(registry, present, Owners(id, view.Members)))
		}
	}
	return plan
}

// quorum returns a majority of n owners, and 1 when there are none, which nobody can reach.
func quorum(n int) int { return n/2 + 1 }

// formerGroup returns the owners of a former view that are still present. A grant of that view is known
// to a quorum of its owners, so that all but quorum-1 of them include one who knows. Members that handed
// over count as asked: the owners that came next know what they knew.
func formerGroup(registry apfleet.Registry, present, earlier []apfleet.Member) Group {
	group := Group{Needed: len(earlier) - quorum(len(earlier)) + 1}
	for _, member := range earlier {
		switch {
		case slices.Contains(present, member):
			group.Owners = append(group.Owners, member)
		case slices.Contains(registry.HandedOver, member):
			group.Needed--
		}
	}
	return group
}

// add adds a group unless the plan has the same one.
func (p *Plan) add(group Group) {
	if group.Needed <= 0 {
		return
	}
	for _, other := range p.Groups {
		if other.Needed >= group.Needed && slices.Equal(other.Owners, group.Owners) {
			return
		}
	}
	p.Groups = append(p.Groups, group)
}

// Possible is false when too few are left who could know of the id.
func (p Plan) Possible() bool {
	for _, group := range p.Groups {
		if len(group.Owners) < group.Needed {
			return false
		}
	}
	return len(p.Groups) > 0
}

// Enough reports whether the members that granted are enough to run the request.
func (p Plan) Enough(granted []apfleet.Member) bool {
	for _, group := range p.Groups {
		if group.missing(granted) > 0 {
			return false
		}
	}
	return p.Possible()
}

// Next returns a member that is still to be asked, given those that granted and those that did not
// answer. It returns false when enough have granted, or when the rest cannot make it enough.
func (p Plan) Next(granted, silent []apfleet.Member) (apfleet.Member, bool) {
	for _, group := range p.Groups {
		if group.missing(granted) == 0 {
			continue
		}
		for _, owner := range group.Owners {
			if !slices.Contains(granted, owner) && !slices.Contains(silent, owner) {
				return owner, true
			}
		}
		return apfleet.Member{}, false
	}
	return apfleet.Member{}, false
}

// missing counts the grants that a group still needs.
func (g Group) missing(granted []apfleet.Member) int {
	missing := g.Needed
	for _, owner := range g.Owners {
		if slices.Contains(granted, owner) {
			missing--
		}
	}
	return max(missing, 0)
}

// Members returns everybody that the plan may ask.
func (p Plan) Members() []apfleet.Member {
	var members []apfleet.Member
	for _, group := range p.Groups {
		for _, owner := range group.Owners {
			if !slices.Contains(members, owner) {
				members = append(members, owner)
			}
		}
	}
	return members
}

// Owners returns the members that own id by rendezvous hash, in the order of their names, which is
// the order in which every claimant asks them.
func Owners(id ID, members []apfleet.Member) []apfleet.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b apfleet.Member) int {
		return cmp.Or(cmp.Compare(weight(id, b), weight(id, a)), cmp.Compare(a.Name, b.Name))
	})
	owners := ranked[:min(OwnersPerID, len(ranked))]
	slices.SortFunc(owners, func(a, b apfleet.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return owners
}

func weight(id ID, member apfleet.Member) uint64 {
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
