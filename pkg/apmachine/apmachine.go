// Package apmachine decides which machines get upkeep or move between pools, and when. It does no
// I/O: it computes actions from a snapshot of tables.
package apmachine

import (
	"maps"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// Name identifies a machine. A machine keeps its name across moves and upkeep.
type Name string

// State is the state of a machine as reported by the platform.
type State uint8

// States of a machine.
const (
	StateUnknown State = iota
	StateUp
	StateMoving
	StateUpkeep
	StateDown
)

// Machine is a row of the platform's list.
type Machine struct {
	Name  Name
	Pool  apfleet.ServiceName
	State State
	Rack  apfleet.Rack
	// Worker is the worker that runs on the machine; empty if there is none. Its id changes with each start.
	Worker   apjob.WorkerID
	Capacity apjob.Resources
	// Labels stay with the machine wherever it moves.
	Labels []string
}

// Wave is a request for the upkeep of a set of machines.
type Wave struct {
	Number   int
	Machines []Name
	// Duration is the time in which the wave should end.
	Duration time.Duration
	// MaxCount is the maximum number of machines that may be down at once.
	MaxCount int
}

// Kind is the purpose of a disruption.
type Kind uint8

// Kinds of disruptions.
const (
	KindUpkeep Kind = iota
	KindMove
)

// Disruption is the record of a machine that is being emptied. It applies only to the worker named in it.
type Disruption struct {
	Machine Name                `cbor:"Machine"`
	Worker  apjob.WorkerID      `cbor:"Worker"`
	Pool    apfleet.ServiceName `cbor:"Pool"`
	Kind    Kind                `cbor:"Kind"`
	// Wave is set for upkeep, Target for moves.
	Wave   int                 `cbor:"Wave"`
	Target apfleet.ServiceName `cbor:"Target"`
	// Ordered means that the order has been given to the platform and nothing is left to do. The record is kept
	// for a while so that a controller that takes over knows about the recent order.
	Ordered bool `cbor:"Ordered,omitempty"`
	// RecentOrder means that an order for the machine may have been given under this record, or shortly before it.
	// It is stored before an order is given.
	RecentOrder bool `cbor:"RecentOrder,omitempty"`
	// Revision is the store revision of the record. PoolReport.Empty refers to it when the worker is empty.
	Revision apstore.Revision `cbor:"-"`
}

// Check returns BadMessage if the machine is missing or the kind is unknown.
func (d Disruption) Check() error {
	if d.Machine == "" || d.Kind > KindMove {
		return apcode.Errorf(apcode.BadMessage, "disruption has no machine or an unknown kind")
	}
	return nil
}

// PoolReport is the report of a pool's owner.
type PoolReport struct {
	// Empty maps each disrupted worker that runs no tasks to the revision of its disruption.
	Empty map[apjob.WorkerID]apstore.Revision `cbor:"Empty"`
	// LongRunning counts the long-running tasks of each worker.
	LongRunning map[apjob.WorkerID]int `cbor:"Lasting"`
	// ReservedCPU is the CPU reserved on each worker that accepts tasks, in thousandths of a core.
	ReservedCPU map[apjob.WorkerID]int64 `cbor:"Used"`
	// QueuedWork is the work that waits for free capacity, in thousandths of a core-second.
	QueuedWork int64 `cbor:"Queued"`
	// WidestStep is the number of workers needed by the long-running step that needs the most.
	WidestStep int `cbor:"Widest"`
	// Unplaced counts the long-running tasks that wait for a worker, including those that have to leave their
	// present one, and the steps of other tasks that find no room beside long-running ones.
	Unplaced int `cbor:"Homeless"`
	// Labels are those that unfinished jobs require of workers, sorted. MissingLabels are those of them for which tasks wait and
	// that no worker of the pool has, sorted.
	Labels        []string `cbor:"Labels,omitempty"`
	MissingLabels []string `cbor:"MissingLabels,omitempty"`
	// HasJobs means that the shard has unfinished jobs. Owners older than the field leave it out.
	HasJobs bool `cbor:"HasJobs,omitempty"`
	// ReceivedAt is when the controller received this report; zero if unknown.
	ReceivedAt time.Time `cbor:"-"`
}

// Check implements apfleet.Checker. Every report is valid.
func (p PoolReport) Check() error { return nil }

// Equal reports whether two reports say the same, whenever they were received.
func (p PoolReport) Equal(q PoolReport) bool {
	return maps.Equal(p.Empty, q.Empty) && maps.Equal(p.LongRunning, q.LongRunning) && maps.Equal(p.ReservedCPU, q.ReservedCPU) &&
		slices.Equal(p.Labels, q.Labels) && slices.Equal(p.MissingLabels, q.MissingLabels) &&
		p.QueuedWork == q.QueuedWork && p.WidestStep == q.WidestStep && p.Unplaced == q.Unplaced && p.HasJobs == q.HasJobs
}

// AwaitingUpkeep lists the workers of a pool whose machines will be emptied for the upkeep of a wave.
type AwaitingUpkeep struct {
	Workers []apjob.WorkerID `cbor:"Workers"`
}

// Check implements apfleet.Checker. Every list is valid.
func (a AwaitingUpkeep) Check() error { return nil }

// WaveProgress is the progress of a wave: the machines whose upkeep has begun.
type WaveProgress struct {
	Machines []Name `cbor:"Machines"`
	// Completed means that the operator has been told that the wave is done.
	Completed bool `cbor:"Completed"`
	// FirstSeen is the wall-clock time at which a controller first saw the wave; zero if none has yet.
	FirstSeen time.Time `cbor:"Began"`
}

// Elapsed returns how long a wave has been running. FirstSeen may have been set by the clock of another host, so
// the result is clamped to the range from 0 to the wave's duration.
func (p WaveProgress) Elapsed(wave Wave, now time.Time) time.Duration {
	if p.FirstSeen.IsZero() {
		return 0
	}
	return min(max(now.Sub(p.FirstSeen), 0), wave.Duration)
}

// Check implements apfleet.Checker. Every value is valid.
func (p WaveProgress) Check() error { return nil }

// Tables is the input of Plan, together with the state that Plan keeps between calls.
type Tables struct {
	Now time.Time
	// Started is when the controller took over.
	Started time.Time
	// FirstController means that there was no controller before this one, so that machines and pools are still starting.
	FirstController bool
	// Machines is the platform's list, sorted by name.
	Machines []Machine
	// Absences holds the machines of waves and disruptions that Machines omits. SetMachines keeps it.
	Absences map[Name]Absence
	// SparePool is the spare pool, which holds the machines that are switched off; empty if the newest settings have none.
	SparePool apfleet.ServiceName
	// InForce holds the pools that the newest settings name, without spare pools. Only these and SparePool get machines.
	InForce map[apfleet.ServiceName]bool
	Waves   []Wave
	// WaveFirstSeen is when each wave was first seen, by wave number.
	WaveFirstSeen map[int]time.Time
	// Progress is the progress of each wave, by wave number.
	Progress    map[int]WaveProgress
	Disruptions map[Name]Disruption
	// Pools holds the last report of each pool's owner. The report of a pool that the settings no longer name stays.
	Pools map[apfleet.ServiceName]PoolReport
	// UpSince is when a machine was first listed as up since it was last down or away.
	UpSince map[Name]time.Time
	// Withheld holds the machines that may not be ordered yet, because a previous controller may have ordered them
	// shortly before. Nothing is opened for them.
	Withheld map[Name]bool
	// Awaiting holds the machines that still await their upkeep in a wave. Plan sets it.
	Awaiting map[Name]bool
	// TargetSizes is the number of machines that each pool should have. Plan keeps it between calls.
	TargetSizes map[apfleet.ServiceName]TargetSize
	// LastNeeded is when a pool was last in force, or last had jobs. Plan keeps it between calls.
	LastNeeded map[apfleet.ServiceName]time.Time
	// Trends is the growth of each pool's queue. Plan keeps it between calls.
	Trends map[apfleet.ServiceName]Trend
	// Sizes is the number of machines that each pool has or will have soon. Plan sets it.
	Sizes map[apfleet.ServiceName]int
}

// Action is a change that the controller is to carry out.
type Action interface{ action() }

// OpenDisruption opens a disruption, so that its machine is emptied.
type OpenDisruption struct{ Disruption Disruption }

// CloseDisruption removes a disruption that is done or obsolete.
type CloseDisruption struct {
	Machine Name
	Reason  string
}

// ExecuteDisruption orders the platform to perform the upkeep or the move for which a machine was emptied.
type ExecuteDisruption struct{ Disruption Disruption }

// CompleteWave reports to the operator that a wave is done.
type CompleteWave struct{ Wave int }

func (OpenDisruption) action()    {}
func (CloseDisruption) action()   {}
func (ExecuteDisruption) action() {}
func (CompleteWave) action()      {}
