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
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
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
	tracker       *tracker
	arrivals      []Arrival
	// scenario is played instead of the script and the arrivals, unless it is nil.
	scenario *scenario
	// startedAt is the start of the load, createdAt that of the emulator, from which its history counts.
	startedAt, createdAt time.Time

	faults FaultStack
	// configMu is held while a configuration is committed, so that versions are committed in their order.
	configMu sync.Mutex
	mu       sync.Mutex
	// reborn holds the machines whose workers may be of another kind than at the start.
	reborn map[string]bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Script     []Step
	Counts     apemulator.Counts
	Violations []apemulator.Violation
	// Histories holds, for each job that a violation names, the lines of all sides in the order of time.
	Histories map[apjob.ID][]string
	// Met holds the pairs that the run has met.
	Met map[Pair]bool
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
	s := &Soak{options: options, configs: newConfigVersions(), tracker: newTracker(), reborn: make(map[string]bool)}
	s.script = GenerateScript(options, rand.New(rand.NewPCG(options.Seed, 0)))
	s.arrivals = GenerateLoad(options, s.script)
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
	report.Met, report.Histories = s.tracker.pairs(), s.histories(report.Violations)
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
	s.createdAt = time.Now()
	s.emulator = apemulator.New(apemulator.WithOptions(func(o *apemulator.Options) {
		// With half of the seeds the platform doesn't check fencing tokens, so only the entries' own permits
		// keep a former owner of the machines from giving orders.
		o.FencesUnchecked = s.options.Seed%2 == 1
		o.Kinds, o.ImpairmentsReported = workerKinds, true
		if slices.ContainsFunc(s.script, func(step Step) bool { return step.Kind == KindClocksOff }) {
			o.ClockRates = slowClockRates
		}
		if s.scenario != nil && s.scenario.prepare != nil {
			s.scenario.prepare(o)
		}
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
	var machines netip.AddrPort
	if s.scenario == nil || s.scenario.moves {
		var err error
		if machines, err = s.emulator.ServeMachines(); err != nil {
			return err
		}
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

// workerKinds are the labels of the kinds of machines, and slowClockRates the speeds of their clocks if some are slow. The
// machines get them in turn.
var (
	workerKinds    = []string{"general", "special"}
	slowClockRates = []float64{1, 0.98, 0.99}
)

// kindOf returns the kind that the machine with a name, which ends with its number, has at the start.
func (s *Soak) kindOf(name string) string {
	return workerKinds[slices.Index(s.emulator.Fleet.MachineNames(), name)%len(workerKinds)]
}

// configure commits the next version of the configuration.
func (s *Soak) configure(ctx context.Context) error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	version := s.configs.nextVersion()
	if s.scenario != nil {
		return s.commit(ctx, version, s.scenario.queues)
	}
	return s.commit(ctx, version, workingQueues(version))
}

// commit commits a version of the configuration with some queues and the marker queue.
func (s *Soak) commit(ctx context.Context, version uint64, queues []apemulator.QueueSpec) error {
	if err := s.emulator.Configure(ctx, version, append(queues, markerQueue(version))); err != nil {
		return err
	}
	s.configs.markCommitted(version)
	s.tracker.configCommitted(version)
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
	if s.scenario != nil {
		return s.playScenario(ctx, progress)
	}
	load := newLoadGenerator(s)
	loadCtx, stop := context.WithTimeout(ctx, s.options.Duration)
	defer stop()
	group, loadCtx := errgroup.WithContext(loadCtx)
	group.Go(func() error { return load.run(loadCtx, s.arrivals) })
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
	calmSince := time.Now()
	s.restoreKinds(ctx)
	s.emulator.Record.EndTraffic()
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
			s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, submission.Job.ID, "it has not ended %s after the end of all faults", s.options.FinishTimeout)
		}
		for _, task := range s.emulator.Record.UnavailableTasks() {
			s.emulator.Record.AddJobViolation(apemulator.InvariantCompletion, task.Job, "long-running task %s is not available %s after the end of all faults", task, s.options.FinishTimeout)
		}
	}
	s.checkConfig(ctx, load, calmSince)
	return s.checkWaves(ctx)
}

// contactDelay is the time without impairments from which an entry is in touch and must have the newest configuration.
const contactDelay = 3 * time.Second

// checkConfig checks that every entry has the newest configuration now, or once it is in touch.
func (s *Soak) checkConfig(ctx context.Context, load *loadGenerator, calmSince time.Time) {
	version, marker := s.configs.newestCommitted()
	for _, p := range s.entries {
		status := 0
		if !s.poll(ctx, time.Until(calmSince.Add(contactDelay)), func() bool {
			status = load.caller.Probe(ctx, p.callersAddress, marker).Status
			return status == http.StatusOK
		}) {
			s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%s answers with status %d for the marker queue of version %d after the end of all faults", p.name, status, version)
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
