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

// Fleet is the platform's VMs with their backend servers. It implements applatform.Lister and
// applatform.Pools.
type Fleet struct {
	options Options
	group   *errgroup.Group
	record  *recorder

	mu       sync.Mutex
	machines map[apfleet.VMID]*machine
	order    []apfleet.VMID
	version  uint64
	// history holds the lists of the last moments, oldest first, so that the list can lag.
	history []datedList
	stopped bool
}

type datedList struct {
	at   time.Time
	list apfleet.VMList
}

type machine struct {
	vm      apfleet.VM
	backend *backend
	// operation is the highest operation number carried out.
	operation uint64
	restarted uint64
}

// NewFleet starts the backend servers of all VMs.
func NewFleet(options Options, group *errgroup.Group) (*Fleet, error) {
	f := &Fleet{options: options, group: group, record: &recorder{}, machines: make(map[apfleet.VMID]*machine)}
	for i := range options.VMs {
		if err := f.add(i); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
	f.history[0].at = time.Now().Add(-options.ListLag)
	return f, nil
}

func (f *Fleet) add(i int) error {
	dc := f.options.DataCentres[i%len(f.options.DataCentres)]
	place := i / len(f.options.DataCentres)
	id := apfleet.VMID(fmt.Sprintf("vm-%03d", i+1))
	b := newBackend(f.options, id, i, f.record)
	if err := b.open(f.group); err != nil {
		return err
	}
	vm := apfleet.VM{
		ID:         id,
		Address:    b.address,
		DataCentre: dc,
		Rack:       apfleet.Rack(fmt.Sprintf("%s-rack-%02d", dc, place/f.options.VMsPerRack+1)),
		State:      apfleet.VMLive,
		Generation: 1,
	}
	f.machines[id] = &machine{vm: vm, backend: b}
	f.order = append(f.order, id)
	return nil
}

// publish adds the present list to the history.
func (f *Fleet) publish() {
	f.version++
	list := apfleet.VMList{Version: f.version}
	for _, id := range f.order {
		list.VMs = append(list.VMs, f.machines[id].vm)
	}
	f.history = append(f.history, datedList{at: time.Now(), list: list})
}

// List implements applatform.Lister.
func (f *Fleet) List(_ context.Context, known uint64) (apfleet.VMList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := time.Now().Add(-f.options.ListLag)
	for len(f.history) > 1 && !f.history[1].at.After(limit) {
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
	m, err := f.accept(operation)
	if err != nil || m.vm.State != apfleet.VMLive {
		return err
	}
	m.vm.State = apfleet.VMLeaving
	m.backend.setLeaving(time.Now())
	f.publish()
	return nil
}

// Return implements applatform.Pools.
func (f *Fleet) Return(_ context.Context, operation applatform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := f.accept(operation)
	if err != nil || m.vm.State != apfleet.VMLeaving {
		return err
	}
	m.vm.State = apfleet.VMLive
	m.backend.setLeaving(time.Time{})
	f.publish()
	return nil
}

// Restart implements applatform.Pools.
func (f *Fleet) Restart(_ context.Context, operation applatform.Operation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := f.accept(operation)
	if err != nil {
		return err
	}
	if m.restarted == operation.Number {
		return nil
	}
	m.restarted = operation.Number
	moved := m.vm.Service != "" && m.vm.Service != operation.Service
	first := m.vm.Service == ""
	cut := m.backend.close()
	m.vm.State = apfleet.VMStarting
	m.vm.Service = operation.Service
	f.record.restart(cut, moved)
	f.publish()
	delay := f.options.RebootTime
	if first {
		delay = 0
	}
	f.later(delay, func() { f.boot(m) })
	return nil
}

// accept refuses an operation that comes after a newer one.
func (f *Fleet) accept(operation applatform.Operation) (*machine, error) {
	m, ok := f.machines[operation.VM]
	if !ok {
		return nil, apcode.Errorf(apcode.NoSuchVM, "%s", operation.VM)
	}
	if operation.Number < m.operation {
		return nil, apcode.Errorf(apcode.StaleOperation, "%s: %d came after %d", operation.VM, operation.Number, m.operation)
	}
	m.operation = operation.Number
	return m, nil
}

// boot brings a VM back with the next generation.
func (f *Fleet) boot(m *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped || m.vm.State == apfleet.VMLive {
		return
	}
	if err := m.backend.open(f.group); err != nil {
		f.later(f.options.RebootTime, func() { f.boot(m) })
		return
	}
	m.backend.setLeaving(time.Time{})
	m.vm.State = apfleet.VMLive
	m.vm.Generation++
	f.publish()
}

// later runs act after a delay.
func (f *Fleet) later(delay time.Duration, act func()) {
	f.group.Go(func() error {
		time.Sleep(delay)
		act()
		return nil
	})
}

// Kill takes power from a VM.
func (f *Fleet) Kill(id apfleet.VMID) error {
	return f.with(id, func(m *machine) {
		m.backend.close()
		m.vm.State = apfleet.VMDown
	})
}

// KillRack takes power from every VM of a rack.
func (f *Fleet) KillRack(rack apfleet.Rack) {
	for _, id := range f.rack(rack) {
		_ = f.Kill(id)
	}
}

func (f *Fleet) rack(rack apfleet.Rack) []apfleet.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []apfleet.VMID
	for _, id := range f.order {
		if f.machines[id].vm.Rack == rack {
			ids = append(ids, id)
		}
	}
	return ids
}

// Restore gives power back to a VM.
func (f *Fleet) Restore(id apfleet.VMID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.machines[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	if m.vm.State == apfleet.VMDown {
		m.vm.State = apfleet.VMStarting
		f.later(0, func() { f.boot(m) })
	}
	return nil
}

// Silence makes the open connections of a VM go silent; new ones work.
func (f *Fleet) Silence(id apfleet.VMID) error {
	return f.with(id, func(m *machine) { m.backend.silence() })
}

// SetFaults sets the faults of a VM.
func (f *Fleet) SetFaults(id apfleet.VMID, faults Faults) error {
	return f.with(id, func(m *machine) { m.backend.setFaults(faults) })
}

func (f *Fleet) with(id apfleet.VMID, act func(*machine)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.machines[id]
	if !ok {
		return apcode.Errorf(apcode.NoSuchVM, "%s", id)
	}
	act(m)
	f.publish()
	return nil
}

// Now returns the list as it is, without lag.
func (f *Fleet) Now() apfleet.VMList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[len(f.history)-1].list
}

// Report returns what the backend servers recorded.
func (f *Fleet) Report() Report {
	report := f.record.snapshot()
	report.ConnectionLimit = f.options.Connections
	return report
}

// Close stops every backend server.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, m := range f.machines {
		m.backend.close()
	}
}

// RestoreRack gives power back to every VM of a rack.
func (f *Fleet) RestoreRack(rack apfleet.Rack) {
	for _, id := range f.rack(rack) {
		_ = f.Restore(id)
	}
}
