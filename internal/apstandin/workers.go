package apstandin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Workers runs tasks under leases in memory. It implements applatform.Workers. A task takes UsageFactor
// times what it declares, and its usage is seen after UsageLag.
type Workers struct {
	options WorkerOptions

	mu   sync.Mutex
	rows map[apfleet.VMID]*worker
}

// WorkerOptions configure Workers.
type WorkerOptions struct {
	UsageFactor float64
	UsageLag    time.Duration
}

type worker struct {
	applatform.Worker
	tasks map[applatform.TaskID]*task
	// failing workers fail every task that they start.
	failing bool
}

type task struct {
	applatform.Task
	started, expires time.Time
}

// NewWorkers returns workers without tasks.
func NewWorkers(options WorkerOptions, workers []applatform.Worker) *Workers {
	w := &Workers{options: options, rows: make(map[apfleet.VMID]*worker)}
	for _, row := range workers {
		w.rows[row.Worker] = &worker{Worker: row, tasks: make(map[applatform.TaskID]*task)}
	}
	return w
}

// SetFailing makes a worker fail everything that it starts.
func (w *Workers) SetFailing(id apfleet.VMID, failing bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	row, ok := w.rows[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	row.failing = failing
	return nil
}

// Workers implements applatform.Workers.
func (w *Workers) Workers(context.Context) (applatform.WorkerList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list applatform.WorkerList
	for _, row := range w.rows {
		row.expire(now)
		listed := row.Worker
		for _, t := range row.tasks {
			listed.Tasks = append(listed.Tasks, t.seen(now, w.options))
		}
		slices.SortFunc(listed.Tasks, func(a, b applatform.Task) int { return cmp.Compare(a.Task, b.Task) })
		list.Workers = append(list.Workers, listed)
	}
	slices.SortFunc(list.Workers, func(a, b applatform.Worker) int { return cmp.Compare(a.Worker, b.Worker) })
	return list, nil
}

// Apply implements applatform.Workers.
func (w *Workers) Apply(_ context.Context, order applatform.TaskOrder) error {
	if err := order.Check(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	row, ok := w.rows[order.Worker]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", order.Worker)
	}
	now := time.Now()
	row.expire(now)
	found, running := row.tasks[order.Task]
	if order.Verb == applatform.TaskStart && !running {
		return row.start(now, order)
	}
	if !running {
		return apcode.Errorf(apcode.NoSuchTask, "%s on %s", order.Task, order.Worker)
	}
	switch order.Verb {
	case applatform.TaskStart, applatform.TaskRenew:
		found.expires = now.Add(order.Lease)
	case applatform.TaskThrottle:
		found.Throttled = true
	case applatform.TaskCheckpoint:
		found.Checkpointed = true
	case applatform.TaskStop:
		delete(row.tasks, order.Task)
	}
	return nil
}

func (w *worker) start(now time.Time, order applatform.TaskOrder) error {
	if w.failing {
		return apcode.Errorf(apcode.PlatformFailed, "%s fails every task", w.Worker.Worker)
	}
	taken := order.Declared
	for _, t := range w.tasks {
		taken = taken.Add(t.Declared)
	}
	if !taken.Fits(w.Capacity) {
		return apcode.Errorf(apcode.TaskDoesNotFit, "%s on %s", order.Task, w.Worker.Worker)
	}
	w.tasks[order.Task] = &task{
		Task:    applatform.Task{Task: order.Task, Declared: order.Declared},
		started: now, expires: now.Add(order.Lease),
	}
	return nil
}

// expire stops the tasks whose lease has lapsed.
func (w *worker) expire(now time.Time) {
	for id, t := range w.tasks {
		if !now.Before(t.expires) {
			delete(w.tasks, id)
		}
	}
}

// seen returns the task with its usage as it is reported now.
func (t *task) seen(now time.Time, options WorkerOptions) applatform.Task {
	seen := t.Task
	if now.Sub(t.started) < options.UsageLag {
		return seen
	}
	factor := options.UsageFactor
	if t.Throttled {
		factor = min(factor, 1)
	}
	seen.Used = applatform.Resources{
		Processors:   int(factor * float64(t.Declared.Processors)),
		Memory:       int64(factor * float64(t.Declared.Memory)),
		Accelerators: t.Declared.Accelerators,
	}
	return seen
}
