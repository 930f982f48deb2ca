// Package applatform has the interfaces of the platform other than its key-value store: the list of VMs, the drain and
// restart of VMs, and the workers that run tasks.
package applatform

import (
	"context"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Lister lists the VMs. The list lags behind their actual state.
type Lister interface {
	// List returns the list of VMs. If known is still its current version, the returned list has no VMs.
	// Errors: PlatformFailed.
	List(ctx context.Context, known uint64) (apfleet.VMList, error)
}

// Pools drains and restarts VMs. Operations are idempotent by their number: one with a lower number than the VM has
// seen is refused, and one with the same number has no further effect.
type Pools interface {
	// Drain marks a VM as leaving. Errors: NoSuchVM, StaleOperation, PlatformFailed.
	Drain(ctx context.Context, operation Operation) error
	// Return cancels a drain. Errors: as Drain.
	Return(ctx context.Context, operation Operation) error
	// Restart reboots a VM and starts the service on it. Errors: as Drain.
	Restart(ctx context.Context, operation Operation) error
}

// Operation is a request to the platform to act on one VM.
type Operation struct {
	// VM is never empty.
	VM apfleet.VMID `cbor:"VM"`
	// Number increases with each new operation on the VM.
	Number uint64 `cbor:"Number"`
	// Service is the service that Restart starts on the VM.
	Service apfleet.ServiceName `cbor:"Service"`
}

// Check returns BadMessage for an operation without a VM.
func (o Operation) Check() error {
	if o.VM == "" {
		return apcode.Errorf(apcode.BadMessage, "operation has no VM")
	}
	return nil
}
