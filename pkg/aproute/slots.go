package aproute

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
)

// slotOwners assigns the slots of instances to entries by weighted rendezvous hashing.
type slotOwners struct {
	// self is the index of this entry in members, or -1.
	self    int
	members []apfleet.EntryName
	// weights holds the fair shares of the members, in the same order.
	weights []float64
	// scores caches the unweighted score of each slot and member for each instance. Demand does not
	// change these scores.
	scores map[apfleet.VMID][]float64
}

// update sets the members and computes their weights from their demands.
func (o *slotOwners) update(self apfleet.EntryName, entryDemands []EntryDemand, slots int) {
	names := make([]apfleet.EntryName, 0, len(entryDemands))
	demands := make([]int, 0, len(entryDemands))
	for _, entry := range entryDemands {
		names = append(names, entry.Entry)
		demands = append(demands, entry.Demand)
	}
	if !slices.Equal(names, o.members) || o.scores == nil {
		o.members = names
		o.scores = make(map[apfleet.VMID][]float64)
	}
	o.self = slices.Index(names, self)
	o.weights = o.weights[:0]
	for i, demand := range demands {
		others := slices.Delete(slices.Clone(demands), i, i+1)
		o.weights = append(o.weights, float64(FairShare(slots, demand, others)))
	}
}

// countOwned returns the number of an instance's slots that belong to this entry.
func (o *slotOwners) countOwned(id apfleet.VMID, slots int) int {
	scores := o.slotScores(id, slots)
	owned := 0
	for slot := range slots {
		best := -1
		bestScore := 0.0
		for m := range o.members {
			score := o.weights[m] * scores[slot*len(o.members)+m]
			if best < 0 || score > bestScore {
				best, bestScore = m, score
			}
		}
		if best == o.self {
			owned++
		}
	}
	return owned
}

// slotScores returns the unweighted scores of an instance, ordered by slot, then by member. The member with
// the greatest product of weight and score owns the slot. With the score -1/ln(h) for a uniform hash h,
// each member wins with a probability in proportion to its weight.
func (o *slotOwners) slotScores(id apfleet.VMID, slots int) []float64 {
	scores, ok := o.scores[id]
	if ok && len(scores) == slots*len(o.members) {
		return scores
	}
	scores = make([]float64, 0, slots*len(o.members))
	for slot := range slots {
		for _, member := range o.members {
			scores = append(scores, -1/math.Log(uniformHash(id, slot, member)))
		}
	}
	o.scores[id] = scores
	return scores
}

// uniformHash maps a slot of an instance and a member to a number between 0 and 1. It is never 0; for the highest
// hash it is rounded to 1.
func uniformHash(id apfleet.VMID, slot int, member apfleet.EntryName) float64 {
	const steps = 1 << 53
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.Write([]byte{byte(slot), byte(slot >> 8)})
	_, _ = digest.WriteString(string(member))
	return (float64(digest.Sum64()>>11) + 0.5) / steps
}
