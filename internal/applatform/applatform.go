// Package applatform is what the system needs of the platform besides its store: the list of VMs
// and the pools in which VMs are drained and rebooted.
package applatform

import (
	"context"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Lister gives the lagging list of VMs.
type Lister interface {
	// List returns the list, or one without rows when its version is still known.
	// Errors: PlatformFailed.
	List(ctx context.Context, known uint64) (apfleet.VMList, error)
}

// Pools drains and restarts VMs. Operations are idempotent by their number: one with a lower number
// than the VM has seen is refused, and one with the same number has no further effect.
type Pools interface {
	// Drain marks a VM as leaving. Errors: NoSuchVM, StaleOperation, PlatformFailed.
	Drain(ctx context.Context, operation Operation) error
	// Return takes a drain back. Errors: as Drain.
	Return(ctx context.Context, operation Operation) error
	// Restart reboots a VM and starts the service on it. Errors: as Drain.
	Restart(ctx context.Context, operation Operation) error
}

// Operation is an order to the platform.
type Operation struct {
	// VM is never empty.
	VM apfleet.VMID `cbor:"VM"`
	// Number orders the operations on one VM.
	Number uint64 `cbor:"Number"`
	// Service is what a restart starts.
	Service apfleet.ServiceName `cbor:"Service"`
}

// Check returns BadMessage for an operation without a VM.
func (o Operation) Check() error {
	if o.VM == "" {
		return apcode.Errorf(apcode.BadMessage, "operation without a VM")
	}
	return nil
}
