package apsoak_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
)

// The same seed always gives the same script.
func TestScriptIsDeterministic(t *testing.T) {
	options := apsoak.Options{Duration: 20 * time.Second}
	first := apsoak.GenerateScript(options, rand.New(rand.NewPCG(7, 0)))
	assert.DeepEqual(t, first, apsoak.GenerateScript(options, rand.New(rand.NewPCG(7, 0))))
	assert.Assert(t, len(first) >= 10, "one fault for each two seconds")
	var last time.Duration
	for _, step := range first {
		assert.Assert(t, step.At >= last && step.At+step.Duration <= options.Duration, "%v", step)
		last = step.At
	}
}

// The same seed always gives the same jobs, with the same features at the same times.
func TestLoadIsDeterministic(t *testing.T) {
	options := apsoak.Options{Duration: 10 * time.Second, Rate: 6, Seed: 7}
	script := apsoak.GenerateScript(options, rand.New(rand.NewPCG(7, 0)))
	first := apsoak.GenerateLoad(options, script)
	assert.DeepEqual(t, first, apsoak.GenerateLoad(options, script))
	var last time.Duration
	for _, arrival := range first {
		assert.NilError(t, arrival.Submission.Job.Check())
		assert.Assert(t, arrival.At >= last && arrival.At < options.Duration, "%v", arrival)
		last = arrival.At
	}
	other := options
	other.Seed = 8
	assert.Assert(t, first[0].Submission.Job.ID != apsoak.GenerateLoad(other, script)[0].Submission.Job.ID)
}

// The scripts of a few seeds together contain every kind of step, and steps that overlap.
func TestScriptsCoverAllKinds(t *testing.T) {
	options := apsoak.Options{Duration: 20 * time.Second}
	kinds := make(map[apsoak.Kind]bool)
	overlaps := 0
	for seed := range uint64(20) {
		options.Seed = seed
		script := apsoak.GenerateScript(options, rand.New(rand.NewPCG(seed, 0)))
		for i, step := range script {
			kinds[step.Kind] = true
			if i > 0 && script[i-1].At+script[i-1].Duration > step.At {
				overlaps++
			}
		}
	}
	assert.Equal(t, len(kinds), int(apsoak.KindWave)+1)
	assert.Assert(t, overlaps > 20)
}

// A soak whose entries can't be started returns the error, and Run doesn't block on what was started before.
func TestSoakReportsMissingBinary(t *testing.T) {
	soak := apsoak.New(apsoak.WithOptions(func(o *apsoak.Options) {
		o.Seed, o.Binary, o.Dir, o.Nodes = 1, "does-not-exist", t.TempDir(), 2
	}))
	_, err := soak.Run(t.Context(), &bytes.Buffer{})
	assert.ErrorContains(t, err, "does-not-exist")
}
