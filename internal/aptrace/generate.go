package aptrace

import (
	"fmt"
	"math/rand/v2"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Families returns the names of the generated traces.
func Families() []string { return []string{"Turns", "FalseBurst", "RackLost", "Drift", "Uneven"} }

const (
	pools       = 5
	poolSize    = 10
	peak        = 5.0
	trough      = 0.05
	stepSeconds = 0.2
	noise       = 0.05
)

// Generate returns a trace of a family: the demand of five pools of ten VMs.
func Generate(family string, seed uint64, turn, moveSeconds, moveWeight float64) (Trace, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	t := Trace{
		Name: fmt.Sprintf("%s-%gs-%d", family, turn, seed), StepSeconds: stepSeconds, MoveSeconds: moveSeconds,
		Seconds: 4 * pools * turn,
	}
	for i := range pools {
		pool := Pool{Pool: apfleet.PoolName(fmt.Sprintf("pool-%d", i+1)), Size: poolSize, MinAvailable: 3, MoveWeight: moveWeight}
		pool.Spare = i == pools-1
		t.Pools = append(t.Pools, pool)
	}
	switch family {
	case "Turns":
		t.Demand = turns(random, t.Seconds, func(int) float64 { return turn })
	case "Uneven":
		t.Demand = turns(random, t.Seconds, func(int) float64 { return turn * (0.4 + 1.2*random.Float64()) })
	case "RackLost":
		t.Demand = turns(random, t.Seconds, func(int) float64 { return turn })
		for i := range pools - 1 {
			t.Losses = append(t.Losses, Loss{At: 1.5 * turn, Pool: t.Pools[i].Pool, VMs: 1, Seconds: 2 * turn})
		}
	case "FalseBurst":
		t.Demand = falseBursts(random, t.Seconds, turn)
	case "Drift":
		t.Demand = drift(random, t.Seconds)
	default:
		return t, apcode.Errorf(apcode.BadValue, "trace family %q is none of %v", family, Families())
	}
	return t, nil
}

// turns lets one pool after the other ask for five times its mean and the rest for a twentieth.
func turns(random *rand.Rand, length float64, duration func(int) float64) []Row {
	var rows []Row
	at := 0.0
	for turn := 0; at < length; turn++ {
		end := at + duration(turn)
		for ; at < end; at++ {
			row := Row{At: at}
			for i := range pools {
				level := trough
				if turn%pools == i {
					level = peak
				}
				row.Needs = append(row.Needs, poolSize*level*(1+noise*random.NormFloat64()))
			}
			rows = append(rows, row)
		}
		at = end
	}
	return rows
}

// falseBursts is a steady demand with peaks that last for a second.
func falseBursts(random *rand.Rand, length, every float64) []Row {
	var rows []Row
	next := every
	for at := 0.0; at < length; at++ {
		row := Row{At: at}
		burst := -1
		if at >= next {
			burst = random.IntN(pools)
			next += every * (0.5 + random.Float64())
		}
		for i := range pools {
			level := 0.6
			if i == burst {
				level = peak
			}
			row.Needs = append(row.Needs, poolSize*level*(1+noise*random.NormFloat64()))
		}
		rows = append(rows, row)
	}
	return rows
}

// drift takes demand slowly from one pool to another.
func drift(random *rand.Rand, length float64) []Row {
	var rows []Row
	for at := 0.0; at < length; at++ {
		share := at / length
		row := Row{At: at}
		for i := range pools {
			level := 0.6
			switch i {
			case 0:
				level = 0.2 + 1.6*share
			case 1:
				level = 1.8 - 1.6*share
			}
			row.Needs = append(row.Needs, poolSize*level*(1+noise*random.NormFloat64()))
		}
		rows = append(rows, row)
	}
	return rows
}
