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

func TestFitLineRecoversExactLine(t *testing.T) {
	f := apbench.FitLine("n", "x", "u", []apbench.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	assert.Assert(t, math.Abs(f.Intercept-3) < 1e-9)
	assert.Assert(t, math.Abs(f.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(f.R2-1) < 1e-9)
}

// The benchmarks measure ticks at steady state, so the controller must have no work to do on SteadyState.
func TestSteadyStateNeedsNoControlActions(t *testing.T) {
	tables := apbench.SteadyState(apbench.FleetSize{VMs: 200, Entries: 3})
	assert.Equal(t, len(apcontrol.New().Step(tables)), 0)
}

// tickInterval is the time between control ticks, as controlInterval of package apdaemon.
const tickInterval = 200 * time.Millisecond

// BenchmarkTick measures one tick of the controller at steady state.
func BenchmarkTick(b *testing.B) {
	for _, size := range []apbench.FleetSize{{VMs: 50, Entries: 9}, {VMs: 500, Entries: 9}, {VMs: 2000, Entries: 36}} {
		b.Run(fmt.Sprint(size.VMs), func(b *testing.B) {
			tables := apbench.SteadyState(size)
			control := apcontrol.New()
			b.ReportAllocs()
			for b.Loop() {
				tables.Now = tables.Now.Add(tickInterval)
				control.Step(tables)
			}
		})
	}
}
