package apsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// scenario is a fixed sequence of events that checks one guarantee.
type scenario struct {
	name string
	// prepare changes the emulator's options. It may be nil.
	prepare func(*apemulator.Options)
	// moves means that the entries may move machines between pools. Otherwise the pools keep theirs.
	moves bool
	// queues are those of the first version of the configuration.
	queues []apemulator.QueueSpec
	// play plays the events. Every accepted job must then get done, as at the end of a drawn run.
	play func(context.Context, *scene) error
}

// ScenarioNames returns the names of the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, sc := range scenarios() {
		names = append(names, sc.name)
	}
	return names
}

// scenarioNodes is the number of entries in a scenario.
const scenarioNodes = 3

// PlayScenario plays a scenario against new entries. Of the options it uses Binary, Dir, KeepLogs and FirstHost. Errors: BadValue if there is none with the name, and those of Run.
func PlayScenario(ctx context.Context, name string, opt Option, progress io.Writer) (Report, error) {
	for _, sc := range scenarios() {
		if sc.name == name {
			given, options := defaultOptions(), defaultOptions()
			opt(&given)
			options.Binary, options.Dir, options.KeepLogs, options.FirstHost = given.Binary, given.Dir, given.KeepLogs, given.FirstHost
			options.Nodes = scenarioNodes
			s := &Soak{options: options, scenario: &sc, configs: newConfigVersions(), tracker: newTracker()}
			return s.Run(ctx, progress)
		}
	}
	return Report{}, apcode.Errorf(apcode.BadValue, "there is no scenario %q", name)
}

// scene is a scenario that is being played.
type scene struct {
	*Soak
	load     *loadGenerator
	progress io.Writer
	jobCount int
}

// playScenario plays the soak's scenario instead of a drawn run.
func (s *Soak) playScenario(ctx context.Context, progress io.Writer) error {
	sc := &scene{Soak: s, load: newLoadGenerator(s), progress: progress}
	if err := s.scenario.play(ctx, sc); err != nil {
		return err
	}
	return s.awaitCompletion(ctx, sc.load)
}

// log prints an event of the scenario.
func (s *scene) log(format string, args ...any) {
	if s.progress != nil {
		_, _ = fmt.Fprintf(s.progress, "%6.2f s %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// newJob returns a job of one step.
func (s *scene) newJob(q apemulator.QueueSpec, duration time.Duration, step apjob.Step) apemulator.Submission {
	s.jobCount++
	id := apjob.ID(fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+s.jobCount))
	return apemulator.Submission{
		Job:     apjob.Job{ID: id, Queue: apjob.Queue(q.Name), Spec: "spec of " + string(id), Steps: []apjob.Step{step}},
		Service: q.Service, TaskDuration: duration,
	}
}

// submit submits a job to an entry. A job that isn't accepted makes the scenario fail.
func (s *scene) submit(ctx context.Context, entry int, q apemulator.QueueSpec, submission apemulator.Submission) {
	outcome := s.load.caller.Submit(ctx, s.entries[entry].callersAddress, q, submission)
	s.log("job %s submitted to %s: status %d", submission.Job.ID, s.entries[entry].name, outcome.Status)
	if outcome.Status != http.StatusOK {
		s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, submission.Job.ID, "its POST was answered with status %d by an undisturbed entry", outcome.Status)
	}
}

// awaitStarts waits until a number of runs have started since the scenario's start. Otherwise the scenario fails.
func (s *scene) awaitStarts(ctx context.Context, starts int) {
	if !s.poll(ctx, s.options.FinishTimeout, func() bool { return s.emulator.Record.Counts().Starts >= starts }) {
		s.emulator.Record.AddViolation(apemulator.InvariantCompletion, "only %d of %d runs were started", s.emulator.Record.Counts().Starts, starts)
	}
	s.log("%d runs were started", s.emulator.Record.Counts().Starts)
}

// awaitState waits until a job is shown in a state, and reports whether it is. Otherwise the scenario fails.
func (s *scene) awaitState(ctx context.Context, q apemulator.QueueSpec, id apjob.ID, state apjob.State) bool {
	shown := s.poll(ctx, s.options.FinishTimeout, func() bool {
		return s.load.caller.Status(ctx, s.entries[0].callersAddress, q, id).State == state
	})
	if !shown {
		s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, id, "it isn't %s after %s", state, s.options.FinishTimeout)
	}
	return shown
}

// statusOnAll requests the state of a job from each entry; none may deny that there is such a job, nor show it as failed
// before it has used all attempts.
func (s *scene) statusOnAll(ctx context.Context, q apemulator.QueueSpec, id apjob.ID) {
	for _, p := range s.entries {
		outcome := s.load.caller.Status(ctx, p.callersAddress, q, id)
		s.log("job %s on %s: status %d, %s", id, p.name, outcome.Status, outcome.State)
		if outcome.Status != http.StatusOK || outcome.State == apjob.Failed {
			s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, id, "%s answers for the accepted job with status %d and state %s", p.name, outcome.Status, outcome.State)
		}
	}
}

// reconfigure commits a version of the configuration with the queues and waits until the entries must have it.
func (s *scene) reconfigure(ctx context.Context, queues ...apemulator.QueueSpec) error {
	if err := s.commit(ctx, s.configs.nextVersion(), queues); err != nil {
		return err
	}
	s.log("a new configuration with %d queues", len(queues))
	pause(ctx, configBound)
	return nil
}

// configBound is a little longer than the time within which entries must put a configuration in force.
const configBound = 2500 * time.Millisecond

var machinePattern = regexp.MustCompile(`\bm-[0-9]{3}\b`)

// machineOf returns the machine on which a run of a job was last started, by the job's history.
func (s *scene) machineOf(id apjob.ID) string {
	machine := ""
	for _, line := range s.emulator.Record.History(id) {
		if found := machinePattern.FindString(line); found != "" {
			machine = found
		}
	}
	return machine
}
