// Package apjob defines jobs, their steps and tasks, and the progress of a job that the owner of its shard
// stores.
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
	// MaxSpecBytes is the platform's limit on the size of a job's specification.
	MaxSpecBytes = 4000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 256
	// MaxTasks is the maximum number of tasks of all occurrences that have begun and aren't done, so that the progress
	// fits in one value of the store. An occurrence that is due waits until there is room for it.
	MaxTasks = 10_000
	// idDigits is the number of hexadecimal digits of a job ID.
	idDigits = 16
)

// ID identifies a job: 16 hexadecimal digits, chosen by the caller.
type ID string

// Queue is the name of a queue to which jobs are submitted.
type Queue string

// WorkerID identifies a worker. It normally changes when the worker restarts; if it is reused, StartedAt in
// apworker.Info tells the incarnations apart.
type WorkerID string

// CheckID returns a BadJob error unless id has 16 hexadecimal digits.
func CheckID(id ID) error {
	if len(id) != idDigits {
		return apcode.Errorf(apcode.BadJob, "job ID %q must have %d hexadecimal digits", id, idDigits)
	}
	for _, r := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return apcode.Errorf(apcode.BadJob, "job ID %q has a character that is not a hexadecimal digit", id)
		}
	}
	return nil
}

// Resources is an amount of CPU, memory and GPUs: the need of a task or the capacity of a worker.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	GPU    int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Fits reports whether r covers need.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks; at least 1.
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of the duration of a task; 0 means none.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the earlier steps that this step depends on.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that the tasks save checkpoints, from which a later run can resume.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks can only run all at the same time (gang scheduling).
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack means that the tasks take longer if they are on different racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label, if set, is a label that a worker must have to run the tasks.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack, if set, is the rack on which the tasks run fastest.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on the same worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative means that the caller allows several copies of a task to run in parallel. The scheduler runs one.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the tail latency that serving tasks must stay below; 0 means none.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Backfill tasks use the CPU left idle by other tasks; their CPU need is not reserved on the worker.
	Backfill bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the step's availability budget: how many of its long-running tasks may be unavailable at the
	// same time because of planned moves; 0 counts as 1.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) Reserved() Resources {
	need := s.Need
	if s.Backfill {
		need.CPU = 0
	}
	return need
}

// Job is the definition of a job, a graph of steps, as submitted. It is immutable.
type Job struct {
	ID    ID     `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint,omitempty"`
	// Steps are in topological order: each depends only on earlier ones.
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is the number of scheduled occurrences, each of which runs all steps: at First, then at intervals of
	// Every. 0 means that the job has no schedule and runs once, as soon as possible.
	Repeat int           `cbor:"5,keyasint,omitempty"`
	First  time.Time     `cbor:"6,keyasint,omitempty"`
	Every  time.Duration `cbor:"7,keyasint,omitempty"`
	// Submitted is the wall-clock time at which an entry accepted the job.
	Submitted time.Time `cbor:"8,keyasint"`
	// Terms are zero for a job that was accepted by an entry older than the field.
	Terms Terms `cbor:"9,keyasint,omitzero"`
}

// Terms are the settings of a job's queue when it accepted the job.
type Terms struct {
	// MaxAttempts is the number of failed runs of a task after which the job fails; 0 if it isn't known.
	MaxAttempts int `cbor:"1,keyasint,omitempty"`
	// Stretch and Slack set the soft deadline of the job, counted from its submission: Stretch times the estimated
	// duration of its critical path, plus Slack.
	Stretch float64       `cbor:"2,keyasint,omitempty"`
	Slack   time.Duration `cbor:"3,keyasint,omitempty"`
	// Priority and NeedsTicket hold only once the queue is removed.
	Priority int `cbor:"4,keyasint,omitempty"`
	// NeedsTicket means that a task may start only with a ticket from the queue's advisor.
	NeedsTicket bool `cbor:"5,keyasint,omitempty"`
}

// Check returns a BadJob error if the job is invalid.
func (j Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	if len(j.Spec) > MaxSpecBytes {
		return apcode.Errorf(apcode.BadJob, "the specification has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return apcode.Errorf(apcode.BadJob, "the job has %d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repeat < 0 || j.Repeat > 0 && j.Every < 0 {
		return apcode.Errorf(apcode.BadJob, "the repeat count or the interval of the schedule is negative")
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.Steps[n].check(n); err != nil {
			return err
		}
		tasks += j.Steps[n].Count
	}
	if tasks > MaxTasks {
		return apcode.Errorf(apcode.BadJob, "the job has %d tasks; at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	tasks := 0
	for n := range j.Steps {
		tasks += j.Steps[n].Count
	}
	return tasks
}

// CheckAcceptable returns a BadJob error if a job that passes Check could need more than the store or a clock can hold: all
// times of a schedule must be representable, and the tasks that are never done must fit in one record.
func (j *Job) CheckAcceptable() error {
	if j.Repeat == 0 {
		return nil
	}
	if j.First.Year() > maxYear || j.Every > 0 && int64(j.Repeat) > int64(maxScheduleLength/j.Every) {
		return apcode.Errorf(apcode.BadJob, "the schedule goes on for more than %d years, or begins after the year %d", maxScheduleYears, maxYear)
	}
	for n := range j.Steps {
		if j.Steps[n].LongRunning && j.Repeat > MaxTasks/j.TaskCount() {
			return apcode.Errorf(apcode.BadJob, "%d times %d tasks with long-running ones are more than %d", j.Repeat, j.TaskCount(), MaxTasks)
		}
	}
	return nil
}

// Bounds of a schedule.
const (
	maxYear           = 9999
	maxScheduleYears  = 200
	maxScheduleLength = maxScheduleYears * 365 * 24 * time.Hour
)

func (s *Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return apcode.Errorf(apcode.BadJob, "step %d has %d tasks; 1 to %d are allowed", number, s.Count, MaxTasks)
	case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0:
		return apcode.Errorf(apcode.BadJob, "step %d: a resource need is negative", number)
	case s.Estimate < 0 || s.LatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return apcode.Errorf(apcode.BadJob, "step %d: the estimate, the latency target or a limit is negative", number)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return apcode.Errorf(apcode.BadJob, "step %d depends on step %d, which is not an earlier step", number, dependency)
		}
	}
	return nil
}

// OccurrenceTime returns the scheduled start time of an occurrence.
func (j *Job) OccurrenceTime(occurrence int) time.Time {
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job ID
	// Occurrence is the number of the occurrence, from 0; always 0 for a job without a schedule.
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID as JOB.OCCURRENCE.STEP.INDEX, the form used in messages to and from workers.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses the form returned by TaskID.String. Errors have the code BadMessage.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, apcode.Errorf(apcode.BadMessage, "task ID %.60q must have four parts", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, apcode.Errorf(apcode.BadMessage, "task ID %.60q has an invalid number", text)
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunKey identifies one run (attempt) of a task.
type RunKey struct {
	Task TaskID
	// Run is the number of the run, from 1. It increases with each start of the task.
	Run int
}

// StepID identifies a step in one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the ID as JOB.OCCURRENCE.STEP, the form used in messages to advisors.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// Task returns the ID of one of the step's tasks.
func (s StepID) Task(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}

// StepID returns the ID of the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }
