package apmachine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmachine"
)

// label gives a label to machines.
func label(tables *apmachine.Tables, name string, machines ...apmachine.Name) {
	for i := range tables.Machines {
		for _, m := range machines {
			if tables.Machines[i].Name == m {
				tables.Machines[i].Labels = append(tables.Machines[i].Labels, name)
			}
		}
	}
}

// opened returns the machines that a plan begins to empty.
func opened(actions []apmachine.Action) map[apmachine.Name]bool {
	machines := make(map[apmachine.Name]bool)
	for _, action := range actions {
		if open, ok := action.(apmachine.OpenDisruption); ok {
			machines[open.Disruption.Machine] = true
		}
	}
	return machines
}

// Guards against a job that waits for ever, since the last machine of its pool with its label was given away.
func TestPoolKeepsOneMachineOfEachRequiredLabel(t *testing.T) {
	for name, required := range map[string][]string{"required": {"gpu"}, "not required": nil} {
		tables := newTables(map[apfleet.ServiceName]int{"a": 6}, 0)
		label(tables, "gpu", "m-a-00", "m-a-01")
		label(tables, "other", "m-a-02")
		report := tables.Pools["a"]
		report.Labels = required
		tables.Pools["a"] = report
		left := make(map[apmachine.Name]bool)
		for range 10 {
			actions := apmachine.Plan(tables)
			for m := range opened(actions) {
				left[m] = true
				tables.Disruptions[m] = apmachine.Disruption{Machine: m, Worker: "i-x", Pool: "a", Kind: apmachine.KindMove, Target: "spare"}
			}
			tables.Now = tables.Now.Add(time.Second)
		}
		assert.Equal(t, len(left), 2, name)
		assert.Equal(t, left["m-a-00"] && left["m-a-01"], required == nil, name)
	}
}

// Guards against a job that waits for ever although a spare machine has its label, and against taking more than one for it.
func TestPoolGetsSpareMachineWithMissingLabel(t *testing.T) {
	tables := newTables(map[apfleet.ServiceName]int{"a": 3, "b": 3}, 6)
	label(tables, "gpu", "m-spare-03", "m-spare-04")
	report := tables.Pools["a"]
	report.Labels, report.MissingLabels = []string{"gpu", "none"}, []string{"gpu", "none"}
	tables.Pools["a"] = report
	actions := apmachine.Plan(tables)
	executed, _ := movesByTarget(actions)
	assert.DeepEqual(t, executed, map[apfleet.ServiceName]int{"a": 1})
	order, ok := actions[0].(apmachine.ExecuteDisruption)
	assert.Assert(t, ok)
	assert.Equal(t, order.Disruption.Machine, apmachine.Name("m-spare-03"))
	assert.Equal(t, order.Disruption.Target, apfleet.ServiceName("a"))
	completeMove(tables, order.Disruption)
	tables.Now = tables.Now.Add(100 * time.Millisecond)
	executed, _ = movesByTarget(apmachine.Plan(tables))
	assert.Equal(t, len(executed), 0, "one is on its way")
}
