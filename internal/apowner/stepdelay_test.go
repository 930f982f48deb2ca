package apowner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apowner"
)

// Guards against a step for every event of a burst on a large pool: at 3,000 events per second and half a
// millisecond per step, steps would need more than a whole core and delay the orders of runs for seconds. Steps of
// up to 20 ms may take at most a quarter of the time, and no step is delayed by more than 60 ms.
func TestStepDelayBoundsCPUShare(t *testing.T) {
	assert.Equal(t, apowner.StepDelay(0), time.Duration(0))
	for _, duration := range []time.Duration{100 * time.Microsecond, time.Millisecond, 20 * time.Millisecond} {
		assert.Assert(t, duration <= (duration+apowner.StepDelay(duration))/4)
	}
	assert.Equal(t, apowner.StepDelay(time.Second), 60*time.Millisecond)
}
