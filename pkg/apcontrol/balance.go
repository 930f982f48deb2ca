package apcontrol

import (
	"math"
	"time"

	"auburnport/pkg/apfleet"
)

// Policy decides moves between pools: Static, Reactive or Planned.
type Policy interface{ policy() }

// Static never moves a VM.
type Static struct{}

// Reactive moves a VM to each pool above a threshold of utilisation from the one least used.
type Reactive struct{}

// Planned moves a VM when the refusals that it would have avoided so far outweigh the move.
type Planned struct{}

func (Static) policy()   {}
func (Reactive) policy() {}
func (Planned) policy()  {}

// BalanceOptions tune the policies.
type BalanceOptions struct {
	// Utilisation is the share of slots that a pool is planned to use.
	Utilisation float64
	// HighWater and LowWater are the thresholds of the policy Reactive.
	HighWater, LowWater float64
	// ShortfallWeight is the cost of one VM's worth of refused demand for an hour.
	ShortfallWeight float64
	// MoveTime is how long a moved VM serves nobody, until stops have been observed.
	MoveTime time.Duration
	// MaxOpenMoves bounds the moves under way.
	MaxOpenMoves int
}

// DefaultBalanceOptions returns the default tuning.
func DefaultBalanceOptions() BalanceOptions {
	return BalanceOptions{
		Utilisation:     0.9,
		HighWater:       0.9,
		LowWater:        0.5,
		ShortfallWeight: 2000,
		MoveTime:        2 * time.Second,
		MaxOpenMoves:    16,
	}
}

// PoolLoad is what the policies see of a pool.
type PoolLoad struct {
	Pool apfleet.PoolName
	// Available counts the VMs that serve; Arriving those that are on their way to the pool.
	Available, Arriving int
	// Removable is how many VMs the budget lets go now.
	Removable int
	// Need is the number of VMs that the demand occupies, not rounded.
	Need       float64
	Spare      bool
	MoveWeight float64
	// ExpectedTurn stands for the mean length of spells before the first has ended.
	ExpectedTurn time.Duration
}

// Transfer is a decision to move one VM from one pool to another.
type Transfer struct {
	From, To apfleet.PoolName
	Reason   string
}

// Balancer plans transfers. It remembers how long each pool has been short.
type Balancer struct {
	options BalanceOptions
	// owed is the cost of each pool's shortfall that no move has answered yet.
	owed   map[apfleet.PoolName]float64
	last   time.Time
	spells spells
}

// NewBalancer returns a Balancer without memory.
func NewBalancer(options BalanceOptions) *Balancer {
	return &Balancer{options: options, owed: make(map[apfleet.PoolName]float64), spells: newSpells()}
}

// Plan returns the transfers of one tick.
func (b *Balancer) Plan(now time.Time, policy Policy, pools []PoolLoad, openMoves int) []Transfer {
	elapsed := time.Duration(0)
	if !b.last.IsZero() {
		elapsed = now.Sub(b.last)
	}
	b.last = now
	loads := append([]PoolLoad(nil), pools...)
	budget := b.options.MaxOpenMoves - openMoves
	switch policy.(type) {
	case Reactive:
		return b.reactive(loads, budget)
	case Planned:
		return b.planned(now, elapsed, loads, budget)
	default:
		return nil
	}
}

// reactive moves one VM a tick to each pool above the high threshold from one below the low one.
func (b *Balancer) reactive(loads []PoolLoad, budget int) []Transfer {
	var transfers []Transfer
	for i := range loads {
		size := float64(loads[i].Available + loads[i].Arriving)
		if budget <= len(transfers) || loads[i].Need <= b.options.HighWater*size {
			continue
		}
		from := b.leastUsed(loads, i)
		if from < 0 {
			continue
		}
		transfers = append(transfers, transfer(loads, from, i, "Reactive"))
	}
	return transfers
}

func (b *Balancer) leastUsed(loads []PoolLoad, to int) int {
	best := -1
	bestUse := b.options.LowWater
	for i := range loads {
		if i == to || loads[i].Removable == 0 || loads[i].Available == 0 {
			continue
		}
		if use := loads[i].Need / float64(loads[i].Available); use < bestUse {
			best, bestUse = i, use
		}
	}
	return best
}

// planned lets each pool's shortfall add up to a cost, and pays for one move whenever that cost
// reaches the cost of a move. A pool that is short for only a moment moves nothing, nor does one whose
// demand is expected to end before the move has paid.
func (b *Balancer) planned(now time.Time, elapsed time.Duration, loads []PoolLoad, budget int) []Transfer {
	var transfers []Transfer
	for i := range loads {
		short := b.shortfall(loads[i])
		b.spells.observe(now, loads[i], b.options.Utilisation)
		if short <= 0 {
			b.owed[loads[i].Pool] = 0
			continue
		}
		b.owed[loads[i].Pool] += short * elapsed.Hours() * b.options.ShortfallWeight
		if !b.pays(now, loads[i]) {
			continue
		}
		wanted := int(math.Ceil(short))
		for wanted > 0 && len(transfers) < budget && b.owed[loads[i].Pool] >= loads[i].MoveWeight {
			from := b.donor(loads, i)
			if from < 0 {
				break
			}
			transfers = append(transfers, transfer(loads, from, i, "Planned"))
			b.owed[loads[i].Pool] -= loads[i].MoveWeight
			wanted--
		}
	}
	return transfers
}

// ObserveStop learns how long a VM serves nobody when it is drained and restarted.
func (b *Balancer) ObserveStop(length time.Duration) {
	b.options.MoveTime += (length - b.options.MoveTime) / stopWeight
}

// pays reports whether a move to a pool is expected to pay. The VM serves nobody during the move, and the
// pool that gave it lacks it for as long when its own turn comes.
func (b *Balancer) pays(now time.Time, load PoolLoad) bool {
	useful := b.spells.remaining(now, load) - 2*b.options.MoveTime
	return useful.Hours()*b.options.ShortfallWeight >= load.MoveWeight
}

// shortfall is how many VMs a pool lacks.
func (b *Balancer) shortfall(load PoolLoad) float64 {
	return load.Need/b.options.Utilisation - float64(load.Available+load.Arriving)
}

// donor returns the pool with the greatest surplus, a spare pool before others, or -1.
func (b *Balancer) donor(loads []PoolLoad, to int) int {
	best := -1
	bestSurplus := 1.0
	for i := range loads {
		surplus := -b.shortfall(loads[i])
		if i == to || loads[i].Removable == 0 || surplus < 1 {
			continue
		}
		if loads[i].Spare {
			surplus += spareAdvantage
		}
		if surplus >= bestSurplus {
			best, bestSurplus = i, surplus
		}
	}
	return best
}

const (
	spareAdvantage = 1000
	// stopWeight is the inverse weight of the newest stop in the moving average.
	stopWeight = 8
)

// transfer applies a move to the loads, so that the next decision of the tick sees it.
func transfer(loads []PoolLoad, from, to int, reason string) Transfer {
	loads[from].Available--
	loads[from].Removable--
	loads[to].Arriving++
	return Transfer{From: loads[from].Pool, To: loads[to].Pool, Reason: reason}
}
