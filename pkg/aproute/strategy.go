package aproute

import (
	"slices"
	"time"

	"auburnport/pkg/apfleet"
)

// Strategy determines how instances are chosen and how entries share an instance's slots: LeastLoaded,
// TwoChoices or OwnedSlots.
type Strategy interface{ strategy() }

// LeastLoaded chooses the instance with the fewest requests of this entry in flight and ignores the load
// from other entries.
type LeastLoaded struct{}

// TwoChoices chooses the less loaded of two random instances. The load includes what other entries report.
type TwoChoices struct{}

// OwnedSlots assigns each slot of an instance to one entry, in proportion to the entries' fair shares.
type OwnedSlots struct{}

func (LeastLoaded) strategy() {}
func (TwoChoices) strategy()  {}
func (OwnedSlots) strategy()  {}

// Reasons for the choice of an instance, as they appear in logs.
const (
	ReasonLeastLoaded = "LeastLoaded"
	ReasonTwoChoices  = "TwoChoices"
	ReasonFullScan    = "FullScan"
	ReasonOwnedSlot   = "OwnedSlot"
	// ReasonAllEjected means that each instance that is not leaving was ejected, on probation without accepting
	// this request as a probe, or tried before.
	ReasonAllEjected = "AllEjected"
)

// chooseInstance returns the index of the chosen instance, or -1 when none has a free slot, and the reason.
// Without any candidate it falls back to all instances that are not leaving, ejected and tried ones included.
func (b *Balancer) chooseInstance(now time.Time, request *Request) (int, string) {
	b.candidateCount = b.countCandidates(now, request)
	if b.candidateCount == 0 {
		return b.leastLoaded(now, request, true), ReasonAllEjected
	}
	switch b.options.Strategy.(type) {
	case LeastLoaded:
		return b.leastLoaded(now, request, false), ReasonLeastLoaded
	case OwnedSlots:
		return b.leastLoaded(now, request, false), ReasonOwnedSlot
	default:
		return b.twoChoices(now, request)
	}
}

// twoChoices returns the less loaded of two random candidates, or the least loaded of all candidates when
// that one has no free slot.
func (b *Balancer) twoChoices(now time.Time, request *Request) (int, string) {
	first := b.randomCandidate(now, request)
	second := b.randomCandidate(now, request)
	if second >= 0 && (first < 0 || b.load(second) < b.load(first)) {
		first = second
	}
	if first >= 0 && b.hasFreeSlot(first) {
		return first, ReasonTwoChoices
	}
	return b.leastLoaded(now, request, false), ReasonFullScan
}

// randomCandidate returns the index of a random candidate, or -1 when none is found in a few attempts.
func (b *Balancer) randomCandidate(now time.Time, request *Request) int {
	const attempts = 4
	for range attempts {
		i := b.random.IntN(len(b.instances))
		if b.isCandidate(i, now, request) {
			return i
		}
	}
	return -1
}

// leastLoaded returns the index of the least loaded candidate that has a free slot, or -1. The scan starts
// one instance further on each call, so that ties are spread over the instances. With includeEjected it
// considers every instance that is not leaving.
func (b *Balancer) leastLoaded(now time.Time, request *Request, includeEjected bool) int {
	best := -1
	b.scanOffset++
	for offset := range b.instances {
		i := (offset + b.scanOffset) % len(b.instances)
		if !b.hasFreeSlot(i) {
			continue
		}
		if includeEjected && b.instances[i].Leaving || !includeEjected && !b.isCandidate(i, now, request) {
			continue
		}
		if best < 0 || b.load(i) < b.load(best) {
			best = i
		}
	}
	return best
}

// load returns the instance's requests in flight; those of other entries count unless the strategy is
// LeastLoaded.
func (b *Balancer) load(i int) int {
	if _, ok := b.options.Strategy.(LeastLoaded); ok {
		return b.instances[i].localInFlight
	}
	return b.instances[i].localInFlight + b.instances[i].remoteInFlight
}

// hasFreeSlot reports whether this entry may send one more request to the instance.
func (b *Balancer) hasFreeSlot(i int) bool {
	if limit := b.options.Limits.MaxLocalInFlight; limit > 0 && b.instances[i].localInFlight >= limit {
		return false
	}
	if _, ok := b.options.Strategy.(OwnedSlots); ok {
		return b.instances[i].localInFlight < b.instances[i].ownedSlots
	}
	return b.load(i) < b.options.Limits.Slots
}

// isCandidate reports whether the instance is eligible for the request, whatever its load.
func (b *Balancer) isCandidate(i int, now time.Time, request *Request) bool {
	instance := &b.instances[i]
	if instance.Leaving || slices.Contains(request.Tried, instance.ID) {
		return false
	}
	return instance.health.accepts(now, request.Idempotent)
}

func (b *Balancer) countCandidates(now time.Time, request *Request) int {
	n := 0
	for i := range b.instances {
		if b.isCandidate(i, now, request) {
			n++
		}
	}
	return n
}

// SetRemoteLoads sets the number of requests that other entries have in flight to each instance.
func (b *Balancer) SetRemoteLoads(load func(apfleet.VMID) int) {
	for i := range b.instances {
		b.instances[i].remoteInFlight = load(b.instances[i].ID)
	}
}

// UpdateFairShare limits this entry's requests in flight to its fair share, given the demand of every other entry.
func (b *Balancer) UpdateFairShare(others []int) {
	slots := b.countUsable() * b.options.Limits.Slots
	b.maxInFlight = FairShare(slots, b.Demand(), others)
}

// FairShare returns how many of the slots an entry with demand own may use, given the demands of the other
// entries. When the demands exceed the slots, that is the max-min fair share. Otherwise it is the entry's
// demand plus an equal part of the free slots, so that the entries together do not exceed the slots even if
// demand rises at all of them before they learn of it. The sum of all shares may exceed the slots by up to
// one per entry: max-min shares are rounded up, and every entry gets at least 1.
func FairShare(slots, own int, others []int) int {
	demands := append([]int{own}, others...)
	slices.Sort(demands)
	left := slots
	for i, demand := range demands {
		even := (left + len(demands) - i - 1) / (len(demands) - i)
		if demand >= even {
			return max(min(own, even), 1)
		}
		left -= demand
	}
	return max(own+left/len(demands), 1)
}

// EntryDemand is an entry's demand for the service.
type EntryDemand struct {
	Entry  apfleet.EntryName
	Demand int
}

// AssignSlots assigns each slot to one of the entries; it has an effect under the OwnedSlots strategy only.
// Weighted rendezvous hashing gives slots to entries in proportion to their fair shares, so that slots
// which an entry does not need go to the others. Entries that know the same demands agree on every slot.
func (b *Balancer) AssignSlots(self apfleet.EntryName, entryDemands []EntryDemand) {
	if _, ok := b.options.Strategy.(OwnedSlots); !ok {
		return
	}
	b.slotOwners.update(self, entryDemands, b.countUsable()*b.options.Limits.Slots)
	for i := range b.instances {
		b.instances[i].ownedSlots = b.slotOwners.countOwned(b.instances[i].ID, b.options.Limits.Slots)
	}
}
