package apcommand

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"auburnport/internal/apsoak"
	"auburnport/pkg/apcode"
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	seed     uint64
	count    int
	binary   string
	dir      string
	nodes    int
	duration time.Duration
	rate     float64
	keep     bool
	steps    bool
	coverage string
	scenario string
}

func (a *app) addSoak() {
	var f soakFlags
	command := a.addCommand(a.kingpin, "soak", "Run entries as processes against the emulated platform, inject faults and check the invariants.", func(ctx context.Context) error {
		return a.soak(ctx, f)
	})
	command.Flag("seed", "First seed; 0 derives one from the clock.").Uint64Var(&f.seed)
	command.Flag("count", "Number of seeds to run, one after the other.").Default("1").IntVar(&f.count)
	command.Flag("binary", "Path of the auburnport-node program. Default: a program built from this repository.").StringVar(&f.binary)
	command.Flag("dir", "Directory for logs. Default: the system's directory for temporary files.").StringVar(&f.dir)
	command.Flag("nodes", "Number of entries, 2 to 40.").Default("5").IntVar(&f.nodes)
	command.Flag("duration", "How long load is sent and faults are injected.").Default("20s").DurationVar(&f.duration)
	command.Flag("rate", "Mean number of jobs submitted per second.").Default("6").Float64Var(&f.rate)
	command.Flag("keep", "Keep the logs even if no invariant was violated.").BoolVar(&f.keep)
	command.Flag("coverage", "Markdown file with the number of seeds that met each pair of feature and fault. The seeds of this run are added to it.").StringVar(&f.coverage)
	command.Flag("scenario", "Play a fixed scenario instead of seeds: "+strings.Join(apsoak.ScenarioNames(), ", ")+", or All.").StringVar(&f.scenario)
	command.Flag("steps", "Print each fault when it is injected.").BoolVar(&f.steps)
}

// allScenarios as --scenario plays all scenarios.
const allScenarios = "All"

// Bounds of --nodes, which its help text repeats. One host can run more entries than maxSoakNodes: a few hundred.
const (
	minSoakNodes = 2
	maxSoakNodes = 40
)

// check refuses bad flags, and a file of coverage that can't be added to, before anything is run.
func (f *soakFlags) check() error {
	if f.nodes < minSoakNodes || f.nodes > maxSoakNodes {
		return apcode.Errorf(apcode.BadValue, "--nodes %d is not within %d to %d", f.nodes, minSoakNodes, maxSoakNodes)
	}
	if f.count < 1 || f.duration <= 0 || f.rate <= 0 {
		return apcode.Errorf(apcode.BadValue, "--count, --duration and --rate must be above 0")
	}
	if f.scenario != "" && f.scenario != allScenarios && !slices.Contains(apsoak.ScenarioNames(), f.scenario) {
		return apcode.Errorf(apcode.BadValue, "--scenario %s is none of %s", f.scenario, strings.Join(apsoak.ScenarioNames(), ", "))
	}
	if f.coverage != "" {
		if _, err := apsoak.ReadCoverageFile(f.coverage); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) soak(ctx context.Context, f soakFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.seed == 0 {
		f.seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if f.binary == "" {
		dir, err := os.MkdirTemp(f.dir, "soak-binary-")
		if err != nil {
			return apcode.Wrapf(apcode.BadValue, err, "create a directory for the auburnport-node program")
		}
		defer func() { _ = os.RemoveAll(dir) }()
		f.binary = filepath.Join(dir, "auburnport-node")
		build := exec.CommandContext(ctx, "go", "build", "-o", f.binary, "./cmd/auburnport-node")
		build.Stderr = a.errOut
		if err := build.Run(); err != nil {
			return apcode.Wrapf(apcode.BadValue, err, "build auburnport-node; run this command in the repository or set --binary")
		}
	}
	if f.scenario != "" {
		return a.runScenarios(ctx, f)
	}
	return a.runSeeds(ctx, f)
}

// runSeeds runs the soak once for each seed and prints a table row for each run. It returns InvariantBroken
// when a run violated an invariant.
func (a *app) runSeeds(ctx context.Context, f soakFlags) error {
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	violatingSeeds := 0
	_, _ = fmt.Fprintln(table, soakHeader)
	for i := range f.count {
		soak := apsoak.New(f.options(f.seed + uint64(i)))
		report, err := soak.Run(ctx, a.stepOutput(f))
		if err != nil {
			return err
		}
		if err := printRow(table, fmt.Sprint(report.Seed), report); err != nil {
			return err
		}
		if f.coverage != "" {
			if err := apsoak.AddToCoverageFile(f.coverage, report.Seed, report.Met); err != nil {
				return err
			}
		}
		if len(report.Violations) > 0 {
			violatingSeeds++
			a.printViolations(report, f.replayCommand(report.Seed))
		}
	}
	if violatingSeeds > 0 {
		return apcode.Errorf(apcode.InvariantBroken, "%d of %d seeds violated an invariant", violatingSeeds, f.count)
	}
	return nil
}

// runScenarios plays the selected scenarios one after the other and prints a table row for each.
func (a *app) runScenarios(ctx context.Context, f soakFlags) error {
	names := []string{f.scenario}
	if f.scenario == allScenarios {
		names = apsoak.ScenarioNames()
	}
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, soakHeader)
	violating := 0
	for _, name := range names {
		report, err := apsoak.PlayScenario(ctx, name, f.options(f.seed), a.stepOutput(f))
		if err != nil {
			return err
		}
		if err := printRow(table, name, report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			violating++
			a.printViolations(report, "auburnport soak --scenario "+name)
		}
	}
	if violating > 0 {
		return apcode.Errorf(apcode.InvariantBroken, "%d of %d scenarios violated an invariant", violating, len(names))
	}
	return nil
}

// options returns the options of the soak with a seed.
func (f *soakFlags) options(seed uint64) apsoak.Option {
	return apsoak.WithOptions(func(o *apsoak.Options) {
		o.Seed, o.Binary, o.Dir, o.KeepLogs, o.Nodes, o.Duration, o.Rate = seed, f.binary, f.dir, f.keep, f.nodes, f.duration, f.rate
	})
}

// replayCommand returns the command that plays a seed again.
func (f *soakFlags) replayCommand(seed uint64) string {
	return fmt.Sprintf("auburnport soak --seed %d --nodes %d --duration %s --rate %g --steps", seed, f.nodes, f.duration, f.rate)
}

// stepOutput returns where each step is printed, or nil.
func (a *app) stepOutput(f soakFlags) io.Writer {
	if f.steps {
		return a.errOut
	}
	return nil
}

const soakHeader = "SEED\tFAULTS\tJOBS\tACCEPTED\tREFUSED\tCOMPLETED\tFAILED\tCANCELLED\tSTARTS\tBROKEN\tLOGS"

func printRow(table *tabwriter.Writer, name string, report apsoak.Report) error {
	c := report.Counts
	_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", name, len(report.Script), c.Jobs, c.Accepted, c.Refused,
		c.Completed, c.Failed, c.Cancelled, c.Starts, len(report.Violations), report.Logs)
	if err := table.Flush(); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "print")
	}
	return nil
}

// maxPrintedViolations limits how many groups of violations are printed for one seed, maxPrintedLines how many lines of a
// job's history: the first and the last ones.
const (
	maxPrintedViolations = 20
	maxPrintedLines      = 160
)

// printViolations prints the injected faults of a run, the invariants that it violated, the command that plays it again, and
// the histories of the jobs.
func (a *app) printViolations(report apsoak.Report, replay string) {
	for _, step := range report.Script {
		_, _ = fmt.Fprintln(a.out, "   ", step)
	}
	for i, group := range report.ViolationGroups() {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(a.out, "  and others, %d in all\n", len(report.Violations))
			break
		}
		_, _ = fmt.Fprintf(a.out, "  broken: %s\n", group.First)
		if group.Count > 1 {
			_, _ = fmt.Fprintf(a.out, "    and %d more of this job\n", group.Count-1)
		}
	}
	_, _ = fmt.Fprintln(a.out, "  play again:", replay)
	for _, id := range slices.Sorted(maps.Keys(report.Histories)) {
		lines := report.Histories[id]
		_, _ = fmt.Fprintf(a.out, "  history of job %s:\n", id)
		for i, line := range lines {
			switch rest := len(lines) - i; {
			case i < maxPrintedLines/2 || rest <= maxPrintedLines/2:
				_, _ = fmt.Fprintln(a.out, "   ", line)
			case i == maxPrintedLines/2:
				_, _ = fmt.Fprintf(a.out, "              ... %d lines ...\n", rest-maxPrintedLines/2)
			}
		}
	}
}
