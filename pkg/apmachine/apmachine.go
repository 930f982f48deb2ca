// Package apmachine decides which machines are maintained or moved between pools, and when. It does no
// I/O: tables go in, actions come out.
package apmachine

import (
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apstore"
)

// Name names a machine; it keeps its name across moves and upkeep.
type Name string

// State is what the platform says of a machine.
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
	// Worker is the machine's present life; empty while it has none.
	Worker   apjob.WorkerID
	Capacity apjob.Resources
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int
	Machines []Name
	Duration time.Duration
	// MaxCount bounds the machines that are down at once.
	MaxCount int
}

// Kind is what a disruption is for.
type Kind uint8

// Kinds of disruptions.
const (
	KindUpkeep Kind = iota
	KindMove
)

// Disruption is a machine that is being emptied, for one life of its worker.
type Disruption struct {
	Machine Name                `cbor:"Machine"`
	Worker  apjob.WorkerID      `cbor:"Worker"`
	Pool    apfleet.ServiceName `cbor:"Pool"`
	Kind    Kind                `cbor:"Kind"`
	// Wave is set for upkeep, Target for a move.
	Wave   int                 `cbor:"Wave"`
	Target apfleet.ServiceName `cbor:"Target"`
	// Ordered tells that the order is out and nothing is left to be done: the record tells a successor that
	// the machine was ordered a moment ago.
	Ordered bool `cbor:"Ordered,omitempty"`
	// Revision is where the store has the disruption; a pool names it when the worker is empty.
	Revision apstore.Revision `cbor:"-"`
}

// Check returns BadMessage for a disruption of nothing.
func (d Disruption) Check() error {
	if d.Machine == "" || d.Kind > KindMove {
		return apcode.Errorf(apcode.BadMessage, "disruption without a machine or of an unknown kind")
	}
	return nil
}

// Pool is what a pool's owner says of it.
type Pool struct {
	// Empty holds the disrupted workers on which nothing runs, with the revision of the disruption.
	Empty map[apjob.WorkerID]apstore.Revision `cbor:"Empty"`
	// Lasting counts the long-running tasks of each worker.
	Lasting map[apjob.WorkerID]int `cbor:"Lasting"`
	// Used counts the processor time booked on each worker that may get runs, in thousandths of a
	// core.
	Used map[apjob.WorkerID]int64 `cbor:"Used"`
	// Queued is the work that waits for room, in thousandths of a core times seconds.
	Queued int64 `cbor:"Queued"`
	// Widest is how many workers the widest long-running step needs.
	Widest int `cbor:"Widest"`
	// Homeless counts the long-running tasks that wait for a place, also those that must leave theirs.
	Homeless int `cbor:"Homeless"`
	// SeenAt is when the controller learnt of this account; zero when that is not known.
	SeenAt time.Time `cbor:"-"`
}

// Check accepts every pool.
func (p Pool) Check() error { return nil }

// Awaiting lists the workers of a pool whose machines will be emptied for a wave of upkeep.
type Awaiting struct {
	Workers []apjob.WorkerID `cbor:"Workers"`
}

// Check accepts every list.
func (a Awaiting) Check() error { return nil }

// Finished lists the machines of a wave whose upkeep has begun.
type Finished struct {
	Machines []Name `cbor:"Machines"`
	// Completed tells that the operator has been told.
	Completed bool `cbor:"Completed"`
	// Began is the time of day at which a controller first saw the wave; zero when none has.
	Began time.Time `cbor:"Began"`
}

// Passed returns how long a wave has run at a time of day, which another machine may have set: within the
// wave's own time.
func (f Finished) Passed(wave Wave, now time.Time) time.Duration {
	if f.Began.IsZero() {
		return 0
	}
	return min(max(now.Sub(f.Began), 0), wave.Duration)
}

// Check accepts every list.
func (f Finished) Check() error { return nil }

// Tables are all that a decision is taken on.
type Tables struct {
	Now time.Time
	// Started is when the controller took over.
	Started time.Time
	// First tells that no controller came before: machines and pools are only starting.
	First    bool
	Machines []Machine
	// Spare is the pool of machines that are off.
	Spare apfleet.ServiceName
	Waves []Wave
	// Since is when a wave was first seen.
	Since       map[int]time.Time
	Finished    map[int]Finished
	Disruptions map[Name]Disruption
	Pools       map[apfleet.ServiceName]Pool
	// UpSince is when a machine was first listed as up in its present life.
	UpSince map[Name]time.Time
	// Awaiting holds the machines that a wave has not maintained yet.
	Awaiting map[Name]bool
	// Wants and Sizes are kept from decision to decision.
	Wants map[apfleet.ServiceName]Want
	// Trends holds how each pool's queue grows.
	Trends map[apfleet.ServiceName]Trend
	Sizes  map[apfleet.ServiceName]int
}

// Action is a step to be carried out.
type Action interface{ action() }

// Open begins to empty a machine.
type Open struct{ Disruption Disruption }

// Close ends a disruption that is done or no longer wanted.
type Close struct {
	Machine Name
	Why     string
}

// Carry orders the platform to do what an emptied machine was emptied for.
type Carry struct{ Disruption Disruption }

// Complete tells the operator that a wave is done.
type Complete struct{ Wave int }

func (Open) action()     {}
func (Close) action()    {}
func (Carry) action()    {}
func (Complete) action() {}
