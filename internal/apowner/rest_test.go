package apowner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apowner"
)

// A burst on a large pool: steps of half a millisecond for each of 3,000 events a second took more than the
// processor, and runs stood unordered for seconds. Steps take a quarter of it at most, and wait 60 ms at most.
func TestStepsLeaveTheProcessorToCalls(t *testing.T) {
	assert.Equal(t, apowner.Rest(0), time.Duration(0))
	for _, took := range []time.Duration{100 * time.Microsecond, time.Millisecond, 20 * time.Millisecond} {
		assert.Assert(t, took <= (took+apowner.Rest(took))/4)
	}
	assert.Equal(t, apowner.Rest(time.Second), 60*time.Millisecond)
}
