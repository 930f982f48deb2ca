// Package apworker is the interface to workers: orders, which carry a fencing token, and reports of running and
// ended runs.
package apworker

import (
	"context"
	"net/netip"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// Client sends orders to workers. Every error has a result code: WorkerSilent means that the order may still be
// carried out, StaleFence that another owner has taken over, and any other code marked as not run that the order
// had no effect.
type Client interface {
	// Start starts a run. It also succeeds if the worker already has that run.
	// Errors: StaleFence, StaleRun, OrderLate, TaskDoesNotFit, BadTicket, BadJob, WorkerChanged, WorkerGone,
	// WorkerRefused, WorkerSilent, PermitExpired.
	Start(ctx context.Context, to Target, order StartOrder) (Reply, error)
	// Stop stops a run. A run that the worker doesn't have yet can't start afterwards. Errors: as for Start.
	Stop(ctx context.Context, to Target, order StopOrder) (Reply, error)
	// Poll extends the lease of all runs on the worker, acknowledges run ends and returns a report.
	// Errors: StaleFence, WorkerChanged, WorkerGone, WorkerRefused, WorkerSilent, PermitExpired.
	Poll(ctx context.Context, to Target, order PollOrder) (Report, error)
	// Pace sets the speed of a run as a percentage of full speed. Errors: as for Start.
	Pace(ctx context.Context, to Target, order PaceOrder) (Reply, error)
}

// Target is the worker to which an order is addressed.
type Target struct {
	ID      apjob.WorkerID
	Address netip.AddrPort
}

// Info is the registration of a worker.
type Info struct {
	ID         apjob.WorkerID
	Service    apfleet.ServiceName
	Address    netip.AddrPort
	DataCentre apfleet.DataCentre
	Rack       apfleet.Rack
	Labels     []string
	// Capacity is the total of the worker's resources, in use or not.
	Capacity apjob.Resources
	// Draining means that the worker has announced that it will stop: it gets no new runs, and its long-running tasks
	// are moved without regard to MaxUnavailable.
	Draining bool
	// StartedAt is when the worker started. It tells incarnations with the same ID apart.
	StartedAt time.Time
}

// StartOrder starts a run.
type StartOrder struct {
	Run  apjob.RunKey
	Spec string
	// Deadline is the end of the lease, on the worker's clock.
	Deadline   time.Duration
	Fence      uint64
	Checkpoint string
	// Ticket is required if the queue has an advisor.
	Ticket string
}

// StopOrder stops a run.
type StopOrder struct {
	Run   apjob.RunKey
	Fence uint64
}

// PaceOrder sets the speed of a run: 0 percent pauses it, 100 percent is full speed.
type PaceOrder struct {
	Run     apjob.RunKey
	Percent int
	Fence   uint64
}

// PollOrder asks for a report, as in Poll.
type PollOrder struct {
	// Deadline is the new end of the lease, on the worker's clock; 0 doesn't extend it.
	Deadline time.Duration
	Fence    uint64
	// AckedEnd acknowledges the run ends up to this number, which are stored.
	AckedEnd uint64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// Reply is the answer to an order.
type Reply struct {
	// Clock is the reading of the worker's clock; 0 if the answer didn't contain it.
	Clock time.Duration
}

// Report is a worker's report of its runs.
type Report struct {
	Clock time.Duration
	// StartedAt is when the worker started, as in Info; it may be the zero time.
	StartedAt time.Time
	Running   []RunStatus
	// Ends lists the run ends that are not acknowledged yet, in ascending order of their numbers.
	Ends []RunEnd
	// EndsIncomplete means that there may be further ends, which a later report lists.
	EndsIncomplete bool
}

// RunStatus is the status of a run that has not ended.
type RunStatus struct {
	Run        apjob.RunKey
	Checkpoint string
	// Percent is the progress of the run. For a long-running task, 100 means that it is up and working.
	Percent int
	// Usage is the recent tail latency in milliseconds of a serving task. For other tasks it is the CPU usage in
	// thousandths of a core.
	Usage float64
}

// EndReason is the reason why a run ended.
type EndReason uint8

// Reasons why a run ends. EndLapsed means that the lease expired or that the worker itself ended. Only EndFailed
// counts as a failed attempt.
const (
	EndUnknown EndReason = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
	EndBroken
	EndAlone
)

// String returns the name of r.
func (r EndReason) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}
	if int(r) >= len(names) {
		return "Unknown"
	}
	return names[r]
}

// RunEnd is the end of a run.
type RunEnd struct {
	// Number is the sequence number of the end, counted from 1 in each incarnation of the worker.
	Number     uint64
	Run        apjob.RunKey
	Reason     EndReason
	Checkpoint string
}
