package apscheduler

import (
	"cmp"
	"slices"
	"time"

	"auburnport/pkg/apjob"
)

const (
	// withholdTime is how long the workers that are quarantined, or reserved for a step, are withheld from a waiting step that
	// could run on no other.
	withholdTime = 1500 * time.Millisecond
	// maxWithholdTime is how long they are withheld from a step that could run on others once these have room, unless the pool is
	// contended. It is below the time in which callers expect a task to be placed.
	maxWithholdTime = 2 * time.Second
	// reserveTime is how long workers are reserved for a step that can't be placed. Then there is a pause of reservePause.
	reserveTime  = 10 * time.Second
	reservePause = 500 * time.Millisecond
)

// workerPool holds the workers on which one Plan may place tasks.
type workerPool struct {
	// open workers may get any task.
	open []*worker
	// withheld workers are quarantined or reserved. They get only tasks that have waited longer than withholdTime or
	// maxWithholdTime and could run on no open worker now.
	withheld []*worker
	// used and capacity are summed over all workers in touch at the start of the Plan.
	used, capacity apjob.Resources
	// reservedSince is when the steps that had reservations in the last Plan got them.
	reservedSince map[apjob.StepID]time.Time
	// unplaceable and unplaceableWithheld refer to the workers that were open and withheld at the start of the Plan.
	unplaceable         unplaceableNeeds
	unplaceableWithheld unplaceableNeeds
	// placeableLater caches needs that fit on an open worker once its shorter tasks have ended.
	placeableLater []apjob.Resources
}

// newPool returns the workers that may get new runs now, sorted by ID, with the quarantined ones withheld. Workers with
// runs of unknown size or in their delay after a refused start are left out.
func (s *Shard) newPool(now time.Time) *workerPool {
	all := s.workersByID()
	pool := &workerPool{open: make([]*worker, 0, len(all)), reservedSince: s.reservedSince}
	s.reservedSince = make(map[apjob.StepID]time.Time)
	for _, w := range all {
		if !s.inTouch(w, now) {
			continue
		}
		pool.used, pool.capacity = pool.used.Add(w.used), pool.capacity.Add(w.info.Capacity)
		if w.unknownRuns > 0 || now.Before(w.retryAt) {
			continue
		}
		if w.health.quarantined(now) {
			pool.withheld = append(pool.withheld, w)
			continue
		}
		pool.open = append(pool.open, w)
	}
	pool.unplaceable.workers, pool.unplaceableWithheld.workers = pool.open, pool.withheld
	return pool
}

// mayFit reports whether a task of a step may fit on a worker of the pool now: on an open one, or on a withheld one if the step
// may come to need that.
func (s *Shard) mayFit(pool *workerPool, j *job, step *apjob.Step) bool {
	need := step.Reserved()
	if pool.unplaceable.fitsAny(need) {
		return true
	}
	if !pool.unplaceableWithheld.fitsAny(need) {
		return false
	}
	if step.LongRunning || step.Gang || step.Label != "" || step.MaxPerWorker > 0 || s.needsTicket(j) || !pool.contended(need) {
		return true
	}
	if slices.ContainsFunc(pool.placeableLater, func(larger apjob.Resources) bool { return larger.Fits(need) }) {
		return false
	}
	if s.fitLater(&search{step: step}, pool.open, 1) {
		pool.placeableLater = append(pool.placeableLater, need)
		return false
	}
	return true
}

// empty reports whether the pool has no workers.
func (p *workerPool) empty() bool { return len(p.open)+len(p.withheld) == 0 }

// contended reports whether half of a resource that a task needs, or more, is in use. Room comes soon then, as many tasks end.
func (p *workerPool) contended(need apjob.Resources) bool {
	return need.CPU > 0 && 2*p.used.CPU >= p.capacity.CPU ||
		need.Memory > 0 && 2*p.used.Memory >= p.capacity.Memory ||
		need.GPU > 0 && 2*p.used.GPU >= p.capacity.GPU
}

// possibleWorkers returns the workers from which those for a step are chosen: the open ones, and if these can't run its
// next tasks now, after a while also the withheld ones. A short step in a contended pool gets these only if the open workers
// can't run it even once their shorter tasks have ended. Elsewhere these may take longer than callers wait. Workers that the advisor
// has denied the step are left out.
func (s *Shard) possibleWorkers(q *search, pool *workerPool, now time.Time) []*worker {
	open := s.withoutDenied(q.id, pool.open)
	missing := 1
	if q.step.Gang {
		missing = q.step.Count
	}
	waited := now.Sub(q.waitsSince)
	if len(pool.withheld) == 0 || waited < withholdTime {
		return open
	}
	if s.fitLater(q, open, missing) {
		mayWait := waited < maxWithholdTime || !q.step.LongRunning && pool.contended(q.step.Reserved())
		if mayWait || fitNow(q, open, missing) {
			return open
		}
	}
	return slices.Concat(open, s.withoutDenied(q.id, pool.withheld))
}

// fitNow reports whether workers could run a number of tasks of the step now.
func fitNow(q *search, workers []*worker, missing int) bool {
	for i := 0; i < len(workers) && missing > 0; i++ {
		missing -= q.countIn(workers[i].info.Capacity.Sub(workers[i].used), workers[i])
	}
	return missing <= 0
}

// fitLater reports whether workers could run a number of tasks of the step once all but their long-running tasks have ended.
func (s *Shard) fitLater(q *search, workers []*worker, missing int) bool {
	for i := 0; i < len(workers) && missing > 0; i++ {
		missing -= s.countLater(q, workers[i])
	}
	return missing <= 0
}

// reserve keeps workers for a step that has waited for room, unless the reservation makes its pause.
func (s *Shard) reserve(pool *workerPool, id apjob.StepID, workers []*worker, now time.Time) {
	since, known := pool.reservedSince[id]
	if !known {
		since = now
	}
	s.reservedSince[id] = since
	if now.Sub(since)%(reserveTime+reservePause) >= reserveTime {
		return
	}
	for _, w := range workers {
		pool.open = without(pool.open, w)
		pool.withheld = append(pool.withheld, w)
	}
}

// reserveWorkers reserves workers for the step of a candidate that found no room.
func (s *Shard) reserveWorkers(pool *workerPool, c *candidate, now time.Time) {
	if c.urgency != urgencyStarvedGang && c.urgency != urgencyLongRunning {
		return
	}
	step := &c.job.def.Steps[c.step]
	q := &search{id: c.id(), step: step, placement: s.placementOf(c.job, c.occurrence, c.step, c.job.occurrence(c.occurrence).Steps[c.step])}
	possible := s.withoutDenied(q.id, pool.open)
	switch {
	case c.urgency == urgencyStarvedGang, c.urgency == urgencyLongRunning && step.Gang:
		s.reserve(pool, q.id, s.gangWorkers(q, possible), now)
	case c.urgency == urgencyLongRunning:
		if w := s.mostFreeWorker(q, possible); w != nil {
			s.reserve(pool, q.id, []*worker{w}, now)
		}
	default:
	}
}

// gangWorkers returns the workers to reserve for a gang: as many as it needs once the shorter tasks on them have
// ended, those with the most free CPU first. It returns none if all of them together are too small.
func (s *Shard) gangWorkers(q *search, possible []*worker) []*worker {
	byRoom := slices.Clone(possible)
	slices.SortFunc(byRoom, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.used.CPU-a.info.Capacity.CPU, b.used.CPU-b.info.Capacity.CPU), cmp.Compare(a.info.ID, b.info.ID))
	})
	var reserved []*worker
	missing := q.step.Count
	for i := 0; i < len(byRoom) && missing > 0; i++ {
		if n := s.countLater(q, byRoom[i]); n > 0 {
			missing -= n
			reserved = append(reserved, byRoom[i])
		}
	}
	if missing > 0 {
		return nil
	}
	return reserved
}

// mostFreeWorker returns the worker with the most free CPU among those that could take a task of the step once
// their shorter tasks have ended, or nil. Keeping smaller tasks off that worker lets enough capacity become free for the task.
func (s *Shard) mostFreeWorker(q *search, possible []*worker) *worker {
	var best *worker
	for _, w := range possible {
		if s.countLater(q, w) == 0 {
			continue
		}
		if best == nil || w.info.Capacity.CPU-w.used.CPU > best.info.Capacity.CPU-best.used.CPU {
			best = w
		}
	}
	return best
}

// without returns the workers except w.
func without(workers []*worker, w *worker) []*worker {
	i := slices.Index(workers, w)
	if i < 0 {
		return workers
	}
	return slices.Concat(workers[:i], workers[i+1:])
}
