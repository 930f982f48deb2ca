package apjob

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburnport/pkg/apcode"
)

// NumberSet is a set of numbers from 0 in ascending ranges that neither overlap nor touch, if it was built with Add. A set
// from a record may be in any order. The zero value is empty.
type NumberSet []NumberRange

// NumberRange holds the numbers from First to Last.
type NumberRange struct {
	First, Last int
}

// Add adds the numbers of r.
func (s *NumberSet) Add(r NumberRange) {
	at, _ := slices.BinarySearchFunc(*s, r.First, func(have NumberRange, first int) int {
		return have.Last + 1 - first
	})
	end := at
	for ; end < len(*s) && (*s)[end].First <= r.Last+1; end++ {
		r = NumberRange{First: min(r.First, (*s)[end].First), Last: max(r.Last, (*s)[end].Last)}
	}
	*s = slices.Replace(*s, at, end, r)
}

// Len returns how many numbers a set built with Add has.
func (s NumberSet) Len() int {
	n := 0
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// Normalised returns the set with its ranges in order.
func (s NumberSet) Normalised() NumberSet {
	var ordered NumberSet
	for _, r := range s {
		ordered.Add(r)
	}
	return ordered
}

// MarshalCBOR encodes a range of one number as that number, as in records that hold a list of numbers.
func (r NumberRange) MarshalCBOR() ([]byte, error) {
	if r.First == r.Last {
		return cbor.Marshal(r.First)
	}
	return cbor.Marshal([2]int{r.First, r.Last})
}

// cborArray is the major type of an array, in the upper three bits of its first byte.
const cborArray = 4

// UnmarshalCBOR decodes a number, or an array of the first and the last one. Errors: BadMessage.
func (r *NumberRange) UnmarshalCBOR(data []byte) error {
	bounds := make([]int, 1)
	var err error
	if len(data) > 0 && data[0]>>5 == cborArray {
		err = cbor.Unmarshal(data, &bounds)
	} else {
		err = cbor.Unmarshal(data, &bounds[0])
		bounds = append(bounds, bounds[0])
	}
	if err != nil || len(bounds) != 2 || bounds[0] < 0 || bounds[1] < bounds[0] {
		return apcode.Errorf(apcode.BadMessage, "a range of numbers is invalid: %v", err)
	}
	*r = NumberRange{First: bounds[0], Last: bounds[1]}
	return nil
}
