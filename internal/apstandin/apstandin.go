// Package apstandin stands in for the platform and the backend servers on loopback, with faults on
// demand.
package apstandin

import (
	"time"

	"auburnport/pkg/apfleet"
)

// Options configure a stand-in.
type Options struct {
	// Seed makes service times repeatable.
	Seed uint64
	// DataCentres, RacksPerDataCentre and VMsPerRack give the fleet's shape.
	DataCentres []apfleet.DataCentre
	VMs         int
	VMsPerRack  int
	// Slots and Connections are the limits of each instance.
	Slots       int
	Connections int
	// ServiceTime is the mean time to answer a request.
	ServiceTime time.Duration
	// ListLag is how far the list of VMs lags behind.
	ListLag time.Duration
	// RebootTime is how long a VM is away when it restarts.
	RebootTime time.Duration
	// LeavingGrace is how long after a drain a leaving VM may still receive new requests.
	LeavingGrace time.Duration
}

// DefaultOptions returns today's size of one deployment.
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

// Run is the record of a request that reached a backend server and was run.
type Run struct {
	RequestID string       `cbor:"RequestID"`
	Attempt   string       `cbor:"Attempt"`
	VM        apfleet.VMID `cbor:"VM"`
	Started   time.Time    `cbor:"Started"`
}

// Report is what the backend servers recorded.
type Report struct {
	Runs []Run `cbor:"Runs"`
	// CutByStop counts the requests that were in flight when a planned restart began.
	CutByStop int `cbor:"CutByStop"`
	// LateArrivals counts new requests on VMs that had been leaving for longer than the grace.
	LateArrivals int `cbor:"LateArrivals"`
	// OverCommitted counts requests that arrived while all slots were taken.
	OverCommitted int `cbor:"OverCommitted"`
	// PeakConnections is the greatest number of connections open to one instance.
	PeakConnections int `cbor:"PeakConnections"`
	// ConnectionLimit is the number of connections that an instance accepts.
	ConnectionLimit int `cbor:"ConnectionLimit"`
	Restarts        int `cbor:"Restarts"`
	Moves           int `cbor:"Moves"`
	// Store counts the calls that the store received.
	StoreReads   uint64 `cbor:"StoreReads"`
	StoreWrites  uint64 `cbor:"StoreWrites"`
	StoreWatches uint64 `cbor:"StoreWatches"`
	StoreLeases  uint64 `cbor:"StoreLeases"`
}

// Check accepts every report.
func (Report) Check() error { return nil }
