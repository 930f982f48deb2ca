package apscheduler

import (
	"fmt"
	"slices"
	"strings"

	"auburnport/pkg/apjob"
)

// firstDelayMs returns the time in milliseconds from the submission of a scheduled job to its first
// occurrence; 0 for a job without a schedule.
func firstDelayMs(def *apjob.Job) int64 {
	if def.Repeat == 0 {
		return 0
	}
	return def.First.Sub(def.Submitted).Milliseconds()
}

// stepSizes formats each step for the log as COUNTxCPU/MEMORY followed by its label, with the CPU of a task
// in thousandths of a core and its memory in megabytes.
func stepSizes(def *apjob.Job) string {
	var sizes []string
	for n := range def.Steps {
		step := &def.Steps[n]
		sizes = append(sizes, fmt.Sprintf("%dx%d/%d%s", step.Count, step.Need.CPU, step.Need.Memory, step.Label))
	}
	return strings.Join(sizes, ",")
}

// stepKinds lists the special properties of a job's steps for the log.
func stepKinds(def *apjob.Job) string {
	var kinds []string
	for n := range def.Steps {
		step := &def.Steps[n]
		for _, kind := range []struct {
			is   bool
			name string
		}{
			{step.LongRunning, "LongRunning"},
			{step.Backfill, "Backfill"},
			{step.LatencyTarget > 0, "Serving"},
			{step.Gang, "Gang"},
			{step.SameRack, "SameRack"},
			{step.Checkpoints, "Checkpoints"},
			{step.Speculative, "Speculative"},
			{step.MaxPerWorker > 0, fmt.Sprintf("MaxPerWorker%d", step.MaxPerWorker)},
			{step.MaxUnavailable > 0, fmt.Sprintf("MaxUnavailable%d", step.MaxUnavailable)},
		} {
			if kind.is && !slices.Contains(kinds, kind.name) {
				kinds = append(kinds, kind.name)
			}
		}
	}
	return strings.Join(kinds, ",")
}
