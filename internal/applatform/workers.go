package applatform

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Workers runs tasks on workers. A task stops unless its lease is renewed.
type Workers interface {
	// Workers lists the workers and their tasks. The reported usage lags behind the actual usage.
	// Errors: PlatformFailed.
	Workers(ctx context.Context) (WorkerList, error)
	// Apply starts, renews, throttles, checkpoints or stops a task. An order may be repeated: a task is never started
	// twice. Errors: NoSuchVM, NoSuchTask, TaskDoesNotFit, PlatformFailed.
	Apply(ctx context.Context, order TaskOrder) error
}

// TaskID identifies one run of a job.
type TaskID string

// Resources is the capacity of a worker, or the usage of a task.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int `cbor:"Processors"`
	// Memory is in bytes.
	Memory       int64 `cbor:"Memory"`
	Accelerators int   `cbor:"Accelerators"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Fits reports whether no amount of r exceeds limit.
func (r Resources) Fits(limit Resources) bool {
	return r.Processors <= limit.Processors && r.Memory <= limit.Memory && r.Accelerators <= limit.Accelerators
}

// TaskVerb is the action that an order requests.
type TaskVerb uint8

// Values of TaskVerb.
const (
	TaskStart TaskVerb = iota + 1
	TaskRenew
	TaskThrottle
	TaskCheckpoint
	TaskStop
)

// TaskOrder requests an action on a task of a worker.
type TaskOrder struct {
	Verb   TaskVerb     `cbor:"Verb"`
	Worker apfleet.VMID `cbor:"Worker"`
	Task   TaskID       `cbor:"Task"`
	// Declared is the declared resource usage of a task to start.
	Declared Resources `cbor:"Declared"`
	// Lease is how long the task may run until its next renewal. It must be positive for TaskStart and TaskRenew.
	Lease time.Duration `cbor:"Lease"`
}

// Check returns BadMessage when a field is missing or out of range.
func (o TaskOrder) Check() error {
	if o.Worker == "" || o.Task == "" || o.Verb < TaskStart || o.Verb > TaskStop {
		return apcode.Errorf(apcode.BadMessage, "task order has no worker, no task or an unknown verb")
	}
	if o.Verb <= TaskRenew && o.Lease <= 0 {
		return apcode.Errorf(apcode.BadMessage, "task %s: the lease must be positive", o.Task)
	}
	return nil
}

// Task is the state of a task on a worker.
type Task struct {
	ID TaskID `cbor:"Task"`
	// Declared is the resource usage declared when the task was started.
	Declared Resources `cbor:"Declared"`
	// Used is the measured usage; it lags behind the actual usage.
	Used         Resources `cbor:"Used"`
	Throttled    bool      `cbor:"Throttled"`
	Checkpointed bool      `cbor:"Checkpointed"`
}

// Worker is the state of a worker and its tasks.
type Worker struct {
	ID       apfleet.VMID `cbor:"Worker"`
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
		if w.ID == "" {
			return apcode.Errorf(apcode.BadMessage, "worker has no name")
		}
	}
	return nil
}
