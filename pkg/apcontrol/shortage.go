package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
)

const (
	// shortageEndRatio is the fraction of its peak need below which a shortage has ended.
	shortageEndRatio = 0.5
	// shortageDecliningRatio is the fraction of its peak need below which a shortage counts as about to end.
	shortageDecliningRatio = 0.85
	// shortageAverageWeight is the weight of the newest shortage in the moving average.
	shortageAverageWeight = 0.3
)

// shortageTracker measures how long shortages last, to estimate how long a current one will go on.
type shortageTracker struct {
	active map[apfleet.PoolName]shortage
	// meanLength is the moving average of the lengths of ended shortages; 0 before the first.
	meanLength time.Duration
}

// shortage is a period in which a pool needs more capacity than it had when the period began.
type shortage struct {
	since time.Time
	// peakNeed is the highest need so far, and initialCapacity the need that the pool could serve when the
	// shortage began.
	peakNeed, initialCapacity float64
}

func newShortageTracker() shortageTracker {
	return shortageTracker{active: make(map[apfleet.PoolName]shortage)}
}

// observe begins a shortage when a pool needs more than its capacity. The shortage ends when the need has
// fallen below half of its peak, or below the capacity that the pool had at the beginning. VMs that arrive
// in between do not end it.
func (s *shortageTracker) observe(now time.Time, load PoolLoad, utilisation float64) {
	capacity := float64(load.Available+load.Arriving) * utilisation
	current, active := s.active[load.Pool]
	switch {
	case !active && load.Need > capacity:
		s.active[load.Pool] = shortage{since: now, peakNeed: load.Need, initialCapacity: capacity}
	case active && (load.Need < shortageEndRatio*current.peakNeed || load.Need < current.initialCapacity):
		delete(s.active, load.Pool)
		s.recordLength(now.Sub(current.since))
	case active:
		current.peakNeed = max(current.peakNeed, load.Need)
		s.active[load.Pool] = current
	}
}

// recordLength adds the length of an ended shortage to the moving average. It subtracts fallHalfLife, because
// the smoothed demand takes that long to halve after the real demand has ended.
func (s *shortageTracker) recordLength(length time.Duration) {
	length = max(length-fallHalfLife, 0)
	if s.meanLength == 0 {
		s.meanLength = length
		return
	}
	s.meanLength += time.Duration(shortageAverageWeight * float64(length-s.meanLength))
}

// expectedRemaining estimates how much longer a pool's shortage will last: until it reaches the mean length,
// but at least as long as it has lasted so far. It returns 0 once the need is declining.
func (s *shortageTracker) expectedRemaining(now time.Time, load PoolLoad) time.Duration {
	current, active := s.active[load.Pool]
	if !active || load.Need < shortageDecliningRatio*current.peakNeed {
		return 0
	}
	mean := s.meanLength
	if mean == 0 {
		mean = load.ExpectedTurn
	}
	elapsed := now.Sub(current.since)
	return max(mean-elapsed, elapsed)
}
