package apjob_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
)

func TestNumberSetHoldsWhatWasAdded(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var set apjob.NumberSet
		added := make(map[int]bool)
		for range 60 {
			first := random.IntN(100)
			r := apjob.NumberRange{First: first, Last: first + random.IntN(3)}
			set.Add(r)
			for n := r.First; n <= r.Last; n++ {
				added[n] = true
			}
			assert.Equal(t, set.Len(), len(added), "seed %d", seed)
		}
		for i, r := range set {
			assert.Assert(t, i == 0 || set[i-1].Last+1 < r.First, "seed %d: %v", seed, set)
			for n := r.First; n <= r.Last; n++ {
				assert.Assert(t, added[n])
			}
		}
	}
}

func TestFinishedOccurrencesOfEarlierRecordsAreRead(t *testing.T) {
	type earlier struct {
		State    apjob.State `cbor:"1,keyasint"`
		Finished []int       `cbor:"3,keyasint,omitempty"`
	}
	var progress apjob.Progress
	assert.NilError(t, apfleet.Decode(apfleet.Encode(earlier{State: apjob.Running, Finished: []int{3, 0, 1, 7, 2}}), &progress))
	assert.DeepEqual(t, progress.Finished.Normalised(), apjob.NumberSet{{First: 0, Last: 3}, {First: 7, Last: 7}})
	for _, odd := range []any{[]any{-1}, []any{[]int{3, 1}}, []any{[]int{1, 2, 3}}, []any{"a"}} {
		data := apfleet.Encode(map[int]any{1: 1, 3: odd})
		assert.Equal(t, apcode.Of(apfleet.Decode(data, &progress)), apcode.BadMessage, "%v", odd)
	}
}

func TestScheduleOfManyTimesKeepsSmallRecord(t *testing.T) {
	var progress apjob.Progress
	for n := range 1_000_000 {
		progress.Finished.Add(apjob.NumberRange{First: n, Last: n})
	}
	assert.Assert(t, len(apfleet.Encode(progress)) < 100)
}
