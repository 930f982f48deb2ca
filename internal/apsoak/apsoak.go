// Package apsoak runs entries as processes against the emulated platform, puts load on them, injects faults from
// outside the processes, and checks the invariants that the emulator watches.
package apsoak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// Soak is one test run: entries under load and injected faults, both generated from one seed. Use New.
type Soak struct {
	options  Options
	script   []Step
	emulator *apemulator.Emulator
	entries  []*entryProcess
	// workerProxies holds the proxies in front of the workers.
	workerProxies *ProxySet
	configs       *configVersions
	random        *rand.Rand
	startedAt     time.Time
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Script     []Step
	Counts     apemulator.Counts
	Violations []apemulator.Violation
	// Logs is the folder with the output of the processes. It is kept if an invariant was violated, if the run
	// failed, or if Options.KeepLogs is set. Otherwise Logs is empty.
	Logs string
}

// New returns a soak whose faults and load are generated from the seed.
func New(opts ...Option) *Soak {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	s := &Soak{options: options, random: random, configs: newConfigVersions()}
	s.script = GenerateScript(options, random)
	return s
}

// Run runs the soak and writes each step to progress, unless that is nil. A violated invariant is reported, but
// is no error. Errors: those of starting the processes, and ctx's.
func (s *Soak) Run(ctx context.Context, progress io.Writer) (Report, error) {
	report := Report{Seed: s.options.Seed, Script: s.script}
	dir, err := os.MkdirTemp(s.options.Dir, fmt.Sprintf("soak-%d-", s.options.Seed))
	if err != nil {
		return report, apcode.Wrapf(apcode.BadValue, err, "create the folder for logs")
	}
	report.Logs = dir
	group := &errgroup.Group{}
	err = s.start(ctx, dir, group)
	if err == nil {
		err = s.runAndCheck(ctx, progress)
	}
	for _, p := range s.entries {
		p.shutDown()
	}
	s.workerProxies.Close()
	err = firstError(err, group.Wait(), s.emulator.Stop())
	report.Counts, report.Violations = s.emulator.Record.Counts(), s.emulator.Record.Violations()
	if err == nil && len(report.Violations) == 0 && !s.options.KeepLogs {
		report.Logs = ""
		err = os.RemoveAll(dir)
	}
	return report, err
}

func firstError(errs ...error) error {
	i := slices.IndexFunc(errs, func(err error) bool { return err != nil })
	if i < 0 {
		return nil
	}
	return errs[i]
}

// start starts the platform and the entries.
func (s *Soak) start(ctx context.Context, dir string, group *errgroup.Group) error {
	s.emulator = apemulator.New(apemulator.WithOptions(func(o *apemulator.Options) {
		// With half of the seeds the platform doesn't check fencing tokens, so only the entries' own permits
		// keep a former owner of the machines from giving orders.
		o.FencesUnchecked = s.options.Seed%2 == 1
		for i := range o.Pools {
			o.Pools[i].Machines = max(o.Pools[i].Machines, int(math.Ceil(s.options.Rate*machinesPerJobRate)))
		}
	}))
	s.workerProxies = NewProxySet(group)
	s.emulator.Fleet.Wrap = s.workerProxies.Add
	if err := s.emulator.Start(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	machines, err := s.emulator.ServeMachines()
	if err != nil {
		return err
	}
	for i := range s.options.Nodes {
		p, err := newEntryProcess(s.emulator, i, machines, dir, s.options, group)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// machinesPerJobRate is the number of machines in each pool for a load of one job per second. A job takes 11
// core-seconds on average and a machine has 8 cores. Two of the three queues use the pool search: the load is about
// 90 percent of the capacity of search and 45 percent of that of booking, without the long-running jobs. It stays
// below the capacity so that accepted jobs can be done in time.
const machinesPerJobRate = 1.0

// configure commits the next version of the configuration.
func (s *Soak) configure(ctx context.Context) error {
	version, queues := s.configs.nextVersion()
	if err := s.emulator.Configure(ctx, version, queues); err != nil {
		return err
	}
	s.configs.markCommitted(version)
	return nil
}

// runAndCheck waits until the entries are ready, runs load and faults together, then clears the faults and checks
// that everything gets done.
func (s *Soak) runAndCheck(ctx context.Context, progress io.Writer) error {
	s.startedAt = time.Now()
	if !s.poll(ctx, s.options.ReadyTimeout, func() bool { return s.countReady() == len(s.entries) }) {
		s.emulator.Record.AddViolation(apemulator.InvariantConfig, "only %d of %d entries are ready %s after their start", s.countReady(), len(s.entries), s.options.ReadyTimeout)
	}
	s.startedAt = time.Now()
	load := newLoadGenerator(s)
	loadCtx, stop := context.WithTimeout(ctx, s.options.Duration)
	defer stop()
	group, loadCtx := errgroup.WithContext(loadCtx)
	group.Go(func() error { return load.run(loadCtx) })
	group.Go(func() error { return s.checkConfigRollbacks(loadCtx) })
	group.Go(func() error {
		for pause(loadCtx, statusInterval) {
			load.pollStatuses(loadCtx)
		}
		return nil
	})
	for _, step := range s.script {
		group.Go(func() error { return s.inject(loadCtx, step, progress) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.awaitCompletion(ctx, load)
}

// awaitCompletion clears all faults and checks that accepted jobs and waves get done in time, and that every
// entry has the newest configuration.
func (s *Soak) awaitCompletion(ctx context.Context, load *loadGenerator) error {
	s.clearFaults()
	for _, p := range s.entries {
		if err := p.ensureRunning(); err != nil {
			return err
		}
	}
	done := func() bool {
		load.pollStatuses(ctx)
		return len(s.emulator.Record.UnfinishedJobs()) == 0 && len(s.emulator.Record.UnavailableTasks()) == 0
	}
	if !s.poll(ctx, s.options.FinishTimeout, done) {
		for _, submission := range s.emulator.Record.UnfinishedJobs() {
			s.emulator.Record.AddViolation(apemulator.InvariantCompletion, "job %s has not ended %s after the end of all faults", submission.Job.ID, s.options.FinishTimeout)
		}
		for _, task := range s.emulator.Record.UnavailableTasks() {
			s.emulator.Record.AddViolation(apemulator.InvariantCompletion, "long-running task %s is not available %s after the end of all faults", task, s.options.FinishTimeout)
		}
	}
	s.checkConfig(ctx, load)
	return s.checkWaves(ctx)
}

// checkConfig checks that every entry has the newest configuration.
func (s *Soak) checkConfig(ctx context.Context, load *loadGenerator) {
	version, marker := s.configs.newestCommitted()
	for _, p := range s.entries {
		if outcome := load.caller.Probe(ctx, p.callersAddress, marker); outcome.Status != http.StatusOK {
			s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%s answers with status %d for the marker queue of version %d after the end of all faults", p.name, outcome.Status, version)
		}
	}
}

// checkWaves checks that every wave is completed in time.
func (s *Soak) checkWaves(ctx context.Context) error {
	for _, step := range s.script {
		if step.Kind != KindWave {
			continue
		}
		var readErr error
		done := s.poll(ctx, s.options.FinishTimeout, func() bool {
			ok, err := s.emulator.Fleet.WaveCompleted(ctx, step.Number)
			readErr = err
			return ok
		})
		if readErr != nil {
			return readErr
		}
		if !done {
			s.emulator.Record.AddViolation(apemulator.InvariantWave, "wave %d is not completed %s after the end of all faults", step.Number, s.options.FinishTimeout)
		}
	}
	return nil
}

// poll evaluates a condition every pollInterval until it holds, and reports false if it doesn't within the limit.
func (s *Soak) poll(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if condition() {
			return true
		}
		if time.Now().After(end) || !pause(ctx, pollInterval) {
			return false
		}
	}
}

// pollInterval is the pause between two evaluations of a condition that is waited for.
const pollInterval = 200 * time.Millisecond

// statusInterval is the time between two status requests for each unfinished job.
const statusInterval = time.Second

// countReady returns the number of entries that report to the load balancer that they are ready.
func (s *Soak) countReady() int {
	count := 0
	for _, p := range s.entries {
		if p.isReady() {
			count++
		}
	}
	return count
}

func openLogFile(dir, name string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "open the log of %s", name)
	}
	return file, nil
}

// newJobID returns a job ID from a seeded source, so that the logs of two runs with the same seed can be compared.
func newJobID(random *rand.Rand) apjob.ID { return apjob.ID(fmt.Sprintf("%016x", random.Uint64())) }
