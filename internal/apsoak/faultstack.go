package apsoak

import "sync"

// FaultStack holds the faults that are active on each target, so that the end of one doesn't clear another one. The zero
// value is empty.
type FaultStack struct {
	mu     sync.Mutex
	active map[string][]activeFault
}

type activeFault struct {
	// step is the number of the step that the fault belongs to, apply puts it in force.
	step  int
	apply func()
}

// Begin puts the fault of a step in force on a target.
func (f *FaultStack) Begin(target string, step int, apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.active = make(map[string][]activeFault)
	}
	f.active[target] = append(f.active[target], activeFault{step: step, apply: apply})
	apply()
}

// End ends the fault of a step on a target: the newest of the others is put in force again, or the target is cleared. The end
// of a fault that another one hides changes nothing.
func (f *FaultStack) End(target string, step int, remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.active[target]
	for i, fault := range faults {
		if fault.step != step {
			continue
		}
		hidden := i < len(faults)-1
		faults = append(faults[:i:i], faults[i+1:]...)
		f.active[target] = faults
		switch {
		case hidden:
		case len(faults) > 0:
			faults[len(faults)-1].apply()
		default:
			remove()
		}
		return
	}
}
