package apstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Fleet simulates the platform's VMs and runs a backend server for each. It implements applatform.Lister
// and applatform.Pools.
type Fleet struct {
	options  Options
	group    *errgroup.Group
	recorder *recorder

	mu  sync.Mutex
	vms map[apfleet.VMID]*simulatedVM
	// ids holds the VMs in the order of the list.
	ids     []apfleet.VMID
	version uint64
	// history holds recent lists, oldest first, because List returns one of Options.ListLag ago.
	history []listSnapshot
	closed  bool
}

// listSnapshot is the list that was current from a point in time on.
type listSnapshot struct {
	at   time.Time
	list apfleet.VMList
}

type simulatedVM struct {
	vm      apfleet.VM
	backend *backend
	// lastOperation is the highest operation number accepted, lastRestart the number of the latest restart.
	lastOperation uint64
	lastRestart   uint64
}

// NewFleet starts the backend servers of all VMs.
func NewFleet(options Options, group *errgroup.Group) (*Fleet, error) {
	f := &Fleet{options: options, group: group, recorder: &recorder{}, vms: make(map[apfleet.VMID]*simulatedVM)}
	for i := range options.VMs {
		if err := f.addVM(i); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
	f.history[0].at = time.Now().Add(-options.ListLag)
	return f, nil
}

func (f *Fleet) addVM(i int) error {
	dc := f.options.DataCentres[i%len(f.options.DataCentres)]
	indexInDC := i / len(f.options.DataCentres)
	id := apfleet.VMID(fmt.Sprintf("vm-%03d", i+1))
	b := newBackend(f.options, id, i, f.recorder)
	if err := b.start(f.group); err != nil {
		return err
	}
	vm := apfleet.VM{
		ID:         id,
		Address:    b.address,
		DataCentre: dc,
		Rack:       apfleet.Rack(fmt.Sprintf("%s-rack-%02d", dc, indexInDC/f.options.VMsPerRack+1)),
		State:      apfleet.VMLive,
		Generation: 1,
	}
	f.vms[id] = &simulatedVM{vm: vm, backend: b}
	f.ids = append(f.ids, id)
	return nil
}

// publish appends the current list to the history under a new version.
func (f *Fleet) publish() {
	f.version++
	list := apfleet.VMList{Version: f.version}
	for _, id := range f.ids {
		list.VMs = append(list.VMs, f.vms[id].vm)
	}
	f.history = append(f.history, listSnapshot{at: time.Now(), list: list})
}

// List implements applatform.Lister.
func (f *Fleet) List(_ context.Context, known uint64) (apfleet.VMList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cutoff := time.Now().Add(-f.options.ListLag)
	for len(f.history) > 1 && !f.history[1].at.After(cutoff) {
		f.history = f.history[1:]
	}
	list := f.history[0].list
	if list.Version == known {
		return apfleet.VMList{Version: known}, nil
	}
	return list, nil
}

// Drain implements applatform.Pools.
func (f *Fleet) Drain(_ context.Context, operation applatform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sim, err := f.acceptOperation(operation)
	if err != nil || sim.vm.State != apfleet.VMLive {
		return err
	}
	sim.vm.State = apfleet.VMLeaving
	sim.backend.setLeaving(time.Now())
	f.publish()
	return nil
}

// Return implements applatform.Pools.
func (f *Fleet) Return(_ context.Context, operation applatform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sim, err := f.acceptOperation(operation)
	if err != nil || sim.vm.State != apfleet.VMLeaving {
		return err
	}
	sim.vm.State = apfleet.VMLive
	sim.backend.setLeaving(time.Time{})
	f.publish()
	return nil
}

// Restart implements applatform.Pools.
func (f *Fleet) Restart(_ context.Context, operation applatform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sim, err := f.acceptOperation(operation)
	if err != nil {
		return err
	}
	if sim.lastRestart == operation.Number {
		return nil
	}
	sim.lastRestart = operation.Number
	moved := sim.vm.Service != "" && sim.vm.Service != operation.Service
	firstAssignment := sim.vm.Service == ""
	interrupted := sim.backend.close()
	sim.vm.State = apfleet.VMStarting
	sim.vm.Service = operation.Service
	f.recorder.countRestart(interrupted, moved)
	f.publish()
	delay := f.options.RebootTime
	if firstAssignment {
		delay = 0
	}
	f.runAfter(delay, func() { f.boot(sim) })
	return nil
}

// acceptOperation returns the VM of an operation and records its number. An operation with a
// lower number than an earlier one fails with StaleOperation.
func (f *Fleet) acceptOperation(operation applatform.Operation) (*simulatedVM, error) {
	sim, ok := f.vms[operation.VM]
	if !ok {
		return nil, apcode.Errorf(apcode.NoSuchVM, "%s", operation.VM)
	}
	if operation.Number < sim.lastOperation {
		return nil, apcode.Errorf(apcode.StaleOperation, "%s: operation %d is older than operation %d, which was already accepted", operation.VM, operation.Number, sim.lastOperation)
	}
	sim.lastOperation = operation.Number
	return sim, nil
}

// boot starts the backend server of a VM under the next generation. It is retried after the reboot time
// when the server cannot listen.
func (f *Fleet) boot(sim *simulatedVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || sim.vm.State == apfleet.VMLive {
		return
	}
	if err := sim.backend.start(f.group); err != nil {
		f.runAfter(f.options.RebootTime, func() { f.boot(sim) })
		return
	}
	sim.backend.setLeaving(time.Time{})
	sim.vm.State = apfleet.VMLive
	sim.vm.Generation++
	f.publish()
}

// runAfter runs action after a delay.
func (f *Fleet) runAfter(delay time.Duration, action func()) {
	f.group.Go(func() error {
		time.Sleep(delay)
		action()
		return nil
	})
}

// Kill powers a VM off without notice.
func (f *Fleet) Kill(id apfleet.VMID) error {
	return f.updateVM(id, func(sim *simulatedVM) {
		sim.backend.close()
		sim.vm.State = apfleet.VMDown
	})
}

// KillRack powers off every VM of a rack.
func (f *Fleet) KillRack(rack apfleet.Rack) {
	for _, id := range f.vmsInRack(rack) {
		_ = f.Kill(id)
	}
}

func (f *Fleet) vmsInRack(rack apfleet.Rack) []apfleet.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []apfleet.VMID
	for _, id := range f.ids {
		if f.vms[id].vm.Rack == rack {
			ids = append(ids, id)
		}
	}
	return ids
}

// Restore powers a VM on again after Kill.
func (f *Fleet) Restore(id apfleet.VMID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sim, ok := f.vms[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	if sim.vm.State == apfleet.VMDown {
		sim.vm.State = apfleet.VMStarting
		f.runAfter(0, func() { f.boot(sim) })
	}
	return nil
}

// Silence makes the open connections of a VM permanently unresponsive without closing them. New
// connections work.
func (f *Fleet) Silence(id apfleet.VMID) error {
	return f.updateVM(id, func(sim *simulatedVM) { sim.backend.silence() })
}

// SetFaults replaces the injected faults of a VM.
func (f *Fleet) SetFaults(id apfleet.VMID, faults VMFaults) error {
	return f.updateVM(id, func(sim *simulatedVM) { sim.backend.setFaults(faults) })
}

// updateVM applies change to a VM and publishes the list.
func (f *Fleet) updateVM(id apfleet.VMID, change func(*simulatedVM)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sim, ok := f.vms[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	change(sim)
	f.publish()
	return nil
}

// CurrentList returns the list without lag.
func (f *Fleet) CurrentList() apfleet.VMList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[len(f.history)-1].list
}

// Report returns what the backend servers recorded.
func (f *Fleet) Report() Report {
	report := f.recorder.snapshot()
	report.ConnectionLimit = f.options.Connections
	return report
}

// Close stops every backend server.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, sim := range f.vms {
		sim.backend.close()
	}
}

// RestoreRack powers on every VM of a rack again.
func (f *Fleet) RestoreRack(rack apfleet.Rack) {
	for _, id := range f.vmsInRack(rack) {
		_ = f.Restore(id)
	}
}
