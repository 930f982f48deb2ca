package apsoak_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
)

// A seed stands for one script, whatever the machine does.
func TestScriptFollowsFromItsSeed(t *testing.T) {
	options := apsoak.Options{Duration: 20 * time.Second}
	first := apsoak.Script(options, rand.New(rand.NewPCG(7, 0)))
	assert.DeepEqual(t, first, apsoak.Script(options, rand.New(rand.NewPCG(7, 0))))
	assert.Assert(t, len(first) >= 10, "one fault for each two seconds")
	var last time.Duration
	for _, step := range first {
		assert.Assert(t, step.At >= last && step.At+step.For <= options.Duration, "%v", step)
		last = step.At
	}
}

// Every kind of fault, and faults that overlap, come within some seeds.
func TestScriptsCoverAllKinds(t *testing.T) {
	options := apsoak.Options{Duration: 20 * time.Second}
	kinds := make(map[apsoak.Kind]bool)
	overlaps := 0
	for seed := range uint64(20) {
		script := apsoak.Script(options, rand.New(rand.NewPCG(seed, 0)))
		for i, step := range script {
			kinds[step.Kind] = true
			if i > 0 && script[i-1].At+script[i-1].For > step.At {
				overlaps++
			}
		}
	}
	assert.Equal(t, len(kinds), int(apsoak.KindWave)+1)
	assert.Assert(t, overlaps > 20)
}

// A soak whose entries can't be started says so, and leaves nothing behind that waits.
func TestSoakNeedsItsProgram(t *testing.T) {
	soak := apsoak.New(apsoak.WithOptions(func(o *apsoak.Options) {
		o.Seed, o.Binary, o.Dir, o.Nodes = 1, "does-not-exist", t.TempDir(), 2
	}))
	_, err := soak.Run(t.Context(), &bytes.Buffer{})
	assert.ErrorContains(t, err, "does-not-exist")
}
