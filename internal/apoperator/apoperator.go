// Package apoperator is the operators' HTTP interface: a handler over the actions of an entry, and a
// client for the command line.
package apoperator

import (
	"context"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apcontrol"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// Actions are what operators can ask of an entry.
type Actions interface {
	// Settings returns the settings in force and their revision.
	Settings() (apsettings.Tree, apstore.Revision)
	// ChangeSettings changes one value. Errors: BadPath, UnknownKey, BadValue, NoSuchNode,
	// SettingsConflict, StoreRegressed, and those of the store.
	ChangeSettings(ctx context.Context, change SettingsChange) (Accepted, error)
	// Status returns the state of the fleet.
	Status() Status
	// WaveStatus returns how far the last wave is.
	WaveStatus() WaveStatus
	// StartWave starts a maintenance wave. Errors: WaveActive and those of the store.
	StartWave(ctx context.Context, name string) (Accepted, error)
	// PauseWave pauses or continues the wave. Errors: NoSuchWave and those of the store.
	PauseWave(ctx context.Context, paused bool) (Accepted, error)
	// DisruptVM drains, reboots or moves a VM. Errors: NoSuchVM, NoSuchPool, VMDisrupted,
	// BudgetExceeded, and those of the store.
	DisruptVM(ctx context.Context, order VMOrder) (Accepted, error)
	// ReturnVM takes a drain or a move back. Errors: NoSuchVM and those of the store.
	ReturnVM(ctx context.Context, id apfleet.VMID) (Accepted, error)
}

// Token is the secret that operators send; empty accepts everybody.
type Token []byte

// Accepted confirms a change.
type Accepted struct {
	Revision apstore.Revision `json:"Revision"`
	// InForce of Entries obey the change, when the operator asked to wait for that.
	InForce int           `json:"InForce"`
	Entries int           `json:"Entries"`
	Elapsed time.Duration `json:"Elapsed"`
}

// SettingsChange sets or unsets one value of a node.
type SettingsChange struct {
	Path  apsettings.Path `json:"Path"`
	Key   string          `json:"Key"`
	Value string          `json:"Value"`
	Unset bool            `json:"Unset"`
	// IfRevision refuses the change unless the settings are at this revision; 0 means any.
	IfRevision apstore.Revision `json:"IfRevision"`
	// Wait answers only when every entry obeys the change.
	Wait bool `json:"Wait"`
}

// Apply returns the changed tree. Errors: BadPath, UnknownKey, BadValue, NoSuchNode.
func (c SettingsChange) Apply(tree apsettings.Tree) (apsettings.Tree, error) {
	if c.Unset {
		return tree.Unset(c.Path, c.Key)
	}
	return tree.Set(c.Path, c.Key, c.Value)
}

// VMOrder asks for a planned stop.
type VMOrder struct {
	VM     apfleet.VMID           `json:"VM"`
	Kind   apfleet.DisruptionKind `json:"Kind"`
	Target apfleet.PoolName       `json:"Target"`
}

// WaveOrder starts a wave.
type WaveOrder struct {
	Name string `json:"Name"`
}

// WaveStatus is how far a wave is.
type WaveStatus struct {
	Wave  apfleet.Wave `json:"Wave"`
	Total int          `json:"Total"`
	Done  int          `json:"Done"`
}

// EntryStatus is what operators see of an entry.
type EntryStatus struct {
	Name     apfleet.EntryName `json:"Name"`
	State    string            `json:"State"`
	Holder   bool              `json:"Holder"`
	Leaving  bool              `json:"Leaving"`
	Settings apstore.Revision  `json:"Settings"`
}

// VMStatus is what operators see of a VM.
type VMStatus struct {
	apfleet.VM
	State      string           `json:"State"`
	Pool       apfleet.PoolName `json:"Pool"`
	Disruption string           `json:"Disruption"`
}

// Status is the state of the fleet as one entry sees it.
type Status struct {
	Entry            apfleet.EntryName       `json:"Entry"`
	Deployment       string                  `json:"Deployment"`
	SettingsRevision apstore.Revision        `json:"SettingsRevision"`
	Entries          []EntryStatus           `json:"Entries"`
	Pools            []apcontrol.PoolSummary `json:"Pools"`
	VMs              []VMStatus              `json:"VMs"`
	Wave             WaveStatus              `json:"Wave"`
}

// SettingsDump is the whole tree in TOML with its revision.
type SettingsDump struct {
	Revision apstore.Revision `json:"Revision"`
	TOML     string           `json:"TOML"`
}

// Failure is the answer to what failed.
type Failure struct {
	Code   apcode.Code `json:"Code"`
	Name   string      `json:"Name"`
	Detail string      `json:"Detail"`
	Action string      `json:"Action"`
}
