package apcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"auburnport/internal/aptrace"
	"auburnport/pkg/apcode"
)

// generateFlags are the parameters of a generated trace.
type generateFlags struct {
	family         string
	seed           uint64
	turn, moveTime time.Duration
	moveWeight     float64
}

func (a *app) addReplay() {
	var file string
	var asJSON bool
	replay := a.addCommand(a.kingpin, "replay", "Replay the demand in a trace file with every policy, and check the expectations in the file.", func(context.Context) error {
		return a.replay(file, asJSON)
	})
	replay.Arg("trace", "Trace file.").Required().StringVar(&file)
	replay.Flag("json", "Print the results as JSON.").BoolVar(&asJSON)
	var flags generateFlags
	generate := a.addCommand(a.kingpin, "trace", "Generate a trace of demand and print it as JSON.", func(context.Context) error { return a.generate(flags) })
	generate.Arg("family", fmt.Sprintf("Pattern of the demand: one of %v.", aptrace.Families())).Required().StringVar(&flags.family)
	generate.Flag("seed", "Random seed of the noise.").Default("1").Uint64Var(&flags.seed)
	generate.Flag("turn", "Length of a turn: how long a pool's peak of demand lasts, or the mean time between short bursts.").Default("60s").DurationVar(&flags.turn)
	generate.Flag("move-time", "How long a VM that is moved serves no requests.").Default("4s").DurationVar(&flags.moveTime)
	generate.Flag("move-weight", "Cost of a move, which the Planned policy weighs against unserved demand.").Default("1").Float64Var(&flags.moveWeight)
}

func (a *app) generate(flags generateFlags) error {
	trace, err := aptrace.Generate(flags.family, flags.seed, flags.turn.Seconds(), flags.moveTime.Seconds(), flags.moveWeight)
	if err != nil {
		return err
	}
	return json.NewEncoder(a.out).Encode(trace)
}

func (a *app) replay(file string, asJSON bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return apcode.Wrapf(apcode.MissingKey, err, "trace")
	}
	trace, err := aptrace.Parse(data)
	if err != nil {
		return err
	}
	results := aptrace.Compare(trace)
	missedExpectations := aptrace.MissedExpectations(trace, results)
	return a.reportResult(asJSON, results, func(out io.Writer) {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "POLICY\tREFUSED VM-HOURS\tIDLE VM-HOURS\tMOVES\tBUDGET BREACHES")
		for _, r := range results {
			_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%d\n", r.Policy, r.ShortfallHours, r.BufferHours, r.Moves, r.BudgetBreaches)
		}
		for _, e := range missedExpectations {
			_, _ = fmt.Fprintf(w, "missed: %s at most %.2f of Reactive\n", e.Measure, e.AtMost)
		}
		_ = w.Flush()
	}, len(missedExpectations))
}
