package apmachine

import (
	"slices"

	"auburnport/pkg/apfleet"
)

// takeLabelled removes from the spare machines and returns one for each label that the pool lacks, unless a machine that remains in the
// pool has it: one on its way, or one whose worker is about to report.
func (t *Tables) takeLabelled(pool apfleet.ServiceName, spare *[]Machine) []Machine {
	var taken []Machine
	for _, label := range t.Pools[pool].MissingLabels {
		hasLabel := func(m Machine) bool { return slices.Contains(m.Labels, label) }
		if slices.ContainsFunc(taken, hasLabel) || slices.ContainsFunc(t.remaining(pool), hasLabel) {
			continue
		}
		if i := slices.IndexFunc(*spare, hasLabel); i >= 0 {
			taken = append(taken, (*spare)[i])
			*spare = slices.Delete(slices.Clone(*spare), i, i+1)
		}
	}
	return taken
}

// remaining returns the machines that a pool has and doesn't give away, and those on their way to it.
func (t *Tables) remaining(pool apfleet.ServiceName) []Machine {
	var machines []Machine
	for _, m := range t.Machines {
		target := m.Pool
		if d, disrupted := t.Disruptions[m.Name]; disrupted && d.Kind == KindMove {
			target = d.Target
		}
		if target == pool && (m.Pool != pool || t.countsForPool(m)) {
			machines = append(machines, m)
		}
	}
	return machines
}

// withoutLastLabelled returns the movable machines of a pool that may leave it together: for each label that its jobs require,
// one machine that has it stays.
func (t *Tables) withoutLastLabelled(pool apfleet.ServiceName, movable []Machine) []Machine {
	p := t.Pools[pool]
	if len(p.Labels) == 0 {
		return movable
	}
	staying := make(map[string]int)
	for _, m := range t.Machines {
		_, working := p.ReservedCPU[m.Worker]
		if _, disrupted := t.Disruptions[m.Name]; m.Pool == pool && m.State == StateUp && working && !disrupted {
			for _, label := range m.Labels {
				staying[label]++
			}
		}
	}
	var leaving []Machine
	for _, m := range movable {
		isLast := func(label string) bool { return staying[label] == 1 && slices.Contains(p.Labels, label) }
		if slices.ContainsFunc(m.Labels, isLast) {
			continue
		}
		for _, label := range m.Labels {
			staying[label]--
		}
		leaving = append(leaving, m)
	}
	return leaving
}
