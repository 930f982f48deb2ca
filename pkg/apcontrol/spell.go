package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
)

const (
	// spellEnd is the share of a spell's greatest need below which it has ended.
	spellEnd = 0.5
	// spellFalling is the share of a spell's greatest need below which the spell counts as about to end.
	spellFalling = 0.85
	// spellWeight is the weight of the newest spell in the moving average.
	spellWeight = 0.3
)

// spells learns how long pools ask for more than they hold.
type spells struct {
	active map[apfleet.PoolName]spell
	// mean is the moving average of the lengths of ended spells; 0 before the first.
	mean time.Duration
}

// spell is a time in which a pool asks for more than it held at the beginning.
type spell struct {
	since time.Time
	// peak is the greatest need so far; start is the need that the pool could serve at the beginning.
	peak, start float64
}

func newSpells() spells { return spells{active: make(map[apfleet.PoolName]spell)} }

// observe begins a spell when a pool is short. The spell ends when the need has halved, or when the VMs that
// the pool had at the beginning would do: VMs that arrive meanwhile do not end it.
func (s *spells) observe(now time.Time, load PoolLoad, utilisation float64) {
	holds := float64(load.Available+load.Arriving) * utilisation
	current, active := s.active[load.Pool]
	switch {
	case !active && load.Need > holds:
		s.active[load.Pool] = spell{since: now, peak: load.Need, start: holds}
	case active && (load.Need < spellEnd*current.peak || load.Need < current.start):
		delete(s.active, load.Pool)
		s.learn(now.Sub(current.since))
	case active:
		current.peak = max(current.peak, load.Need)
		s.active[load.Pool] = current
	}
}

// learn takes the length of a spell over. The estimate of demand takes a half-life to halve.
func (s *spells) learn(length time.Duration) {
	length = max(length-fallHalfLife, 0)
	if s.mean == 0 {
		s.mean = length
		return
	}
	s.mean += time.Duration(spellWeight * float64(length-s.mean))
}

// remaining estimates how long a pool's spell goes on: until the mean length, and at least for as long as
// it has lasted. A need that falls has no time left.
func (s *spells) remaining(now time.Time, load PoolLoad) time.Duration {
	current, active := s.active[load.Pool]
	if !active || load.Need < spellFalling*current.peak {
		return 0
	}
	mean := s.mean
	if mean == 0 {
		mean = load.ExpectedTurn
	}
	elapsed := now.Sub(current.since)
	return max(mean-elapsed, elapsed)
}
