package apcommand

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
	command.Flag("steps", "Print each fault when it is injected.").BoolVar(&f.steps)
}

// Bounds of --nodes, which its help text repeats. One host can run more entries than maxSoakNodes: a few hundred.
const (
	minSoakNodes = 2
	maxSoakNodes = 40
)

func (a *app) soak(ctx context.Context, f soakFlags) error {
	if f.nodes < minSoakNodes || f.nodes > maxSoakNodes {
		return apcode.Errorf(apcode.BadValue, "--nodes %d is not within %d to %d", f.nodes, minSoakNodes, maxSoakNodes)
	}
	if f.count < 1 || f.duration <= 0 || f.rate <= 0 {
		return apcode.Errorf(apcode.BadValue, "--count, --duration and --rate must be above 0")
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
	return a.runSeeds(ctx, f)
}

// runSeeds runs the soak once for each seed and prints a table row for each run. It returns InvariantBroken
// when a run violated an invariant.
func (a *app) runSeeds(ctx context.Context, f soakFlags) error {
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	violatingSeeds := 0
	_, _ = fmt.Fprintln(table, "SEED\tFAULTS\tJOBS\tACCEPTED\tREFUSED\tCOMPLETED\tFAILED\tCANCELLED\tSTARTS\tBROKEN\tLOGS")
	for i := range f.count {
		seed := f.seed + uint64(i)
		soak := apsoak.New(apsoak.WithOptions(func(o *apsoak.Options) {
			o.Seed, o.Binary, o.Dir, o.KeepLogs, o.Nodes, o.Duration, o.Rate = seed, f.binary, f.dir, f.keep, f.nodes, f.duration, f.rate
		}))
		var report apsoak.Report
		var err error
		if f.steps {
			report, err = soak.Run(ctx, a.errOut)
		} else {
			report, err = soak.Run(ctx, nil)
		}
		if err != nil {
			return err
		}
		c := report.Counts
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", seed, len(report.Script), c.Jobs, c.Accepted, c.Refused,
			c.Completed, c.Failed, c.Cancelled, c.Starts, len(report.Violations), report.Logs)
		if err := table.Flush(); err != nil {
			return apcode.Wrapf(apcode.BadValue, err, "print")
		}
		if len(report.Violations) > 0 {
			violatingSeeds++
			a.printViolations(report)
		}
	}
	if violatingSeeds > 0 {
		return apcode.Errorf(apcode.InvariantBroken, "%d of %d seeds violated an invariant", violatingSeeds, f.count)
	}
	return nil
}

// maxPrintedViolations limits how many violated invariants are printed for one seed.
const maxPrintedViolations = 20

// printViolations prints the injected faults of a run and the invariants that it violated.
func (a *app) printViolations(report apsoak.Report) {
	for _, step := range report.Script {
		_, _ = fmt.Fprintln(a.out, "   ", step)
	}
	for i, violation := range report.Violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(a.out, "  and %d more\n", len(report.Violations)-i)
			return
		}
		_, _ = fmt.Fprintln(a.out, "  broken:", violation)
	}
}
