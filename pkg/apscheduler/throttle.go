package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Throttling thresholds, as ratios of a serving task's latency to its target. Backfill tasks are paused well
// before the target is reached, and get their full pace only well below it.
const (
	throttleAboveRatio = 0.8
	resumeBelowRatio   = 0.4
	fullPacePercent    = 100
	// paceStep is by how many percent the pace rises each paceInterval between the two ratios.
	paceStep     = 20
	paceInterval = time.Second
	// paceLimitTime is how long a pace that was too much isn't tried again.
	paceLimitTime = 10 * time.Second
	// paceCheckDelay is how long a pace order takes at most to show in a report.
	paceCheckDelay = 1500 * time.Millisecond
)

// pacing is the pace of a backfill run. The zero value is full pace, with which a run starts.
type pacing struct {
	// withheld is by how many percent the ordered pace is below fullPacePercent.
	withheld int
	// unknown means that an earlier owner may have ordered another pace.
	unknown bool
	// orderedAt is when the last pace was ordered.
	orderedAt time.Time
	// tooMuch is the pace at which the run was last paused, which isn't tried again before limitEnds.
	tooMuch   int
	limitEnds time.Time
}

func (p *pacing) percent() int { return fullPacePercent - p.withheld }

// next returns the pace for a ratio of latency to target. Between the thresholds the pace rises in steps, so that a run goes on
// beside a serving task whose latency stays there without it.
func (p *pacing) next(latencyRatio float64, now time.Time) int {
	percent := p.percent()
	switch {
	case latencyRatio >= throttleAboveRatio:
		return 0
	case latencyRatio <= resumeBelowRatio:
		return fullPacePercent
	case now.Sub(p.orderedAt) < paceInterval:
		return percent
	}
	limit := fullPacePercent
	if now.Before(p.limitEnds) {
		limit = p.tooMuch - paceStep
	}
	return max(percent, min(percent+paceStep, limit))
}

// set records that a pace is ordered.
func (p *pacing) set(percent int, now time.Time) {
	if percent == 0 && p.percent() > 0 {
		p.tooMuch, p.limitEnds = p.percent(), now.Add(paceLimitTime)
	}
	p.withheld, p.unknown, p.orderedAt = fullPacePercent-percent, false, now
}

// latencyConflict reports whether a task of the step would share the worker with a task it conflicts with: one
// is a backfill task, which uses all idle CPU, and the other has a latency target.
func (s *Shard) latencyConflict(step *apjob.Step, w *worker) bool {
	if !step.Backfill && step.LatencyTarget == 0 {
		return false
	}
	for run := range w.occupants {
		_, other := s.task(run.Task)
		if other != nil && (step.Backfill && other.LatencyTarget > 0 || step.LatencyTarget > 0 && other.Backfill) {
			return true
		}
	}
	return false
}

// countBackfill counts the backfill tasks on a worker.
func (s *Shard) countBackfill(w *worker) int {
	n := 0
	for run := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.Backfill {
			n++
		}
	}
	return n
}

// throttleBackfill sets the pace of backfill tasks by the latency of the serving tasks on their workers.
func (s *Shard) throttleBackfill(now time.Time) {
	if len(s.backfill) == 0 {
		return
	}
	for _, w := range s.workers {
		latencyRatio := s.servingLatencyRatio(w)
		for run, o := range w.occupants {
			_, step := s.task(run.Task)
			if step == nil || !step.Backfill || o.phase != phaseRunning {
				continue
			}
			percent := o.pace.next(latencyRatio, now)
			if percent != o.pace.percent() || o.pace.unknown || o.paceNotInEffect(now) {
				s.setPace(w, run, o, percent, latencyRatio, now)
			}
		}
	}
}

// paceNotInEffect reports whether a run works although it was paused, or the reverse, for longer than its order may take. The
// order may have been lost, or an earlier one carried out late.
func (o *occupant) paceNotInEffect(now time.Time) bool {
	since := o.startedAt
	if o.pace.orderedAt.After(since) {
		since = o.pace.orderedAt
	}
	return now.Sub(since) >= paceCheckDelay && (o.usage > 0) != (o.pace.percent() > 0)
}

// servingLatencyRatio returns the highest ratio of latency to target among the serving tasks on a worker.
func (s *Shard) servingLatencyRatio(w *worker) float64 {
	ratio := 0.0
	for run, o := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.LatencyTarget > 0 {
			ratio = max(ratio, o.usage*float64(time.Millisecond)/float64(step.LatencyTarget))
		}
	}
	return ratio
}

// setPace queues an order that sets a run's pace in percent; 0 pauses the run.
func (s *Shard) setPace(w *worker, run apjob.RunKey, o *occupant, percent int, latencyRatio float64, now time.Time) {
	o.pace.set(percent, now)
	s.pendingPaces = append(s.pendingPaces, Pace{To: w.target(), Order: apworker.PaceOrder{Run: run, Percent: percent, Fence: s.Fence(w.info.ID)}})
	s.logEvent("TaskPaced", run, w.info.ID, map[string]any{"Percent": percent, "Latency": latencyRatio, "Usage": o.usage})
}
