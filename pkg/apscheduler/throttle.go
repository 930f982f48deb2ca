package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Throttling thresholds, as ratios of a serving task's latency to its target. Backfill tasks are paused well
// before the target is reached, and resume only well below it.
const (
	throttleAboveRatio = 0.8
	resumeBelowRatio   = 0.4
	fullPacePercent    = 100
)

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

// throttleBackfill pauses backfill tasks on workers where the latency of a serving task approaches its target,
// and resumes them once it has dropped.
func (s *Shard) throttleBackfill() {
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
			switch {
			case latencyRatio >= throttleAboveRatio && !o.throttled:
				s.setPace(w, run, o, 0, latencyRatio)
			case latencyRatio <= resumeBelowRatio && o.throttled:
				s.setPace(w, run, o, fullPacePercent, latencyRatio)
			}
		}
	}
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

// setPace queues an order that sets a run's speed in percent; 0 pauses the run.
func (s *Shard) setPace(w *worker, run apjob.RunKey, o *occupant, percent int, latencyRatio float64) {
	o.throttled = percent < fullPacePercent
	s.pendingPaces = append(s.pendingPaces, Pace{To: w.target(), Order: apworker.PaceOrder{Run: run, Percent: percent, Fence: s.Fence(w.info.ID)}})
	s.logEvent("TaskPaced", run, w.info.ID, map[string]any{"Percent": percent, "Latency": latencyRatio})
}
