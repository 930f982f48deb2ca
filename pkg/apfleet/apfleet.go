// Package apfleet defines the entities of a fleet (VMs, pools, disruptions, waves) and the tables
// that hold them.
package apfleet

import (
	"net/netip"
	"slices"
	"time"

	"auburnport/pkg/apcode"
)

// Names of entities. Each is unique within a deployment.
type (
	// VMID is the id of a VM and also of the backend server that runs on it.
	VMID string
	// PoolName is the name of a pool of VMs.
	PoolName string
	// ServiceName is the name of a service.
	ServiceName string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Rack is the name of a rack within a data centre.
	Rack string
	// EntryName is the name of an entry VM of auburnport.
	EntryName string
)

// VMState is the state of a VM as reported by the platform.
type VMState uint8

// States of a VM.
const (
	VMUnknown VMState = iota
	VMStarting
	VMLive
	VMLeaving
	VMDown
)

// String returns the state's name.
func (s VMState) String() string {
	names := [...]string{"Unknown", "Starting", "Live", "Leaving", "Down"}
	if int(s) >= len(names) {
		return "Unknown"
	}
	return names[s]
}

// VM is a row of the platform's list of VMs.
type VM struct {
	// ID is never empty.
	ID VMID `cbor:"ID" json:"ID"`
	// Address is where the VM's backend server listens; it is always valid.
	Address    netip.AddrPort `cbor:"Address" json:"Address"`
	DataCentre DataCentre     `cbor:"DataCentre" json:"DataCentre"`
	Rack       Rack           `cbor:"Rack" json:"Rack"`
	State      VMState        `cbor:"State" json:"State"`
	// Service is the service that the VM's backend server runs; empty before its first start.
	Service ServiceName `cbor:"Service" json:"Service"`
	// Generation counts the VM's boots. It never decreases.
	Generation uint64 `cbor:"Generation" json:"Generation"`
}

// Check returns BadMessage when a required field is missing or out of range.
func (v VM) Check() error {
	if v.ID == "" || !v.Address.IsValid() || v.State > VMDown {
		return apcode.Errorf(apcode.BadMessage, "VM %q has no id, no address or an unknown state", v.ID)
	}
	return nil
}

// VMList is the platform's list of VMs, which lags behind their actual state.
type VMList struct {
	// Version increases with every change of the list.
	Version uint64 `cbor:"Version" json:"Version"`
	// VMs holds each VM at most once.
	VMs []VM `cbor:"VMs" json:"VMs"`
}

// Check returns BadMessage for an invalid row or a duplicate id.
func (l VMList) Check() error {
	seen := make(map[VMID]struct{}, len(l.VMs))
	for _, vm := range l.VMs {
		if err := vm.Check(); err != nil {
			return err
		}
		if _, ok := seen[vm.ID]; ok {
			return apcode.Errorf(apcode.BadMessage, "VM %q is listed more than once", vm.ID)
		}
		seen[vm.ID] = struct{}{}
	}
	return nil
}

// OwnerTable maps each VM to the one pool that owns it.
type OwnerTable map[VMID]PoolName

// Ownership is the owner table of one data centre. It is a single value in the store, so that a VM belongs to
// exactly one pool, and moving it takes a single compare-and-swap.
type Ownership struct {
	DataCentre DataCentre `cbor:"DataCentre"`
	Owners     OwnerTable `cbor:"Owners"`
}

// Check returns BadMessage for a VM without an id or without a pool.
func (o Ownership) Check() error {
	for id, pool := range o.Owners {
		if id == "" || pool == "" {
			return apcode.Errorf(apcode.BadMessage, "owner table has an empty VM id or pool name: VM %q, pool %q", id, pool)
		}
	}
	return nil
}

// DisruptionKind is what a disruption does to its VM.
type DisruptionKind uint8

// Kinds of disruption.
const (
	// DisruptReboot drains and restarts the VM.
	DisruptReboot DisruptionKind = iota + 1
	// DisruptMove drains the VM and restarts it in another pool.
	DisruptMove
	// DisruptDrain drains the VM until an operator ends the disruption.
	DisruptDrain
)

// String returns the kind's name.
func (k DisruptionKind) String() string {
	names := [...]string{"Unknown", "Reboot", "Move", "Drain"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Disruption is a planned interruption of one VM. The row records the intent: it is written before the platform is
// asked to act, and removed after the VM serves requests again.
type Disruption struct {
	VM         VMID           `cbor:"VM" json:"VM"`
	DataCentre DataCentre     `cbor:"DataCentre" json:"DataCentre"`
	Kind       DisruptionKind `cbor:"Kind" json:"Kind"`
	// Target is the pool to which the VM moves; set for moves only.
	Target PoolName `cbor:"Target,omitempty" json:"Target,omitempty"`
	// Generation is the VM's generation when the row was written.
	Generation uint64 `cbor:"Generation" json:"Generation"`
	// Operation is the number of the disruption. The numbers of its orders to the platform are computed from it,
	// so that those of a later disruption of the same VM are higher.
	Operation uint64    `cbor:"Operation" json:"Operation"`
	Started   time.Time `cbor:"Started" json:"Started"`
	// Deadline is when a drain that has not completed is rolled back. An operator's drain has no time limit.
	Deadline time.Time `cbor:"Deadline" json:"Deadline"`
	Reason   string    `cbor:"Reason" json:"Reason"`
	// Cancelled means that an operator has cancelled the disruption.
	Cancelled bool `cbor:"Ending,omitempty" json:"Ending,omitempty"`
}

// Check returns BadMessage when a required field is missing or out of range.
func (d Disruption) Check() error {
	if d.VM == "" || d.Kind < DisruptReboot || d.Kind > DisruptDrain {
		return apcode.Errorf(apcode.BadMessage, "disruption of VM %q has no VM id or an unknown kind", d.VM)
	}
	if (d.Kind == DisruptMove) != (d.Target != "") {
		return apcode.Errorf(apcode.BadMessage, "disruption of VM %q: a move must have a target pool, and other kinds must not", d.VM)
	}
	return nil
}

// Disruptions is the table of open disruptions of one pool. It is a single value in the store.
type Disruptions struct {
	Pool PoolName `cbor:"Pool"`
	// Rows holds each VM at most once.
	Rows []Disruption `cbor:"Rows"`
}

// Check returns BadMessage for an invalid row or a VM with more than one disruption.
func (d Disruptions) Check() error {
	seen := make(map[VMID]struct{}, len(d.Rows))
	for _, row := range d.Rows {
		if err := row.Check(); err != nil {
			return err
		}
		if _, ok := seen[row.VM]; ok {
			return apcode.Errorf(apcode.BadMessage, "VM %q has more than one disruption", row.VM)
		}
		seen[row.VM] = struct{}{}
	}
	return nil
}

// Find returns the disruption of a VM.
func (d Disruptions) Find(id VMID) (Disruption, bool) {
	for _, row := range d.Rows {
		if row.VM == id {
			return row, true
		}
	}
	return Disruption{}, false
}

// WithCancelled returns a copy in which the disruption of a VM is marked as cancelled by an operator.
func (d Disruptions) WithCancelled(id VMID) Disruptions {
	copied := Disruptions{Pool: d.Pool, Rows: slices.Clone(d.Rows)}
	for i := range copied.Rows {
		if copied.Rows[i].VM == id {
			copied.Rows[i].Cancelled = true
		}
	}
	return copied
}

// Without returns a copy without the disruption of a VM.
func (d Disruptions) Without(id VMID) Disruptions {
	rows := make([]Disruption, 0, len(d.Rows))
	for _, row := range d.Rows {
		if row.VM != id {
			rows = append(rows, row)
		}
	}
	return Disruptions{Pool: d.Pool, Rows: rows}
}

// GenerationTable maps VMs to their generations at some point in time.
type GenerationTable map[VMID]uint64

// Wave is a maintenance wave, which reboots every VM in Generations once.
type Wave struct {
	// Name is unique among the deployment's waves.
	Name    string    `cbor:"Name" json:"Name"`
	Started time.Time `cbor:"Started" json:"Started"`
	Paused  bool      `cbor:"Paused" json:"Paused"`
	// Reason is why the wave is paused.
	Reason string `cbor:"Reason,omitempty" json:"Reason,omitempty"`
	// Ended is zero until every VM has been rebooted.
	Ended time.Time `cbor:"Ended" json:"Ended"`
	// Generations holds the generation of each VM when the wave started. A VM with a higher one is done.
	Generations GenerationTable `cbor:"Generations" json:"-"`
}

// Check returns BadMessage for a wave without a name.
func (w Wave) Check() error {
	if w.Name == "" {
		return apcode.Errorf(apcode.BadMessage, "wave has no name")
	}
	return nil
}

// Active reports whether there is a wave that has not ended.
func (w Wave) Active() bool { return w.Name != "" && w.Ended.IsZero() }
