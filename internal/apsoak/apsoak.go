// Package apsoak runs real entries as processes against the emulated platform, injects faults from outside
// them, and checks what callers and workers were promised.
package apsoak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apjob"
	"auburnport/platform/emulator"
)

// Soak is one run with one seed. Use New.
type Soak struct {
	options  Options
	script   []Step
	emulator *apemulator.Emulator
	nodes    []*node
	// workers holds the proxies in front of the workers' present addresses.
	workers *proxies
	queues  *queueBook
	random  *rand.Rand
	began   time.Time
}

// Report is what a run showed.
type Report struct {
	Seed     uint64
	Script   []Step
	Counts   apemulator.Counts
	Breaches []apemulator.Violation
	// Logs is where the processes' output is; it is kept when a promise was broken.
	Logs string
}

// New returns a soak whose faults and load follow from the seed.
func New(opts ...Option) *Soak {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	s := &Soak{options: options, random: random, queues: newQueueBook()}
	s.script = Script(options, random)
	return s
}

// Run plays the soak. A broken promise is no error. Errors: those of starting the processes, and ctx's.
func (s *Soak) Run(ctx context.Context, progress io.Writer) (Report, error) {
	report := Report{Seed: s.options.Seed, Script: s.script}
	dir, err := os.MkdirTemp(s.options.Dir, fmt.Sprintf("soak-%d-", s.options.Seed))
	if err != nil {
		return report, apcode.Wrapf(apcode.BadValue, err, "folder for logs")
	}
	report.Logs = dir
	group := &errgroup.Group{}
	err = s.start(ctx, dir, group)
	if err == nil {
		err = s.play(ctx, progress)
	}
	for _, n := range s.nodes {
		n.end()
	}
	s.workers.end()
	err = firstError(err, group.Wait(), s.emulator.Stop())
	report.Counts, report.Breaches = s.emulator.Record.Counts(), s.emulator.Record.Breaches()
	if err == nil && len(report.Breaches) == 0 && !s.options.Keep {
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

// start brings the platform and the entries up.
func (s *Soak) start(ctx context.Context, dir string, group *errgroup.Group) error {
	s.emulator = apemulator.New(apemulator.WithOptions(func(o *apemulator.Options) {
		// Half of the seeds play a platform on which the entries' own permits must hold earlier holders back.
		o.FencesUnchecked = s.options.Seed%2 == 1
		for i := range o.Pools {
			o.Pools[i].Machines = max(o.Pools[i].Machines, int(math.Ceil(s.options.Rate*machinesPerJob)))
		}
	}))
	s.workers = newProxies(group)
	s.emulator.Fleet.Wrap = s.workers.add
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
		n, err := newNode(s.emulator, i, machines, dir, s.options, group)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// machinesPerJob is how many machines each pool has for each job a second. A job takes 11 core-seconds on
// average, two pools of machines of 8 cores share them: the load is two thirds of what there is, so that what
// was accepted can get done in time.
const machinesPerJob = 1.0

// configure writes the next version of the configuration.
func (s *Soak) configure(ctx context.Context) error {
	version, queues := s.queues.next()
	if err := s.emulator.Configure(ctx, version, queues); err != nil {
		return err
	}
	s.queues.confirm(version)
	return nil
}

// play runs load and faults together, then waits for calm and checks what is left.
func (s *Soak) play(ctx context.Context, progress io.Writer) error {
	s.began = time.Now()
	if !s.await(ctx, s.options.Recover, func() bool { return s.ready() == len(s.nodes) }) {
		s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%d of %d entries are ready %s after their start", s.ready(), len(s.nodes), s.options.Recover)
	}
	s.began = time.Now()
	load := newLoad(s)
	running, stop := context.WithTimeout(ctx, s.options.Duration)
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return load.run(running) })
	group.Go(func() error { return s.probe(running) })
	group.Go(func() error {
		for pause(running, statusEvery) {
			load.look(running)
		}
		return nil
	})
	for _, step := range s.script {
		group.Go(func() error { return s.inject(running, step, progress) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.settle(ctx, load)
}

// settle heals everything and checks that what was accepted gets done in time.
func (s *Soak) settle(ctx context.Context, load *load) error {
	s.heal()
	for _, n := range s.nodes {
		if err := n.ensure(); err != nil {
			return err
		}
	}
	done := func() bool {
		load.look(ctx)
		return len(s.emulator.Record.UnfinishedJobs()) == 0 && len(s.emulator.Record.UnavailableTasks()) == 0
	}
	if !s.await(ctx, s.options.Finish, done) {
		for _, open := range s.emulator.Record.UnfinishedJobs() {
			s.emulator.Record.AddViolation(apemulator.InvariantCompletion, "job %s has not ended %s after the end of all faults", open.Job.ID, s.options.Finish)
		}
		for _, idle := range s.emulator.Record.UnavailableTasks() {
			s.emulator.Record.AddViolation(apemulator.InvariantCompletion, "long-running task %s is not at work %s after the end of all faults", idle, s.options.Finish)
		}
	}
	s.checkConfig(ctx, load)
	return s.checkWaves(ctx)
}

// checkConfig checks that every entry has the newest configuration.
func (s *Soak) checkConfig(ctx context.Context, load *load) {
	version, marker := s.queues.newest()
	for _, n := range s.nodes {
		if outcome := load.caller.Probe(ctx, n.callers, marker); outcome.Status != statusOK {
			s.emulator.Record.AddViolation(apemulator.InvariantConfig, "%s answers %d to the marker of version %d after the end of all faults", n.name, outcome.Status, version)
		}
	}
}

func (s *Soak) checkWaves(ctx context.Context) error {
	for _, step := range s.script {
		if step.Kind != KindWave {
			continue
		}
		var failed error
		done := s.await(ctx, s.options.Finish, func() bool {
			ok, err := s.emulator.Fleet.WaveCompleted(ctx, step.Number)
			failed = err
			return ok
		})
		if failed != nil {
			return failed
		}
		if !done {
			s.emulator.Record.AddViolation(apemulator.InvariantWave, "wave %d is not done %s after the end of all faults", step.Number, s.options.Finish)
		}
	}
	return nil
}

// await looks until something is so, for a time at most.
func (s *Soak) await(ctx context.Context, limit time.Duration, look func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if look() {
			return true
		}
		if time.Now().After(end) || !pause(ctx, lookEvery) {
			return false
		}
	}
}

// lookEvery is the pause between two looks at something that is waited for.
const lookEvery = 200 * time.Millisecond

// statusEvery is how often callers ask for the state of their jobs.
const statusEvery = time.Second

// ready counts the entries that want callers.
func (s *Soak) ready() int {
	n := 0
	for _, one := range s.nodes {
		if one.isReady() {
			n++
		}
	}
	return n
}

func logFile(dir, name string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadValue, err, "log of %s", name)
	}
	return file, nil
}

// jobIDs are drawn from the seed, so that a run's logs can be compared with another's of that seed.
func jobID(random *rand.Rand) apjob.ID { return apjob.ID(fmt.Sprintf("%016x", random.Uint64())) }
