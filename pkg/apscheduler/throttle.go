package apscheduler

import (
	"time"

	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
)

// Bounds of throttling, as parts of a serving task's latency target. Backfill tasks stand still well
// before the target is reached, and go on only when there is ample room.
const (
	throttleFrom  = 0.8
	throttleUntil = 0.4
	fullPace      = 100
)

// disturbs reports whether a step's task and one on the worker would disturb each other: one fills the
// processor, the other serves users under a latency target.
func (s *Shard) disturbs(step *apjob.Step, w *worker) bool {
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

// throttle lets backfill tasks stand still beside a serving task whose latency nears its target.
func (s *Shard) throttle() {
	if len(s.backfill) == 0 {
		return
	}
	for _, w := range s.workers {
		load := s.servingLoad(w)
		for run, o := range w.occupants {
			_, step := s.task(run.Task)
			if step == nil || !step.Backfill || o.phase != phaseRunning {
				continue
			}
			switch {
			case load >= throttleFrom && !o.throttled:
				s.pace(w, run, o, 0, load)
			case load <= throttleUntil && o.throttled:
				s.pace(w, run, o, fullPace, load)
			}
		}
	}
}

// servingLoad returns the highest latency on a worker as a part of its target.
func (s *Shard) servingLoad(w *worker) float64 {
	load := 0.0
	for run, o := range w.occupants {
		if _, step := s.task(run.Task); step != nil && step.LatencyTarget > 0 {
			load = max(load, o.usage*float64(time.Millisecond)/float64(step.LatencyTarget))
		}
	}
	return load
}

func (s *Shard) pace(w *worker, run apjob.RunKey, o *occupant, percent int, load float64) {
	o.throttled = percent < fullPace
	s.paces = append(s.paces, Pace{To: w.target(), Order: apworker.PaceOrder{Run: run, Percent: percent, Fence: s.fence}})
	s.log("TaskPaced", run, w.info.ID, map[string]any{"Percent": percent, "Latency": load})
}
