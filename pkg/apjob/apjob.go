// Package apjob holds the entities of batch work: jobs, their steps and tasks, and the progress that
// an owner keeps of them.
package apjob

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"auburnport/pkg/apcode"
)

// Limits of a job.
const (
	// MaxSpecBytes is the platform's bound on a specification.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 256
	// MaxTasks bounds the tasks of one occurrence, so that its progress fits one value.
	MaxTasks = 10_000
	// idDigits is the length of a job's id, in hexadecimal digits.
	idDigits = 16
)

// ID names a job: 16 hexadecimal digits, chosen by the caller.
type ID string

// Queue names the queue that a job was submitted to.
type Queue string

// WorkerID names one life of a worker.
type WorkerID string

// CheckID returns BadJob unless id has 16 hexadecimal digits.
func CheckID(id ID) error {
	if len(id) != idDigits {
		return apcode.Errorf(apcode.BadJob, "id %q has not %d hexadecimal digits", id, idDigits)
	}
	for _, r := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return apcode.Errorf(apcode.BadJob, "id %q is not hexadecimal", id)
		}
	}
	return nil
}

// Resources are what a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	GPU    int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Fits reports whether need is within r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Step is a set of equal tasks.
type Step struct {
	// Count is at least 1.
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's guess of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tells that the tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tells that tasks on several racks run longer.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label, when set, must be among the worker's.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack, when set, is where the tasks run fastest.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task in parallel.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the tail latency that serving tasks must stay below; 0 means none.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Backfill tasks use processor time that others leave; it is not counted against the worker.
	Backfill bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks may be away by our doing.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved is what a task of the step takes from a worker's capacity.
func (s *Step) Reserved() Resources {
	need := s.Need
	if s.Backfill {
		need.CPU = 0
	}
	return need
}

// Job is a graph of steps as it was submitted. It never changes.
type Job struct {
	ID    ID     `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint,omitempty"`
	// Steps refer only to earlier steps.
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is how often the steps run at set times; 0 means once and at once.
	Repeat int           `cbor:"5,keyasint,omitempty"`
	First  time.Time     `cbor:"6,keyasint,omitempty"`
	Every  time.Duration `cbor:"7,keyasint,omitempty"`
	// Submitted is the time of day at the entry that accepted the job.
	Submitted time.Time `cbor:"8,keyasint"`
}

// Check returns BadJob when the job can't be run as it stands.
func (j Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	if len(j.Spec) > MaxSpecBytes {
		return apcode.Errorf(apcode.BadJob, "the specification has %d bytes, over %d", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return apcode.Errorf(apcode.BadJob, "%d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repeat < 0 || j.Repeat > 0 && j.Every < 0 {
		return apcode.Errorf(apcode.BadJob, "the schedule is negative")
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.Steps[n].check(n); err != nil {
			return err
		}
		tasks += j.Steps[n].Count
	}
	if tasks > MaxTasks {
		return apcode.Errorf(apcode.BadJob, "%d tasks, over %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return apcode.Errorf(apcode.BadJob, "step %d: count %d is not within 1 to %d", number, s.Count, MaxTasks)
	case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0:
		return apcode.Errorf(apcode.BadJob, "step %d: a resource is negative", number)
	case s.Estimate < 0 || s.LatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return apcode.Errorf(apcode.BadJob, "step %d: a bound is negative", number)
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return apcode.Errorf(apcode.BadJob, "step %d comes after step %d, which is not an earlier one", number, before)
		}
	}
	return nil
}

// OccurrenceTime returns when an occurrence may start.
func (j *Job) OccurrenceTime(occurrence int) time.Time {
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// TaskID names a task of a job.
type TaskID struct {
	Job ID
	// Occurrence is 0 for a job without a schedule.
	Occurrence int
	Step       int
	Index      int
}

// String returns the form that workers use.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads the form that workers use. Errors carry BadMessage.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, apcode.Errorf(apcode.BadMessage, "task %q has not four parts", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, apcode.Errorf(apcode.BadMessage, "task %q has a bad number", text)
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunKey names one run of a task.
type RunKey struct {
	Task TaskID
	// Run rises with each start of the task, from 1.
	Run int
}

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the form that advisors use.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// Of returns the step of a task.
func (t TaskID) Of() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }
