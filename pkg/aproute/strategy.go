package aproute

import (
	"slices"
	"time"

	"auburnport/pkg/apfleet"
)

// Strategy is how the slots of an instance are shared among entries: LeastLoaded, TwoChoices or
// OwnedSlots.
type Strategy interface{ strategy() }

// LeastLoaded chooses the instance with the fewest requests of this entry and knows of no others.
type LeastLoaded struct{}

// TwoChoices chooses the less loaded of two random instances and counts the loads that other
// entries report.
type TwoChoices struct{}

// OwnedSlots gives each slot of an instance to one entry, which lends those that it does not need.
type OwnedSlots struct{}

func (LeastLoaded) strategy() {}
func (TwoChoices) strategy()  {}
func (OwnedSlots) strategy()  {}

// Reasons for a choice, as they stand in logs.
const (
	ReasonLeastLoaded = "LeastLoaded"
	ReasonTwoChoices  = "TwoChoices"
	ReasonFullScan    = "FullScan"
	ReasonOwnedSlot   = "OwnedSlot"
	ReasonAllEjected  = "AllEjected"
)

// choose returns the index of the chosen row, or -1 when every candidate is full.
func (b *Balancer) choose(now time.Time, ticket *Ticket) (int, string) {
	b.available = b.countCandidates(now, ticket)
	if b.available == 0 {
		return b.scan(now, ticket, true), ReasonAllEjected
	}
	switch b.options.Strategy.(type) {
	case LeastLoaded:
		return b.scan(now, ticket, false), ReasonLeastLoaded
	case OwnedSlots:
		return b.scan(now, ticket, false), ReasonOwnedSlot
	default:
		return b.twoChoices(now, ticket)
	}
}

// twoChoices takes the less loaded of two random candidates, or the least loaded of all when both
// are full.
func (b *Balancer) twoChoices(now time.Time, ticket *Ticket) (int, string) {
	first := b.randomCandidate(now, ticket)
	second := b.randomCandidate(now, ticket)
	if second >= 0 && (first < 0 || b.load(second) < b.load(first)) {
		first = second
	}
	if first >= 0 && b.hasRoom(first) {
		return first, ReasonTwoChoices
	}
	return b.scan(now, ticket, false), ReasonFullScan
}

// randomCandidate returns a candidate at a random place, or -1 after a few misses.
func (b *Balancer) randomCandidate(now time.Time, ticket *Ticket) int {
	const tries = 4
	for range tries {
		i := b.random.IntN(len(b.rows))
		if b.isCandidate(i, now, ticket) {
			return i
		}
	}
	return -1
}

// scan returns the least loaded row that has room, starting at a rotating place so that ties are
// spread. With ejected set it considers ejected instances too.
func (b *Balancer) scan(now time.Time, ticket *Ticket, ejected bool) int {
	best := -1
	b.cursor++
	for k := range b.rows {
		i := (k + b.cursor) % len(b.rows)
		if !b.hasRoom(i) {
			continue
		}
		if ejected && b.rows[i].Leaving || !ejected && !b.isCandidate(i, now, ticket) {
			continue
		}
		if best < 0 || b.load(i) < b.load(best) {
			best = i
		}
	}
	return best
}

// load is what the strategy knows of an instance's load.
func (b *Balancer) load(i int) int {
	if _, ok := b.options.Strategy.(LeastLoaded); ok {
		return b.rows[i].local
	}
	return b.rows[i].local + b.rows[i].remote
}

func (b *Balancer) hasRoom(i int) bool {
	if limit := b.options.Limits.MaxLocal; limit > 0 && b.rows[i].local >= limit {
		return false
	}
	if _, ok := b.options.Strategy.(OwnedSlots); ok {
		return b.rows[i].local < b.rows[i].allowance
	}
	return b.load(i) < b.options.Limits.Slots
}

func (b *Balancer) isCandidate(i int, now time.Time, ticket *Ticket) bool {
	r := &b.rows[i]
	if r.Leaving || slices.Contains(ticket.Tried, r.ID) {
		return false
	}
	return r.health.admits(now, ticket.Idempotent)
}

func (b *Balancer) countCandidates(now time.Time, ticket *Ticket) int {
	n := 0
	for i := range b.rows {
		if b.isCandidate(i, now, ticket) {
			n++
		}
	}
	return n
}

// SetRemote sets the requests that other entries have in flight to each instance.
func (b *Balancer) SetRemote(load func(apfleet.VMID) int) {
	for i := range b.rows {
		b.rows[i].remote = load(b.rows[i].ID)
	}
}

// SetShare bounds this entry's requests in flight, given the demand of every other entry.
func (b *Balancer) SetShare(others []int) {
	slots := b.usable() * b.options.Limits.Slots
	b.share = FairShare(slots, b.Demand(), others)
}

// FairShare returns how many of the slots an entry with the given own demand may use. When the
// demands do not fit, that is the max-min fair share. When they fit, it is the entry's demand and an
// even part of what is left: the entries together never take more than there is, even if demand
// rises at all of them before they hear of each other.
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

// Share is an entry's demand for the service, by which slots are lent.
type Share struct {
	Entry  apfleet.EntryName
	Demand int
}

// SetMembers gives each slot to one of the entries under the strategy OwnedSlots. Slots go to the entries
// in proportion to their fair shares, by weighted rendezvous hash: an entry that needs few lends the rest,
// and entries that know the same demands agree on every slot.
func (b *Balancer) SetMembers(self apfleet.EntryName, shares []Share) {
	if _, ok := b.options.Strategy.(OwnedSlots); !ok {
		return
	}
	b.owners.update(self, shares, b.usable()*b.options.Limits.Slots)
	for i := range b.rows {
		b.rows[i].allowance = b.owners.allowance(b.rows[i].ID, b.options.Limits.Slots)
	}
}
