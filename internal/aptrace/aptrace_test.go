package aptrace_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/internal/aptrace"
	"auburnport/pkg/apcode"
)

// TestPlannedRefusesNoMoreThanReactive replays every family with turns shorter than, near and longer
// than the length from which a move pays off. The family Uneven is held out: the policy must not be
// tuned on it.
func TestPlannedRefusesNoMoreThanReactive(t *testing.T) {
	for _, family := range aptrace.Families() {
		for _, turn := range []float64{8, 16, 60, 600} {
			t.Run(fmt.Sprintf("%s/%g", family, turn), func(t *testing.T) {
				trace, err := aptrace.Generate(family, 1, turn, 4, 1)
				assert.NilError(t, err)
				results := aptrace.Compare(trace)
				static, reactive, planned := results[0], results[1], results[2]
				assert.Assert(t, planned.ShortfallHours <= reactive.ShortfallHours, "%v", results)
				assert.Equal(t, planned.BudgetBreaches, 0)
				assert.Equal(t, static.Moves, 0)
			})
		}
	}
}

func TestPlannedMovesNothingWhenMovesCannotPayOff(t *testing.T) {
	for _, family := range []string{"Turns", "RackLost", "FalseBurst"} {
		trace, err := aptrace.Generate(family, 2, 8, 4, 1)
		assert.NilError(t, err)
		planned := aptrace.Compare(trace)[2]
		assert.Equal(t, planned.Moves, 0, "%s", family)
	}
}

func TestMissedExpectationsAreReported(t *testing.T) {
	trace, err := aptrace.Generate("Turns", 1, 60, 4, 1)
	assert.NilError(t, err)
	trace.Expectations = []aptrace.Expectation{{Measure: aptrace.MeasureShortfall, AtMost: 1}, {Measure: aptrace.MeasureMoves, AtMost: 0.01}}
	data, err := json.Marshal(trace)
	assert.NilError(t, err)
	parsed, err := aptrace.Parse(data)
	assert.NilError(t, err)
	missed := aptrace.MissedExpectations(parsed, aptrace.Compare(parsed))
	assert.DeepEqual(t, missed, trace.Expectations[1:])
}

func TestParseRejectsInvalidTraces(t *testing.T) {
	for _, text := range []string{
		`{`, `{}`, `{"StepSeconds":1,"Seconds":1,"Pools":[{"Pool":"a"}],"Demand":[{"At":0,"Needs":[1,2]}]}`,
		`{"StepSeconds":1,"Seconds":1,"Pools":[{"Pool":"a"}],"Outcomes":[{"Measure":"Luck"}]}`,
	} {
		_, err := aptrace.Parse([]byte(text))
		assert.Assert(t, apcode.Is(err, apcode.BadValue), "%s: %v", text, err)
	}
}
