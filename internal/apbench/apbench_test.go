package apbench_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apbench"
	"auburnport/pkg/apcontrol"
)

func TestSlopeFitsALine(t *testing.T) {
	s := apbench.NewSlope("n", "x", "u", []apbench.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	assert.Assert(t, math.Abs(s.Intercept-3) < 1e-9)
	assert.Assert(t, math.Abs(s.Gradient-2) < 1e-9)
	assert.Assert(t, math.Abs(s.R2-1) < 1e-9)
}

func TestFleetAtRestNeedsNothing(t *testing.T) {
	tables := apbench.Tables(apbench.Size{VMs: 200, Entries: 3})
	assert.Equal(t, len(apcontrol.New().Step(tables)), 0)
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []apbench.Size{{VMs: 50, Entries: 9}, {VMs: 500, Entries: 9}, {VMs: 2000, Entries: 36}} {
		b.Run(fmt.Sprint(size.VMs), func(b *testing.B) {
			tables := apbench.Tables(size)
			control := apcontrol.New()
			b.ReportAllocs()
			for b.Loop() {
				tables.Now = tables.Now.Add(200 * time.Millisecond)
				control.Step(tables)
			}
		})
	}
}
