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

// generateFlags describe a trace that is made rather than read.
type generateFlags struct {
	family         string
	seed           uint64
	turn, moveTime time.Duration
	moveWeight     float64
}

func (a *app) addReplay() {
	var file string
	var asJSON bool
	replay := a.command(a.kingpin, "replay", "Replay a recorded demand with every policy against its stated outcomes.", func(context.Context) error {
		return a.replay(file, asJSON)
	})
	replay.Arg("trace", "Trace file.").Required().StringVar(&file)
	replay.Flag("json", "Print the results as JSON.").BoolVar(&asJSON)
	var flags generateFlags
	generate := a.command(a.kingpin, "trace", "Write a generated trace.", func(context.Context) error { return a.generate(flags) })
	generate.Arg("family", fmt.Sprintf("One of %v.", aptrace.Families())).Required().StringVar(&flags.family)
	generate.Flag("seed", "Seed of the noise.").Default("1").Uint64Var(&flags.seed)
	generate.Flag("turn", "Length of a turn.").Default("60s").DurationVar(&flags.turn)
	generate.Flag("move-time", "How long a moved VM serves nobody.").Default("4s").DurationVar(&flags.moveTime)
	generate.Flag("move-weight", "Cost of a move.").Default("1").Float64Var(&flags.moveWeight)
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
	missed := aptrace.Missed(trace, results)
	return a.finish(asJSON, results, func(out io.Writer) {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "POLICY\tREFUSED VM-HOURS\tIDLE VM-HOURS\tMOVES\tBUDGET BREACHES")
		for _, r := range results {
			_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%d\n", r.Policy, r.ShortHours, r.BufferHours, r.Moves, r.Breaches)
		}
		for _, o := range missed {
			_, _ = fmt.Fprintf(w, "missed: %s at most %.2f of Reactive\n", o.Measure, o.AtMost)
		}
		_ = w.Flush()
	}, len(missed))
}
