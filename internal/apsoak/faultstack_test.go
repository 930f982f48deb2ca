package apsoak_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
)

// Guards against a step whose end clears the fault of another step that is still active on the same target.
func TestEndOfStepLeavesFaultsOfOthers(t *testing.T) {
	for name, c := range map[string]struct {
		ends []int
		want []string
	}{
		"older ends first": {ends: []int{1, 2}, want: []string{"second", "none"}},
		"newer ends first": {ends: []int{2, 1}, want: []string{"first", "none"}},
	} {
		state := "none"
		set := func(to string) func() { return func() { state = to } }
		faults := &apsoak.FaultStack{}
		faults.Begin("link", 1, set("first"))
		faults.Begin("link", 2, set("second"))
		faults.Begin("another", 3, func() {})
		for i, step := range c.ends {
			faults.End("link", step, set("none"))
			assert.Equal(t, state, c.want[i], "%s", name)
		}
		faults.End("link", 1, set("ended twice"))
		assert.Equal(t, state, "none", "%s", name)
	}
}
