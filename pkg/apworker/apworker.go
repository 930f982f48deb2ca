// Package apworker is the interface to workers: orders that carry a fencing token, and reports of
// what runs and what has ended.
package apworker

import (
	"context"
	"net/netip"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

// Client carries orders to workers. Every error has a result code; WorkerSilent means that the order
// may still be carried out, StaleFence that another owner has taken over, and the other codes marked
// as not run that nothing was done.
type Client interface {
	// Start orders a run. It succeeds also when that run is already there.
	// Errors: StaleFence, StaleRun, OrderLate, TaskDoesNotFit, BadTicket, WorkerChanged,
	// WorkerRefused, WorkerSilent.
	Start(ctx context.Context, to Target, order StartOrder) (Reply, error)
	// Stop orders the end of a run; a run that isn't there yet never starts. Errors: as Start.
	Stop(ctx context.Context, to Target, order StopOrder) (Reply, error)
	// Hold extends the lease of everything on the worker, acknowledges ends and returns a report.
	// Errors: StaleFence, WorkerChanged, WorkerRefused, WorkerSilent.
	Hold(ctx context.Context, to Target, order HoldOrder) (Report, error)
	// Pace sets the share at which a run works. Errors: as Start.
	Pace(ctx context.Context, to Target, order PaceOrder) (Reply, error)
}

// Target is the life of a worker that an order is meant for.
type Target struct {
	ID      apjob.WorkerID
	Address netip.AddrPort
}

// Info is what a worker registers of itself.
type Info struct {
	ID      apjob.WorkerID
	Service apfleet.ServiceName
	Address netip.AddrPort
	Centre  apfleet.DataCentre
	Rack    apfleet.Rack
	Labels  []string
	// Capacity is the whole of the worker.
	Capacity apjob.Resources
	Draining bool
	// Born tells lives under one id apart.
	Born time.Time
}

// StartOrder starts a run.
type StartOrder struct {
	Run  apjob.RunKey
	Spec string
	// Deadline is on the worker's clock.
	Deadline   time.Duration
	Fence      uint64
	Checkpoint string
	// Ticket is needed where the queue has an advisor.
	Ticket string
}

// StopOrder ends a run.
type StopOrder struct {
	Run   apjob.RunKey
	Fence uint64
}

// PaceOrder throttles a run.
type PaceOrder struct {
	Run     apjob.RunKey
	Percent int
	Fence   uint64
}

// HoldOrder extends leases.
type HoldOrder struct {
	// Deadline is on the worker's clock; 0 extends nothing.
	Deadline time.Duration
	Fence    uint64
	// Seen is the number of the last end that is stored.
	Seen uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Reply is the answer to an order.
type Reply struct {
	// Clock is the worker's clock; 0 when the answer had none.
	Clock time.Duration
}

// Report is what a worker says of its runs.
type Report struct {
	Clock time.Duration
	// Born tells lives under one id apart; it may be the zero time.
	Born    time.Time
	Running []Running
	// Ended lists ends that are not acknowledged yet, in ascending order.
	Ended []Ended
}

// Running is a run under way.
type Running struct {
	Run        apjob.RunKey
	Checkpoint string
	// Percent is the progress; 100 means that a long-running task is at work.
	Percent int
	// Usage is the recent tail latency in milliseconds of a serving task, else processor time in
	// thousandths of a core.
	Usage float64
}

// How tells how a run ended.
type How uint8

// Ways in which a run ends.
const (
	EndUnknown How = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
	EndBroken
	EndAlone
)

// String returns the name.
func (h How) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}
	if int(h) >= len(names) {
		return "Unknown"
	}
	return names[h]
}

// Ended is the end of a run.
type Ended struct {
	// Number rises from 1 in each life of the worker.
	Number     uint64
	Run        apjob.RunKey
	How        How
	Checkpoint string
}
