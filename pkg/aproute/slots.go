package aproute

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnport/pkg/apfleet"
)

// slotOwners divides the slots of instances among entries.
type slotOwners struct {
	self    int
	members []apfleet.EntryName
	// weights are the fair shares of members.
	weights []float64
	// scores holds, for each instance, a factor for each slot and member that never changes.
	scores map[apfleet.VMID][]float64
}

// update takes the members and their demands over.
func (o *slotOwners) update(self apfleet.EntryName, shares []Share, slots int) {
	names := make([]apfleet.EntryName, 0, len(shares))
	demands := make([]int, 0, len(shares))
	for _, share := range shares {
		names = append(names, share.Entry)
		demands = append(demands, share.Demand)
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

// allowance counts the slots of an instance that belong to this entry.
func (o *slotOwners) allowance(id apfleet.VMID, slots int) int {
	scores := o.scoresOf(id, slots)
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

// scoresOf returns the factors of an instance. The member with the greatest product of weight and factor
// owns the slot; that is each member with a probability in proportion to its weight.
func (o *slotOwners) scoresOf(id apfleet.VMID, slots int) []float64 {
	scores, ok := o.scores[id]
	if ok && len(scores) == slots*len(o.members) {
		return scores
	}
	scores = make([]float64, 0, slots*len(o.members))
	for slot := range slots {
		for _, member := range o.members {
			scores = append(scores, -1/math.Log(slotHash(id, slot, member)))
		}
	}
	o.scores[id] = scores
	return scores
}

// slotHash returns a number between 0 and 1, neither included.
func slotHash(id apfleet.VMID, slot int, member apfleet.EntryName) float64 {
	const mantissa = 1 << 53
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.Write([]byte{byte(slot), byte(slot >> 8)})
	_, _ = digest.WriteString(string(member))
	return (float64(digest.Sum64()>>11) + 0.5) / mantissa
}
