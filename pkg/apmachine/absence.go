package apmachine

import "time"

const (
	// removalDelay is how long listings must have omitted a machine for it to count as removed. It is longer than the
	// move or upkeep of a machine, since such changes shift the pages of a listing while it is read.
	removalDelay = 3 * time.Second
	// minAbsentListings is the minimum number of these listings, so that a time without listings proves nothing.
	minAbsentListings = 3
)

// Absence describes the consecutive listings that have omitted a machine, up to the last one.
type Absence struct {
	// First and Last are when the first and the last of these listings began.
	First, Last time.Time
	Listings    int
}

// SetMachines sets the platform's list, which must be complete and sorted by name. at is when its reading began.
// The pages of a list are not a snapshot, so it may omit a machine that stays.
func (t *Tables) SetMachines(machines []Machine, at time.Time) {
	t.Machines = machines
	absences := make(map[Name]Absence)
	note := func(name Name) {
		if _, listed := findMachine(machines, name); listed {
			return
		}
		a := t.Absences[name]
		if a.Listings == 0 {
			a.First = at
		}
		absences[name] = Absence{First: a.First, Last: at, Listings: a.Listings + 1}
	}
	for _, wave := range t.Waves {
		for _, name := range wave.Machines {
			note(name)
		}
	}
	for name := range t.Disruptions {
		note(name)
	}
	t.Absences = absences
}

// isRemoved reports whether the platform has removed a machine for good, as far as listings can tell.
func (t *Tables) isRemoved(name Name) bool {
	a := t.Absences[name]
	return a.Listings >= minAbsentListings && a.Last.Sub(a.First) >= removalDelay
}
