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
	// VMID names a VM; the instance that the VM runs has the same name.
	VMID string
	// PoolName names a pool of VMs.
	PoolName string
	// ServiceName names a service.
	ServiceName string
	// DataCentre names a data centre.
	DataCentre string
	// Rack names a rack within a data centre.
	Rack string
	// EntryName names an entry VM of auburnport.
	EntryName string
)

// VMState is what the platform says of a VM.
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
	// Address is where the VM's instance listens; it is always valid.
	Address    netip.AddrPort `cbor:"Address" json:"Address"`
	DataCentre DataCentre     `cbor:"DataCentre" json:"DataCentre"`
	Rack       Rack           `cbor:"Rack" json:"Rack"`
	State      VMState        `cbor:"State" json:"State"`
	// Service is the service that the VM's instance runs, empty before its first start.
	Service ServiceName `cbor:"Service" json:"Service"`
	// Generation counts the VM's boots and never falls.
	Generation uint64 `cbor:"Generation" json:"Generation"`
}

// Check returns BadMessage when a required field is missing or out of range.
func (v VM) Check() error {
	if v.ID == "" || !v.Address.IsValid() || v.State > VMDown {
		return apcode.Errorf(apcode.BadMessage, "VM %q has no id, no address or an unknown state", v.ID)
	}
	return nil
}

// VMList is the platform's lagging list of VMs.
type VMList struct {
	// Version rises with every change of the list.
	Version uint64 `cbor:"Version" json:"Version"`
	// VMs holds each id once.
	VMs []VM `cbor:"VMs" json:"VMs"`
}

// Check returns BadMessage for a bad row or for an id that stands twice.
func (l VMList) Check() error {
	seen := make(map[VMID]struct{}, len(l.VMs))
	for _, v := range l.VMs {
		if err := v.Check(); err != nil {
			return err
		}
		if _, ok := seen[v.ID]; ok {
			return apcode.Errorf(apcode.BadMessage, "VM %q stands twice", v.ID)
		}
		seen[v.ID] = struct{}{}
	}
	return nil
}

// OwnerTable maps each VM to the one pool that owns it.
type OwnerTable map[VMID]PoolName

// Ownership is the table of owners of one data centre. It is one value of the store, so that a VM
// belongs to exactly one pool and a move is one swap.
type Ownership struct {
	DataCentre DataCentre `cbor:"DataCentre"`
	Owners     OwnerTable `cbor:"Owners"`
}

// Check returns BadMessage when a VM has no pool.
func (o Ownership) Check() error {
	for id, pool := range o.Owners {
		if id == "" || pool == "" {
			return apcode.Errorf(apcode.BadMessage, "owner of VM %q is %q", id, pool)
		}
	}
	return nil
}

// DisruptionKind tells what a disruption does to its VM.
type DisruptionKind uint8

// Kinds of disruption.
const (
	DisruptReboot DisruptionKind = iota + 1
	DisruptMove
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

// Disruption is a planned stop of one VM. The row is the recorded intent: it is written before the
// platform is asked to act, and removed after the VM serves again.
type Disruption struct {
	VM         VMID           `cbor:"VM" json:"VM"`
	DataCentre DataCentre     `cbor:"DataCentre" json:"DataCentre"`
	Kind       DisruptionKind `cbor:"Kind" json:"Kind"`
	// Target is the pool that receives the VM; set for moves only.
	Target PoolName `cbor:"Target,omitempty" json:"Target,omitempty"`
	// Generation is the VM's generation when the row was written.
	Generation uint64 `cbor:"Generation" json:"Generation"`
	// Operation orders operations on the platform; a later row of the same VM has a higher one.
	Operation uint64    `cbor:"Operation" json:"Operation"`
	Started   time.Time `cbor:"Started" json:"Started"`
	// Deadline is when a drain that has not completed is rolled back.
	Deadline time.Time `cbor:"Deadline" json:"Deadline"`
	Reason   string    `cbor:"Reason" json:"Reason"`
	// Ending tells that an operator has taken the stop back.
	Ending bool `cbor:"Ending,omitempty" json:"Ending,omitempty"`
}

// Check returns BadMessage when a required field is missing or out of range.
func (d Disruption) Check() error {
	if d.VM == "" || d.Kind < DisruptReboot || d.Kind > DisruptDrain {
		return apcode.Errorf(apcode.BadMessage, "disruption of VM %q has an unknown kind", d.VM)
	}
	if (d.Kind == DisruptMove) != (d.Target != "") {
		return apcode.Errorf(apcode.BadMessage, "disruption of VM %q: a move has a target, others have none", d.VM)
	}
	return nil
}

// Disruptions is the table of open disruptions of one pool and one value of the store.
type Disruptions struct {
	Pool PoolName `cbor:"Pool"`
	// Rows holds each VM at most once.
	Rows []Disruption `cbor:"Rows"`
}

// Check returns BadMessage for a bad row or a VM that stands twice.
func (d Disruptions) Check() error {
	seen := make(map[VMID]struct{}, len(d.Rows))
	for _, row := range d.Rows {
		if err := row.Check(); err != nil {
			return err
		}
		if _, ok := seen[row.VM]; ok {
			return apcode.Errorf(apcode.BadMessage, "disruption of VM %q stands twice", row.VM)
		}
		seen[row.VM] = struct{}{}
	}
	return nil
}

// Find returns the row of a VM.
func (d Disruptions) Find(id VMID) (Disruption, bool) {
	for _, row := range d.Rows {
		if row.VM == id {
			return row, true
		}
	}
	return Disruption{}, false
}

// Taken returns a copy in which an operator has taken the stop of a VM back.
func (d Disruptions) Taken(id VMID) Disruptions {
	taken := Disruptions{Pool: d.Pool, Rows: slices.Clone(d.Rows)}
	for i := range taken.Rows {
		if taken.Rows[i].VM == id {
			taken.Rows[i].Ending = true
		}
	}
	return taken
}

// Without returns a copy without the row of a VM.
func (d Disruptions) Without(id VMID) Disruptions {
	rows := make([]Disruption, 0, len(d.Rows))
	for _, row := range d.Rows {
		if row.VM != id {
			rows = append(rows, row)
		}
	}
	return Disruptions{Pool: d.Pool, Rows: rows}
}

// GenerationTable maps VMs to the generations that they had at some moment.
type GenerationTable map[VMID]uint64

// Wave is a maintenance wave: every VM of Generations is to be rebooted once.
type Wave struct {
	// Name is unique among the deployment's waves.
	Name    string    `cbor:"Name" json:"Name"`
	Started time.Time `cbor:"Started" json:"Started"`
	Paused  bool      `cbor:"Paused" json:"Paused"`
	// Reason says why the wave is paused.
	Reason string `cbor:"Reason,omitempty" json:"Reason,omitempty"`
	// Ended is zero until every VM has been rebooted.
	Ended time.Time `cbor:"Ended" json:"Ended"`
	// Generations holds the generation of each VM at the start; a VM with a higher one is done.
	Generations GenerationTable `cbor:"Generations" json:"-"`
}

// Check returns BadMessage for a wave without a name.
func (w Wave) Check() error {
	if w.Name == "" {
		return apcode.Errorf(apcode.BadMessage, "wave without a name")
	}
	return nil
}

// Active reports whether the wave has VMs left to reboot.
func (w Wave) Active() bool { return w.Name != "" && w.Ended.IsZero() }
