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
	var folder string
	bench := a.command(a.kingpin, "bench", "Measure how the cost of control grows with entries and VMs.", func(ctx context.Context) error {
		return a.bench(ctx, folder)
	})
	bench.Flag("plots", "Folder for a plot of each slope; none by default.").StringVar(&folder)
}

func (a *app) bench(ctx context.Context, folder string) error {
	const entriesAtLargeSize = 36
	logger, err := aplog.New(io.Discard, "error", aplog.FormatText)
	if err != nil {
		return err
	}
	slopes := apbench.Control([]int{50, 200, 500, 1000, 2000}, entriesAtLargeSize)
	settings, err := trialChoice{deployment: "cavyhaven"}.settings()
	if err != nil {
		return err
	}
	mesh, err := apbench.Mesh(ctx, settings, "cavyhaven", []int{3, 9, 18, 36}, logger)
	if err != nil {
		return err
	}
	slopes = append(slopes, mesh...)
	apbench.Write(a.out, slopes)
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return apcode.Wrapf(apcode.BadValue, err, "--plots")
	}
	return apbench.Plot(folder, slopes)
}
