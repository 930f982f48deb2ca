package applatform

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Workers runs tasks under leases.
type Workers interface {
	// Workers lists the workers with their tasks; the usage of tasks lags.
	// Errors: PlatformFailed.
	Workers(ctx context.Context) (WorkerList, error)
	// Apply starts, renews, throttles, checkpoints or stops a task. Each order may be repeated: a task
	// starts once. Errors: NoSuchVM, NoSuchTask, TaskDoesNotFit, PlatformFailed.
	Apply(ctx context.Context, order TaskOrder) error
}

// TaskID names one run of a job.
type TaskID string

// Resources are what a worker has or a task takes.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int `cbor:"Processors"`
	// Memory is in bytes.
	Memory       int64 `cbor:"Memory"`
	Accelerators int   `cbor:"Accelerators"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Fits reports whether r is within limit.
func (r Resources) Fits(limit Resources) bool {
	return r.Processors <= limit.Processors && r.Memory <= limit.Memory && r.Accelerators <= limit.Accelerators
}

// TaskVerb is what an order does to a task.
type TaskVerb uint8

// Verbs of orders.
const (
	TaskStart TaskVerb = iota + 1
	TaskRenew
	TaskThrottle
	TaskCheckpoint
	TaskStop
)

// TaskOrder is an order to a worker.
type TaskOrder struct {
	Verb   TaskVerb     `cbor:"Verb"`
	Worker apfleet.VMID `cbor:"Worker"`
	Task   TaskID       `cbor:"Task"`
	// Declared is what a task that starts is declared to take.
	Declared Resources `cbor:"Declared"`
	// Lease is how long a task runs without a renewal; it is positive in orders to start and renew.
	Lease time.Duration `cbor:"Lease"`
}

// Check returns BadMessage when a field is missing or out of range.
func (o TaskOrder) Check() error {
	if o.Worker == "" || o.Task == "" || o.Verb < TaskStart || o.Verb > TaskStop {
		return apcode.Errorf(apcode.BadMessage, "order without a worker, a task or a known verb")
	}
	if o.Verb <= TaskRenew && o.Lease <= 0 {
		return apcode.Errorf(apcode.BadMessage, "task %s: the lease must be positive", o.Task)
	}
	return nil
}

// Task is a task on a worker.
type Task struct {
	Task     TaskID    `cbor:"Task"`
	Declared Resources `cbor:"Declared"`
	// Used is what the task was seen to take a while ago.
	Used         Resources `cbor:"Used"`
	Throttled    bool      `cbor:"Throttled"`
	Checkpointed bool      `cbor:"Checkpointed"`
}

// Worker is a worker with its tasks.
type Worker struct {
	Worker   apfleet.VMID `cbor:"Worker"`
	Rack     apfleet.Rack `cbor:"Rack"`
	Capacity Resources    `cbor:"Capacity"`
	Tasks    []Task       `cbor:"Tasks"`
}

// WorkerList is the list of workers.
type WorkerList struct {
	Workers []Worker `cbor:"Workers"`
}

// Check returns BadMessage for a worker without a name.
func (l WorkerList) Check() error {
	for _, w := range l.Workers {
		if w.Worker == "" {
			return apcode.Errorf(apcode.BadMessage, "worker without a name")
		}
	}
	return nil
}
