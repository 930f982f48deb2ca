// Package apoperator is the HTTP API for operators: the handler that an entry serves, and a client for the command line.
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

// Actions are the operations of an entry that Handler offers to operators.
type Actions interface {
	// Settings returns the current settings and their revision.
	Settings() (apsettings.Tree, apstore.Revision)
	// ChangeSettings sets or unsets one value. Errors: BadPath, UnknownKey, BadValue, DuplicateKey, NoSuchNode,
	// SettingsConflict, StoreRegressed, and those of the store.
	ChangeSettings(ctx context.Context, change SettingsChange) (ChangeResult, error)
	// Status returns the state of the fleet as this entry sees it.
	Status() Status
	// WaveStatus returns the progress of the latest maintenance wave.
	WaveStatus() WaveStatus
	// StartWave starts a maintenance wave. Errors: WaveActive, StoreRegressed, and those of the
	// store.
	StartWave(ctx context.Context, name string) (ChangeResult, error)
	// PauseWave pauses the running wave if paused is true, and resumes it otherwise. Errors: NoSuchWave,
	// StoreRegressed, and those of the store.
	PauseWave(ctx context.Context, paused bool) (ChangeResult, error)
	// DisruptVM drains, reboots or moves a VM. Errors: NoSuchVM, NoSuchPool, VMDisrupted,
	// BudgetExceeded, and those of the store.
	DisruptVM(ctx context.Context, request VMRequest) (ChangeResult, error)
	// ReturnVM cancels the drain or the move of a VM. Errors: NoSuchVM, StoreRegressed, and those of the
	// store.
	ReturnVM(ctx context.Context, id apfleet.VMID) (ChangeResult, error)
}

// Token is the secret that operators send. An empty token disables authentication.
type Token []byte

// ChangeResult is the result of a change.
type ChangeResult struct {
	// Revision is that of the written document.
	Revision apstore.Revision `json:"Revision"`
	// InForce is how many of Entries have applied the change. It is set, like Entries and Elapsed, when the operator
	// asked to wait.
	InForce int           `json:"InForce"`
	Entries int           `json:"Entries"`
	Elapsed time.Duration `json:"Elapsed"`
}

// SettingsChange sets or unsets one value of a node of the settings tree.
type SettingsChange struct {
	Path  apsettings.Path `json:"Path"`
	Key   string          `json:"Key"`
	Value string          `json:"Value"`
	Unset bool            `json:"Unset"`
	// IfRevision refuses the change unless the settings are at this revision; 0 means any.
	IfRevision apstore.Revision `json:"IfRevision"`
	// Wait delays the response until every entry has applied the change.
	Wait bool `json:"Wait"`
}

// Apply returns the changed tree. Errors: BadPath, UnknownKey, BadValue, DuplicateKey, NoSuchNode.
func (c SettingsChange) Apply(tree apsettings.Tree) (apsettings.Tree, error) {
	if c.Unset {
		return tree.Unset(c.Path, c.Key)
	}
	return tree.Set(c.Path, c.Key, c.Value)
}

// VMRequest requests a planned disruption of a VM, or its cancellation.
type VMRequest struct {
	VM     apfleet.VMID           `json:"VM"`
	Kind   apfleet.DisruptionKind `json:"Kind"`
	Target apfleet.PoolName       `json:"Target"`
}

// WaveRequest starts a maintenance wave. The requests to pause and resume leave Name empty.
type WaveRequest struct {
	Name string `json:"Name"`
}

// WaveStatus is the progress of a maintenance wave: Done of Total VMs are finished.
type WaveStatus struct {
	Wave  apfleet.Wave `json:"Wave"`
	Total int          `json:"Total"`
	Done  int          `json:"Done"`
}

// EntryStatus is the state of one entry.
type EntryStatus struct {
	Name  apfleet.EntryName `json:"Name"`
	State string            `json:"State"`
	// Holder is true when the entry holds the control lease.
	Holder  bool `json:"Holder"`
	Leaving bool `json:"Leaving"`
	// Settings is the revision of the settings that the entry uses.
	Settings apstore.Revision `json:"Settings"`
}

// VMStatus is the state of one VM.
type VMStatus struct {
	apfleet.VM
	State string           `json:"State"`
	Pool  apfleet.PoolName `json:"Pool"`
	// Disruption is the kind of the planned disruption; empty means none.
	Disruption string `json:"Disruption"`
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

// SettingsDump is the whole settings tree in TOML with its revision.
type SettingsDump struct {
	Revision apstore.Revision `json:"Revision"`
	TOML     string           `json:"TOML"`
}

// ErrorResponse is the body of the response to a failed request.
type ErrorResponse struct {
	Code   apcode.Code `json:"Code"`
	Name   string      `json:"Name"`
	Detail string      `json:"Detail"`
	Action string      `json:"Action"`
}
