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

// OwnerGroup holds the owners of an id in one membership view.
type OwnerGroup struct {
	// Owners lists the owners that are still members.
	Owners []apfleet.Member
	// RequiredGrants is the number of Owners that must grant the id. In the present view that is a majority.
	// In a former view it is enough to include an owner that knows of any grant made in that view.
	RequiredGrants int
}

// Plan lists the owners that must grant an id. Any two claimants whose plans come from the same registry, or
// from two states of it within the window, need the grant of a common owner, which grants the id to one of
// them only.
type Plan struct {
	// Sequence is the sequence number of the registry that the plan was made from.
	Sequence uint64
	// Groups holds the owners in the present view, followed by those in former views.
	Groups []OwnerGroup
}

// NewPlan returns the plan for an id. It includes the former views that ended within the window, because
// ids granted in them may still be claimed.
func NewPlan(now time.Time, registry apfleet.Registry, id ID, window time.Duration) Plan {
	present := registry.Members()
	owners := Owners(id, present)
	plan := Plan{Sequence: registry.Sequence, Groups: []OwnerGroup{{Owners: owners, RequiredGrants: majority(len(owners))}}}
	for _, view := range registry.FormerViews {
		if now.Sub(view.Ended) <= window {
			plan.addGroup(formerGroup(registry, present, Owners(id, view.Members)))
		}
	}
	return plan
}

// majority returns the smallest majority of n owners. Without owners that is 1, which cannot be reached.
func majority(n int) int { return n/2 + 1 }

// formerGroup returns the owners in a former view that are still members. A claimant that got an id in that
// view holds grants from a majority of its owners, so any n-majority+1 of the n owners include one that
// knows of it. Owners that handed over their claims need not be asked: their successors have the claims.
func formerGroup(registry apfleet.Registry, present, formerOwners []apfleet.Member) OwnerGroup {
	group := OwnerGroup{RequiredGrants: len(formerOwners) - majority(len(formerOwners)) + 1}
	for _, member := range formerOwners {
		switch {
		case slices.Contains(present, member):
			group.Owners = append(group.Owners, member)
		case slices.Contains(registry.HandedOver, member):
			group.RequiredGrants--
		}
	}
	return group
}

// addGroup adds a group unless it requires no grants or another group of the same owners requires as many.
func (p *Plan) addGroup(group OwnerGroup) {
	if group.RequiredGrants <= 0 {
		return
	}
	for _, other := range p.Groups {
		if other.RequiredGrants >= group.RequiredGrants && slices.Equal(other.Owners, group.Owners) {
			return
		}
	}
	p.Groups = append(p.Groups, group)
}

// QuorumPossible reports whether each group still has as many owners as it requires grants. If not, earlier
// grants of the id may be unknown to all present members.
func (p Plan) QuorumPossible() bool {
	for _, group := range p.Groups {
		if len(group.Owners) < group.RequiredGrants {
			return false
		}
	}
	return len(p.Groups) > 0
}

// HasQuorum reports whether the grants of the given members suffice to run the request.
func (p Plan) HasQuorum(granted []apfleet.Member) bool {
	for _, group := range p.Groups {
		if group.missingGrants(granted) > 0 {
			return false
		}
	}
	return p.QuorumPossible()
}

// NextOwner returns the owner to ask next, given the owners that granted and those that denied the claim or could not
// be reached. It returns false when enough have granted, or when the first group that lacks grants has no other owner
// to ask.
func (p Plan) NextOwner(granted, notGranted []apfleet.Member) (apfleet.Member, bool) {
	for _, group := range p.Groups {
		if group.missingGrants(granted) == 0 {
			continue
		}
		for _, owner := range group.Owners {
			if !slices.Contains(granted, owner) && !slices.Contains(notGranted, owner) {
				return owner, true
			}
		}
		return apfleet.Member{}, false
	}
	return apfleet.Member{}, false
}

// missingGrants returns the number of grants that the group still requires.
func (g OwnerGroup) missingGrants(granted []apfleet.Member) int {
	missing := g.RequiredGrants
	for _, owner := range g.Owners {
		if slices.Contains(granted, owner) {
			missing--
		}
	}
	return max(missing, 0)
}

// AllOwners returns the owners of all groups, each once.
func (p Plan) AllOwners() []apfleet.Member {
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

// Owners returns the members that own id by rendezvous hashing, sorted by name. All claimants ask them in
// this order.
func Owners(id ID, members []apfleet.Member) []apfleet.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b apfleet.Member) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(id, b), rendezvousWeight(id, a)), cmp.Compare(a.Name, b.Name))
	})
	owners := ranked[:min(OwnersPerID, len(ranked))]
	slices.SortFunc(owners, func(a, b apfleet.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return owners
}

// rendezvousWeight hashes an id and a member. The members with the greatest weights own the id.
func rendezvousWeight(id ID, member apfleet.Member) uint64 {
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
