package apscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apscheduler"
)

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: start, shard: apscheduler.New(1)}
	queue := apscheduler.Queue{MaxAttempts: 1000, Stretch: 2, Slack: time.Second}
	w.shard.SetQueues(map[apjob.Queue]apscheduler.Queue{"q": queue, advised: {MaxAttempts: 1000, Stretch: 2, Slack: time.Second, NeedsTicket: true}})
	for n := range 2 + w.random.IntN(7) {
		w.workers = append(w.workers, w.drawWorker(n))
	}
	for n := range 3 + w.random.IntN(10) {
		w.jobs = append(w.jobs, w.drawJob(n))
	}
	if w.chance(0.3) {
		w.cordoned = w.workers[w.random.IntN(len(w.workers))].info.ID
		w.cordonFrom = start.Add(w.between(0, worldLength))
		w.cordonTo = w.cordonFrom.Add(w.between(time.Second, 8*time.Second))
	}
	return w
}

func (w *world) drawWorker(n int) *drawnWorker {
	info := workerInfo(apjob.WorkerID(fmt.Sprintf("w%d", n)), 4000*int64(1+w.random.IntN(3)))
	info.Rack = apfleet.Rack(fmt.Sprintf("r%d", w.random.IntN(3)))
	info.Labels = []string{[]string{"a", "a", "b"}[w.random.IntN(3)], string(info.Rack)}
	info.Capacity.GPU = int64(w.random.IntN(3))
	d := &drawnWorker{info: info, runs: make(map[apjob.RunKey]*drawnRun), failing: 0.05}
	if w.chance(0.15) {
		d.failing = 0.8
	}
	if w.chance(0.15) {
		d.drainFrom = start.Add(w.between(0, worldLength))
	}
	if w.chance(0.2) {
		d.silentFrom = start.Add(w.between(0, worldLength))
		d.silentTo = d.silentFrom.Add([]time.Duration{time.Second, 9 * time.Second}[w.random.IntN(2)])
	}
	d.info.StartedAt, d.registered = start, d.info
	if w.chance(0.2) {
		d.rebornAt = start.Add(w.between(0, worldLength))
		d.next = d.info
		d.next.StartedAt = d.rebornAt
		d.next.Capacity.CPU = 4000 * int64(1+w.random.IntN(3))
		d.next.Labels = []string{[]string{"a", "b"}[w.random.IntN(2)], string(info.Rack)}
	}
	return d
}

func (w *world) drawJob(n int) *drawnJob {
	j := &drawnJob{
		def:      &apjob.Job{ID: apjob.ID(fmt.Sprintf("%016x", n)), Queue: "q", Submitted: start},
		submitAt: start.Add(w.between(0, worldLength/2)), lastFor: w.between(200*time.Millisecond, 5*time.Second),
		denied: make(map[apjob.WorkerID]bool), onTask: make(map[apjob.TaskID]apjob.WorkerID),
		done: make(map[apjob.TaskID]bool), waiting: make(map[apjob.TaskID]time.Time), waitingFree: make(map[apjob.TaskID]time.Time),
	}
	if w.chance(0.1) {
		j.lastFor = worldLength
	}
	if w.chance(0.3) {
		j.def.Queue = advised
		for _, d := range w.workers {
			j.denied[d.info.ID] = w.chance(0.6)
		}
	}
	for n := range 1 + w.random.IntN(2) {
		step := apjob.Step{Count: 1 + w.random.IntN(3), Need: apjob.Resources{CPU: 1000 * int64(1+w.random.IntN(6)), Memory: 4000}, Estimate: j.lastFor}
		if n > 0 {
			step.After = []int{0}
		}
		w.drawKind(&step)
		j.def.Steps = append(j.def.Steps, step)
	}
	return j
}

func (w *world) drawKind(step *apjob.Step) {
	if w.chance(0.25) {
		step.Label = []string{"a", "b"}[w.random.IntN(2)]
	}
	if w.chance(0.15) {
		step.Need.GPU = 1
	}
	if w.chance(0.25) {
		step.MaxPerWorker = 1
	}
	step.SameRack, step.DataRack = w.chance(0.1), []string{"", "r1"}[w.random.IntN(2)]
	switch w.random.IntN(8) {
	case 0, 1:
		step.LongRunning, step.LatencyTarget, step.MaxUnavailable = true, 100*time.Millisecond, 1
	case 2:
		step.LongRunning = true
	case 3, 4:
		step.Backfill = true
	case 5:
		step.Gang = true
	default:
	}
}
