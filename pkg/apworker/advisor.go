package apworker

import (
	"context"
	"time"

	"auburnport/pkg/apjob"
)

// Advisor knows which workers a queue's policy lets run a step. It serves one call of an entry at a
// time, in turn.
type Advisor interface {
	// Advise returns tickets for those of the workers that may run the step. Which they are never
	// changes. Errors: WorkerRefused (too many calls wait), WorkerSilent.
	Advise(ctx context.Context, step apjob.StepID, workers []apjob.WorkerID) (Advice, error)
}

// Advice is an advisor's answer.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[apjob.WorkerID]string
	// Valid is how long the tickets hold.
	Valid time.Duration
}
