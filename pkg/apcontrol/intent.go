package apcontrol

import (
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Intent is something that an executor carries out.
type Intent interface{ intent() }

// AssignOwners gives VMs that have no pool to pools.
type AssignOwners struct {
	DataCentre apfleet.DataCentre
	Revision   apstore.Revision
	Owners     apfleet.OwnerTable
}

// SwapOwner moves a VM from one pool to another.
type SwapOwner struct {
	DataCentre apfleet.DataCentre
	VM         apfleet.VMID
	From, To   apfleet.PoolName
}

// OpenDisruptions records planned stops, provided that the pool's table still has the revision at
// which the budget was checked.
type OpenDisruptions struct {
	Pool     apfleet.PoolName
	Revision apstore.Revision
	// Rows are the new stops; at least one.
	Rows []apfleet.Disruption
}

// CloseDisruption removes the record of a planned stop that has ended.
type CloseDisruption struct {
	Pool   apfleet.PoolName
	VM     apfleet.VMID
	Reason string
}

// Order is what the platform is asked to do.
type Order uint8

// Orders to the platform.
const (
	OrderDrain Order = iota + 1
	OrderRestart
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

// orderSteps is the distance between the numbers of two operations, so that the orders of one
// operation have numbers of their own and a late one is refused.
const orderSteps = 4

// Number returns the number under which the platform knows an order of an operation.
func (o Order) Number(operation uint64) uint64 { return operation*orderSteps + uint64(o) }

// PlatformOrder asks the platform to act on a VM.
type PlatformOrder struct {
	Order   Order
	VM      apfleet.VMID
	Number  uint64
	Service apfleet.ServiceName
}

// PauseWave pauses the wave.
type PauseWave struct{ Reason string }

// EndWave notes that every VM of the wave is done.
type EndWave struct{}

// Unregister removes an entry that is dead.
type Unregister struct {
	Member apfleet.Member
	// Window is how long the view that ends is remembered.
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
