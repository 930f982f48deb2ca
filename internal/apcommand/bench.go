package apcommand

import (
	"context"
	"io"
	"os"

	"auburnport/internal/apbench"
	"auburnport/internal/aplog"
	"auburnport/pkg/apcode"
)

func (a *app) addBench() {
	var plotsDir string
	bench := a.addCommand(a.kingpin, "bench", "Measure how the cost of the control plane grows with the number of entries and VMs.", func(ctx context.Context) error {
		return a.bench(ctx, plotsDir)
	})
	bench.Flag("plots", "Directory for a plot of each measurement; none by default.").StringVar(&plotsDir)
}

func (a *app) bench(ctx context.Context, plotsDir string) error {
	const controlEntries = 36
	logger, err := aplog.New(io.Discard, "error", aplog.FormatText)
	if err != nil {
		return err
	}
	fits := apbench.MeasureControl([]int{50, 200, 500, 1000, 2000}, controlEntries)
	settings, err := trialFlags{deployment: "cavyhaven"}.settings()
	if err != nil {
		return err
	}
	meshFits, err := apbench.MeasureMesh(ctx, settings, "cavyhaven", []int{3, 9, 18, 36}, logger)
	if err != nil {
		return err
	}
	fits = append(fits, meshFits...)
	apbench.WriteTable(a.out, fits)
	if plotsDir == "" {
		return nil
	}
	if err := os.MkdirAll(plotsDir, 0o755); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "--plots")
	}
	return apbench.WritePlots(plotsDir, fits)
}
