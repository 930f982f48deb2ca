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

// Workers simulates workers that run tasks under leases. It implements applatform.Workers.
type Workers struct {
	options WorkerOptions

	mu      sync.Mutex
	workers map[apfleet.VMID]*simulatedWorker
}

// WorkerOptions configure Workers.
type WorkerOptions struct {
	// UsageFactor is the ratio of the resources that a task uses to those that it declares.
	UsageFactor float64
	// UsageLag is how long after its start a task is reported without usage.
	UsageLag time.Duration
}

type simulatedWorker struct {
	applatform.Worker
	tasks map[applatform.TaskID]*task
	// failing makes every start of a task fail.
	failing bool
}

type task struct {
	applatform.Task
	started, expires time.Time
}

// NewWorkers returns the given workers without tasks.
func NewWorkers(options WorkerOptions, workers []applatform.Worker) *Workers {
	w := &Workers{options: options, workers: make(map[apfleet.VMID]*simulatedWorker)}
	for _, listed := range workers {
		w.workers[listed.ID] = &simulatedWorker{Worker: listed, tasks: make(map[applatform.TaskID]*task)}
	}
	return w
}

// SetFailing sets whether a worker fails every task that it is to start.
func (w *Workers) SetFailing(id apfleet.VMID, failing bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, ok := w.workers[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	worker.failing = failing
	return nil
}

// Workers implements applatform.Workers.
func (w *Workers) Workers(context.Context) (applatform.WorkerList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list applatform.WorkerList
	for _, worker := range w.workers {
		worker.expire(now)
		listed := worker.Worker
		for _, t := range worker.tasks {
			listed.Tasks = append(listed.Tasks, t.reported(now, w.options))
		}
		slices.SortFunc(listed.Tasks, func(a, b applatform.Task) int { return cmp.Compare(a.ID, b.ID) })
		list.Workers = append(list.Workers, listed)
	}
	slices.SortFunc(list.Workers, func(a, b applatform.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// Apply implements applatform.Workers.
func (w *Workers) Apply(_ context.Context, order applatform.TaskOrder) error {
	if err := order.Check(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, ok := w.workers[order.Worker]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", order.Worker)
	}
	now := time.Now()
	worker.expire(now)
	current, running := worker.tasks[order.Task]
	if order.Verb == applatform.TaskStart && !running {
		return worker.start(now, order)
	}
	if !running {
		return apcode.Errorf(apcode.NoSuchTask, "task %s on worker %s", order.Task, order.Worker)
	}
	switch order.Verb {
	case applatform.TaskStart, applatform.TaskRenew:
		current.expires = now.Add(order.Lease)
	case applatform.TaskThrottle:
		current.Throttled = true
	case applatform.TaskCheckpoint:
		current.Checkpointed = true
	case applatform.TaskStop:
		delete(worker.tasks, order.Task)
	}
	return nil
}

func (w *simulatedWorker) start(now time.Time, order applatform.TaskOrder) error {
	if w.failing {
		return apcode.Errorf(apcode.PlatformFailed, "worker %s fails every task (injected fault)", w.ID)
	}
	declared := order.Declared
	for _, t := range w.tasks {
		declared = declared.Add(t.Declared)
	}
	if !declared.Fits(w.Capacity) {
		return apcode.Errorf(apcode.TaskDoesNotFit, "task %s on worker %s", order.Task, w.ID)
	}
	w.tasks[order.Task] = &task{
		Task:    applatform.Task{ID: order.Task, Declared: order.Declared},
		started: now, expires: now.Add(order.Lease),
	}
	return nil
}

// expire removes the tasks whose lease has expired.
func (w *simulatedWorker) expire(now time.Time) {
	for id, t := range w.tasks {
		if !now.Before(t.expires) {
			delete(w.tasks, id)
		}
	}
}

// reported returns the task as Workers lists it at the time now: without usage until UsageLag after its start. A
// throttled task uses no more than it declares.
func (t *task) reported(now time.Time, options WorkerOptions) applatform.Task {
	report := t.Task
	if now.Sub(t.started) < options.UsageLag {
		return report
	}
	factor := options.UsageFactor
	if t.Throttled {
		factor = min(factor, 1)
	}
	report.Used = applatform.Resources{
		Processors:   int(factor * float64(t.Declared.Processors)),
		Memory:       int64(factor * float64(t.Declared.Memory)),
		Accelerators: t.Declared.Accelerators,
	}
	return report
}
