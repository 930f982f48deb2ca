// Package apstandin is a stand-in for the platform and the backend servers of entries that proxy requests (auburnport
// serve). It serves the protocol of package applatform on the loopback interface and injects faults on request. Package
// platform/emulator emulates the users' platform, for auburnport-node.
package apstandin

import (
	"time"

	"auburnport/pkg/apfleet"
)

// Options configure a stand-in.
type Options struct {
	// Seed seeds the random service times, so that a run can be repeated.
	Seed uint64
	// DataCentres, VMs and VMsPerRack set the size and layout of the fleet. VMs is the total number; the VMs
	// are spread evenly over the data centres.
	DataCentres []apfleet.DataCentre
	VMs         int
	VMsPerRack  int
	// Slots is the number of requests that each backend server processes at a time. Connections is the
	// allowed number of connections to it; the stand-in accepts more, and only reports the limit and the
	// peak.
	Slots       int
	Connections int
	// ServiceTime is the mean time to process a request.
	ServiceTime time.Duration
	// ListLag is the age of the VM list that List returns.
	ListLag time.Duration
	// RebootTime is how long a VM is unavailable during a restart.
	RebootTime time.Duration
	// LeavingGrace is how long after the start of a drain a leaving VM may still receive new requests.
	LeavingGrace time.Duration
}

// DefaultOptions returns options for a fleet of the size of one production deployment.
func DefaultOptions() Options {
	return Options{
		Seed:         1,
		DataCentres:  []apfleet.DataCentre{"dc-1", "dc-2", "dc-3"},
		VMs:          50,
		VMsPerRack:   4,
		Slots:        8,
		Connections:  64,
		ServiceTime:  100 * time.Millisecond,
		ListLag:      500 * time.Millisecond,
		RebootTime:   time.Second,
		LeavingGrace: 2 * time.Second,
	}
}

// Run records one execution of a request by a backend server.
type Run struct {
	RequestID string       `cbor:"RequestID"`
	Attempt   string       `cbor:"Attempt"`
	VM        apfleet.VMID `cbor:"VM"`
	Started   time.Time    `cbor:"Started"`
}

// Report holds what the backend servers and the store recorded.
type Report struct {
	Runs []Run `cbor:"Runs"`
	// InterruptedByRestart counts the requests that were in flight when a planned restart began.
	InterruptedByRestart int `cbor:"CutByStop"`
	// LateArrivals counts new requests to VMs that had been leaving for longer than LeavingGrace.
	LateArrivals int `cbor:"LateArrivals"`
	// OverCommitted counts requests that arrived while all slots were taken.
	OverCommitted int `cbor:"OverCommitted"`
	// PeakConnections is the greatest number of connections open to one backend server at a time.
	PeakConnections int `cbor:"PeakConnections"`
	// ConnectionLimit is the allowed number of connections to one backend server.
	ConnectionLimit int `cbor:"ConnectionLimit"`
	Restarts        int `cbor:"Restarts"`
	// Moves counts the restarts that changed the service of a VM.
	Moves int `cbor:"Moves"`
	// StoreReads, StoreWrites, StoreWatches and StoreLeases count the calls that the store received.
	StoreReads   uint64 `cbor:"StoreReads"`
	StoreWrites  uint64 `cbor:"StoreWrites"`
	StoreWatches uint64 `cbor:"StoreWatches"`
	StoreLeases  uint64 `cbor:"StoreLeases"`
}

// Check implements apfleet.Checker. Every report is valid.
func (Report) Check() error { return nil }
