package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Intent is a change that an executor is to carry out.
type Intent interface{ intent() }

// AssignOwners assigns VMs without a pool to pools.
type AssignOwners struct {
	DataCentre apfleet.DataCentre
	Revision   apstore.Revision
	Owners     apfleet.OwnerTable
}

// SwapOwner changes the pool that owns a VM from From to To.
type SwapOwner struct {
	DataCentre apfleet.DataCentre
	VM         apfleet.VMID
	From, To   apfleet.PoolName
}

// OpenDisruptions records new disruptions, provided that the pool's table still has the revision at which
// the availability budget was checked.
type OpenDisruptions struct {
	Pool     apfleet.PoolName
	Revision apstore.Revision
	// Rows holds the new disruptions, at least one.
	Rows []apfleet.Disruption
}

// CloseDisruption removes the record of a disruption that has ended.
type CloseDisruption struct {
	Pool   apfleet.PoolName
	VM     apfleet.VMID
	Reason string
}

// Order is an action that the platform is asked to perform on a VM.
type Order uint8

// Orders to the platform.
const (
	// OrderDrain marks the VM as leaving.
	OrderDrain Order = iota + 1
	// OrderRestart restarts the VM with a service.
	OrderRestart
	// OrderReturn undoes a drain.
	OrderReturn
)

// String returns the order's name.
func (o Order) String() string {
	names := [...]string{"Unknown", "Drain", "Restart", "Return"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// ordersPerOperation is the distance between the numbers of consecutive operations. It leaves each order of
// an operation a number of its own, so that the platform can refuse an order that arrives late.
const ordersPerOperation = 4

// Number returns the number that identifies an order of an operation to the platform.
func (o Order) Number(operation uint64) uint64 { return operation*ordersPerOperation + uint64(o) }

// PlatformOrder asks the platform to act on a VM.
type PlatformOrder struct {
	Order  Order
	VM     apfleet.VMID
	Number uint64
	// Service is the service to run after a restart; empty for other orders.
	Service apfleet.ServiceName
}

// PauseWave pauses the maintenance wave.
type PauseWave struct{ Reason string }

// EndWave records that the maintenance wave has rebooted every VM.
type EndWave struct{}

// Unregister removes a dead entry from the registry.
type Unregister struct {
	Member apfleet.Member
	// Window is how long the membership view that this ends is kept in the registry.
	Window time.Duration
}

func (AssignOwners) intent()    {}
func (SwapOwner) intent()       {}
func (OpenDisruptions) intent() {}
func (CloseDisruption) intent() {}
func (PlatformOrder) intent()   {}
func (PauseWave) intent()       {}
func (EndWave) intent()         {}
func (Unregister) intent()      {}
