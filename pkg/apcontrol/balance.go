package apcontrol

import (
	"math"
	"time"

	"auburnport/pkg/apfleet"
)

// Policy decides when VMs move between pools: Static, Reactive or Planned.
type Policy interface{ policy() }

// Static never moves a VM.
type Static struct{}

// Reactive moves a VM to each pool whose utilisation is above a threshold, from the least utilised pool.
type Reactive struct{}

// Planned moves a VM to a pool once the cost of the refusals that the VM would have prevented so far exceeds
// the cost of a move.
type Planned struct{}

func (Static) policy()   {}
func (Reactive) policy() {}
func (Planned) policy()  {}

// BalanceOptions configures the policies.
type BalanceOptions struct {
	// Utilisation is the target share of a pool's slots that are in use.
	Utilisation float64
	// HighWater and LowWater are the utilisation thresholds of Reactive: a pool above HighWater receives VMs,
	// and a pool below LowWater gives them.
	HighWater, LowWater float64
	// ShortfallWeight is the cost of refusing one VM's worth of demand for an hour, in the unit of
	// PoolLoad.MoveWeight. At 2000, a shortfall of one VM costs as much as a move of weight 1 after 1.8 s.
	ShortfallWeight float64
	// MoveTime is the initial estimate of how long a moved VM serves no requests. Observed downtimes
	// adjust it.
	MoveTime time.Duration
	// MaxOpenMoves limits the number of moves in progress.
	MaxOpenMoves int
}

// DefaultBalanceOptions returns the default options.
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

// PoolLoad is the input of the policies for one pool.
type PoolLoad struct {
	Pool apfleet.PoolName
	// Available counts the VMs that serve requests, Arriving those that are being moved to the pool.
	Available, Arriving int
	// Removable is how many VMs the availability budget allows to remove now.
	Removable int
	// Need is the fractional number of VMs that the demand would fully occupy.
	Need float64
	// Spare marks a spare pool, which gives VMs before other pools do.
	Spare bool
	// MoveWeight is the cost of moving a VM to the pool.
	MoveWeight float64
	// ExpectedTurn is used as the mean length of shortages until the first one has ended; 0 when unknown.
	ExpectedTurn time.Duration
}

// Transfer is a decision to move one VM from one pool to another.
type Transfer struct {
	From, To apfleet.PoolName
	Reason   string
}

// Balancer plans transfers between pools. It tracks how long each pool has been short of VMs.
type Balancer struct {
	options BalanceOptions
	// shortfallCost is the accumulated cost of each pool's shortfall, less the cost of the moves made for it.
	shortfallCost map[apfleet.PoolName]float64
	lastPlan      time.Time
	shortages     shortageTracker
}

// NewBalancer returns a Balancer without observations.
func NewBalancer(options BalanceOptions) *Balancer {
	return &Balancer{options: options, shortfallCost: make(map[apfleet.PoolName]float64), shortages: newShortageTracker()}
}

// Plan returns the transfers to begin in this tick. openMoves is the number of moves in progress.
func (b *Balancer) Plan(now time.Time, policy Policy, pools []PoolLoad, openMoves int) []Transfer {
	elapsed := time.Duration(0)
	if !b.lastPlan.IsZero() {
		elapsed = now.Sub(b.lastPlan)
	}
	b.lastPlan = now
	loads := append([]PoolLoad(nil), pools...)
	movesLeft := b.options.MaxOpenMoves - openMoves
	switch policy.(type) {
	case Reactive:
		return b.reactive(loads, movesLeft)
	case Planned:
		return b.planned(now, elapsed, loads, movesLeft)
	default:
		return nil
	}
}

// reactive plans at most one transfer per tick to each pool above HighWater, from the least utilised pool
// below LowWater.
func (b *Balancer) reactive(loads []PoolLoad, movesLeft int) []Transfer {
	var transfers []Transfer
	for i := range loads {
		size := float64(loads[i].Available + loads[i].Arriving)
		if movesLeft <= len(transfers) || loads[i].Need <= b.options.HighWater*size {
			continue
		}
		from := b.leastUtilised(loads, i)
		if from < 0 {
			continue
		}
		transfers = append(transfers, applyTransfer(loads, from, i, "Reactive"))
	}
	return transfers
}

// leastUtilised returns the index of the least utilised pool below LowWater that can give a VM, or -1.
func (b *Balancer) leastUtilised(loads []PoolLoad, to int) int {
	best := -1
	bestUtilisation := b.options.LowWater
	for i := range loads {
		if i == to || loads[i].Removable == 0 || loads[i].Available == 0 {
			continue
		}
		if utilisation := loads[i].Need / float64(loads[i].Available); utilisation < bestUtilisation {
			best, bestUtilisation = i, utilisation
		}
	}
	return best
}

// planned accumulates the cost of each pool's shortfall over time and plans a transfer each time that cost
// reaches the cost of a move. So a brief shortfall causes no transfer. Neither does a shortage that is
// expected to end before the move has paid off.
func (b *Balancer) planned(now time.Time, elapsed time.Duration, loads []PoolLoad, movesLeft int) []Transfer {
	var transfers []Transfer
	for i := range loads {
		shortfall := b.shortfall(loads[i])
		b.shortages.observe(now, loads[i], b.options.Utilisation)
		if shortfall <= 0 {
			b.shortfallCost[loads[i].Pool] = 0
			continue
		}
		b.shortfallCost[loads[i].Pool] += shortfall * elapsed.Hours() * b.options.ShortfallWeight
		if !b.moveWorthwhile(now, loads[i]) {
			continue
		}
		wanted := int(math.Ceil(shortfall))
		for wanted > 0 && len(transfers) < movesLeft && b.shortfallCost[loads[i].Pool] >= loads[i].MoveWeight {
			from := b.donor(loads, i)
			if from < 0 {
				break
			}
			transfers = append(transfers, applyTransfer(loads, from, i, "Planned"))
			b.shortfallCost[loads[i].Pool] -= loads[i].MoveWeight
			wanted--
		}
	}
	return transfers
}

// ObserveDowntime updates the estimated move time with the time for which a VM that was drained and
// restarted served no requests.
func (b *Balancer) ObserveDowntime(length time.Duration) {
	b.options.MoveTime += (length - b.options.MoveTime) / downtimeAverageDivisor
}

// moveWorthwhile reports whether a move to a pool is expected to save more than it costs. The move time is
// subtracted twice: the VM serves no requests during the move, and the donor lacks it for the same time
// when its own demand rises and the VM has to move back.
func (b *Balancer) moveWorthwhile(now time.Time, load PoolLoad) bool {
	useful := b.shortages.expectedRemaining(now, load) - 2*b.options.MoveTime
	return useful.Hours()*b.options.ShortfallWeight >= load.MoveWeight
}

// shortfall returns how many VMs a pool lacks; a negative value is a surplus.
func (b *Balancer) shortfall(load PoolLoad) float64 {
	return load.Need/b.options.Utilisation - float64(load.Available+load.Arriving)
}

// donor returns the index of the pool with the largest surplus, or -1 if none can give a VM. Spare pools come
// before others.
func (b *Balancer) donor(loads []PoolLoad, to int) int {
	best := -1
	bestSurplus := 1.0
	for i := range loads {
		surplus := -b.shortfall(loads[i])
		if i == to || loads[i].Removable == 0 || surplus < 1 {
			continue
		}
		if loads[i].Spare {
			surplus += sparePreference
		}
		if surplus >= bestSurplus {
			best, bestSurplus = i, surplus
		}
	}
	return best
}

const (
	// sparePreference is added to the surplus of a spare pool. It exceeds any real difference in surplus.
	sparePreference = 1000
	// downtimeAverageDivisor is the inverse weight of the newest downtime in the moving average.
	downtimeAverageDivisor = 8
)

// applyTransfer returns a transfer and updates the loads, so that later decisions of the same tick take it
// into account.
func applyTransfer(loads []PoolLoad, from, to int, reason string) Transfer {
	loads[from].Available--
	loads[from].Removable--
	loads[to].Arriving++
	return Transfer{From: loads[from].Pool, To: loads[to].Pool, Reason: reason}
}
