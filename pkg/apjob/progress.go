package apjob

import "auburnport/pkg/apcode"

// State is the state of a job as callers see it.
type State uint8

// States of a job. Completed, Failed and Cancelled are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether s is a final state, which never changes.
func (s State) Final() bool { return s >= Completed }

// Check returns a BadMessage error if the state is unknown.
func (s State) Check() error {
	if s > Cancelled {
		return apcode.Errorf(apcode.BadMessage, "unknown job state %d", s)
	}
	return nil
}

// String returns the name of the state.
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

// Task is the stored progress of a task: what a new owner of the shard needs to continue.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done means that a run of the task succeeded; it is never reset. A long-running task is never done.
	Done bool
	// Run is the number of the latest run that may have been started.
	Run int
	// Worker is the worker that may have Run; empty once the run has ended.
	Worker WorkerID
	// Failed counts the failed runs.
	Failed int
	// Checkpoint is the latest checkpoint, from which the next run resumes.
	Checkpoint string
}

// HasEndedRun reports whether a run of the task succeeded or failed, which proves that one was started.
func (t *Task) HasEndedRun() bool { return t.Done || t.Failed > 0 }

// Occurrence is the progress of one execution of the job's steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	// Steps holds the tasks of each of the job's steps.
	Steps [][]Task
}

// Progress is the progress of a job.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Occurrences holds the occurrences that have begun and are not done.
	Occurrences []Occurrence `cbor:"2,keyasint,omitempty"`
	// Finished holds the numbers of the occurrences that are done.
	Finished NumberSet `cbor:"3,keyasint,omitempty"`
	// Ended is the Unix time in seconds, on the owner's clock, at which the state became final.
	Ended int64 `cbor:"4,keyasint,omitempty"`
}

// Check returns a BadMessage error if the record has a state unknown to this version.
func (p Progress) Check() error { return p.State.Check() }

// CheckProgress returns a BadMessage error unless each occurrence has the steps and tasks of the job.
func (j *Job) CheckProgress(p Progress) error {
	for i := range p.Occurrences {
		o := &p.Occurrences[i]
		fits := o.Number >= 0 && len(o.Steps) == len(j.Steps)
		for n := range o.Steps {
			fits = fits && len(o.Steps[n]) == j.Steps[n].Count
		}
		if !fits {
			return apcode.Errorf(apcode.BadMessage, "occurrence %d doesn't have the steps and tasks of job %s", o.Number, j.ID)
		}
	}
	return nil
}

// Done reports whether all tasks of the occurrence are done.
func (o *Occurrence) Done() bool {
	for n := range o.Steps {
		if !o.StepDone(n) {
			return false
		}
	}
	return true
}

// Ready reports whether a step has a task waiting to start and all steps it depends on are done.
func (o *Occurrence) Ready(def *Job, step int) bool {
	for _, dependency := range def.Steps[step].After {
		if !o.StepDone(dependency) {
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
