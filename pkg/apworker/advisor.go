package apworker

import (
	"context"
	"time"

	"auburnport/pkg/apjob"
)

// Advisor decides which workers may run a step under the queue's policy. It serves the calls of an entry one at a
// time, in order.
type Advisor interface {
	// Advise returns tickets for those of the given workers that may run the step. The decision for a worker never
	// changes. Errors: WorkerRefused (too many calls are waiting), WorkerSilent.
	Advise(ctx context.Context, step apjob.StepID, workers []apjob.WorkerID) (Advice, error)
}

// Advice is the answer of an advisor.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[apjob.WorkerID]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}
