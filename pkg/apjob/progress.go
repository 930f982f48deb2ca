package apjob

import "auburnport/pkg/apcode"

// State is what callers are shown of a job.
type State uint8

// States of a job. Completed, Failed and Cancelled are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

// Check returns BadMessage for an unknown state.
func (s State) Check() error {
	if s > Cancelled {
		return apcode.Errorf(apcode.BadMessage, "state %d is unknown", s)
	}
	return nil
}

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Pending:
		return "Pending"
	case Running:
		return "Running"
	case Completed:
		return "Completed"
	case Failed:
		return "Failed"
	case Cancelled:
		return "Cancelled"
	default:
		return "Unknown"
	}
}

// Task is what must be known of a task by the next owner.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done is final.
	Done bool
	// Run is the highest run that may have been ordered.
	Run int
	// Worker is where Run may be; empty when the run has ended.
	Worker WorkerID
	// Failed counts the runs that ended as failed.
	Failed int
	// Checkpoint is where the next run resumes.
	Checkpoint string
}

// HasEndedRun reports whether a run of the task has ended by itself, so that one has certainly started.
func (t *Task) HasEndedRun() bool { return t.Done || t.Failed > 0 }

// Occurrence is the progress of one pass through the steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	// Steps has the shape of the job's steps.
	Steps [][]Task
}

// Progress is the progress of a job.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Occurrences are those that have begun and are not done.
	Occurrences []Occurrence `cbor:"2,keyasint,omitempty"`
	// Finished lists the occurrences that are done.
	Finished []int `cbor:"3,keyasint,omitempty"`
	// Ended is the owner's Unix time in seconds when the state became final.
	Ended int64 `cbor:"4,keyasint,omitempty"`
}

// Check returns BadMessage for a record that this version can't read.
func (p Progress) Check() error { return p.State.Check() }

// Done reports whether all tasks are done.
func (o *Occurrence) Done() bool {
	for n := range o.Steps {
		if !o.StepDone(n) {
			return false
		}
	}
	return true
}

// Ready reports whether a step has a task to start and all steps before it are done.
func (o *Occurrence) Ready(def *Job, step int) bool {
	for _, before := range def.Steps[step].After {
		if !o.StepDone(before) {
			return false
		}
	}
	for k := range o.Steps[step] {
		if !o.Steps[step][k].Done && o.Steps[step][k].Worker == "" {
			return true
		}
	}
	return false
}

// StepDone reports whether all tasks of a step are done.
func (o *Occurrence) StepDone(step int) bool {
	for k := range o.Steps[step] {
		if !o.Steps[step][k].Done {
			return false
		}
	}
	return true
}
