package aptrial

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/internal/apload"
	"auburnport/internal/apoperator"
	"auburnport/internal/apstandin"
	"auburnport/pkg/apsettings"
	"auburnport/pkg/apstore"
)

// Report holds the measurements of a trial.
type Report struct {
	Load apload.Result `json:"Load"`
	// SettingsInForce is how long a settings change took to be in force at InForce of Entries entries.
	SettingsInForce time.Duration `json:"SettingsInForce"`
	InForce         int           `json:"InForce"`
	Entries         int           `json:"Entries"`
	// WaveDone of WaveTotal VMs were rebooted by the maintenance wave in WaveElapsed.
	WaveDone    int           `json:"WaveDone"`
	WaveTotal   int           `json:"WaveTotal"`
	WaveElapsed time.Duration `json:"WaveElapsed"`
	// Moves counts the VMs that were moved between pools.
	Moves int `json:"Moves"`
	// BufferHours is the idle capacity over the trial in VM-hours.
	BufferHours float64 `json:"BufferHours"`
	// BudgetBreaches counts, over all samples, the pools with fewer available VMs than their
	// availability budget requires.
	BudgetBreaches int `json:"BudgetBreaches"`
	// StoreCallsPerSecond is the rate of calls to the store, from all entries together, while the load ran.
	StoreCallsPerSecond float64 `json:"StoreCallsPerSecond"`
}

const (
	sampleInterval = 250 * time.Millisecond
	// settingsChangeFraction and waveStartFraction are fractions of the load's duration.
	settingsChangeFraction = 0.2
	waveStartFraction      = 0.25
	waveTimeAfterLoad      = 20 * time.Second
	settingsChangeTimeout  = 10 * time.Second
)

// Run sends load to the cluster, and changes a setting and runs a maintenance wave meanwhile.
func (c *Cluster) Run(ctx context.Context, options apload.Options, progress io.Writer) (Report, error) {
	options.Entries = c.CallerAddresses()
	options.Services = c.Services()
	load := apload.New(options)
	var report Report
	before := c.Standin.Report()
	sampling, stopSampling := context.WithCancel(ctx)
	defer stopSampling()
	group, ctx := errgroup.WithContext(ctx)
	var samples errgroup.Group
	samples.Go(func() error {
		c.sampleStatus(sampling, options, load, &report, progress)
		return nil
	})
	group.Go(func() error { return load.Run(ctx) })
	group.Go(func() error { return c.changeSettings(ctx, options.Duration, &report) })
	group.Go(func() error { return c.runWave(ctx, options.Duration, &report) })
	err := group.Wait()
	stopSampling()
	_ = samples.Wait()
	after := c.Standin.Report()
	report.Load = load.Result(after)
	report.Moves = after.Moves - before.Moves
	report.StoreCallsPerSecond = float64(storeCalls(after)-storeCalls(before)) / time.Since(load.Started()).Seconds()
	return report, err
}

func storeCalls(r apstandin.Report) uint64 {
	return r.StoreReads + r.StoreWrites + r.StoreWatches + r.StoreLeases
}

// changeSettings changes the first service's deadline during the load and waits until the change is in
// force at all entries.
func (c *Cluster) changeSettings(ctx context.Context, duration time.Duration, report *Report) error {
	apstore.Sleep(ctx, time.Duration(settingsChangeFraction*float64(duration)))
	ctx, cancel := context.WithTimeout(ctx, settingsChangeTimeout)
	defer cancel()
	path := c.options.Settings.Services(c.options.Deployment)[0]
	result, err := c.Operator(len(c.entries)-1).Change(ctx, apoperator.SettingsChange{Path: path, Key: "Deadline", Value: "1900ms", Wait: true})
	report.SettingsInForce = result.Elapsed
	report.InForce = result.InForce
	report.Entries = result.Entries
	return err
}

// runWave starts a maintenance wave during the load and waits until it ends, or until waveTimeAfterLoad
// after the planned end of the load.
func (c *Cluster) runWave(ctx context.Context, duration time.Duration, report *Report) error {
	apstore.Sleep(ctx, time.Duration(waveStartFraction*float64(duration)))
	operator := c.Operator(0)
	if _, err := operator.StartWave(ctx, "trial"); err != nil {
		return err
	}
	started := time.Now()
	timeout := duration - time.Duration(waveStartFraction*float64(duration)) + waveTimeAfterLoad
	for time.Since(started) < timeout && ctx.Err() == nil {
		status, err := operator.Wave(ctx)
		if err != nil {
			return err
		}
		report.WaveDone, report.WaveTotal = status.Done, status.Total
		report.WaveElapsed = time.Since(started)
		if !status.Wave.Ended.IsZero() {
			return nil
		}
		apstore.Sleep(ctx, sampleInterval)
	}
	return nil
}

// sampleStatus periodically adds up idle capacity, counts budget breaches and prints the progress of the
// trial.
func (c *Cluster) sampleStatus(ctx context.Context, options apload.Options, load *apload.Load, report *Report, progress io.Writer) {
	last := time.Now()
	for ctx.Err() == nil {
		apstore.Sleep(ctx, sampleInterval)
		now := time.Now()
		status := c.entries[0].Daemon.Status()
		for _, pool := range status.Pools {
			settings := c.options.Settings.Resolve(apsettings.PoolPath(c.options.Deployment, pool.Pool))
			idle := max(float64(pool.Available)-float64(pool.Demand)/float64(settings.Slots), 0)
			report.BufferHours += idle * now.Sub(last).Hours()
			if pool.Available < pool.MinAvailable {
				report.BudgetBreaches++
			}
		}
		last = now
		counts := load.Progress()
		elapsed := time.Since(load.Started()).Round(time.Second)
		_, _ = fmt.Fprintf(progress, "\r%v of %v  requests %d  answered %d  wave %d of %d ", elapsed, options.Duration, counts.Requests, counts.Answered, status.Wave.Done, status.Wave.Total)
	}
	_, _ = fmt.Fprintln(progress)
}

// Violations returns the number of violations of all invariants.
func (r Report) Violations() int { return r.Load.Violations() + r.BudgetBreaches }

// WriteTable prints the report as a table.
func (r Report) WriteTable(out io.Writer) {
	r.Load.WriteTable(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("Settings change in force", fmt.Sprintf("%d of %d entries after %v", r.InForce, r.Entries, r.SettingsInForce.Round(time.Millisecond)))
	row("Maintenance wave", fmt.Sprintf("%d of %d VMs in %v", r.WaveDone, r.WaveTotal, r.WaveElapsed.Round(time.Millisecond)))
	row("Moves between pools", r.Moves)
	row("Buffer cost", fmt.Sprintf("%.2f idle VM-hours", r.BufferHours))
	row("Store calls", fmt.Sprintf("%.1f a second", r.StoreCallsPerSecond))
	row("Invariant: BudgetsHold", budgetVerdict(r.BudgetBreaches))
	row("Invariants broken", r.Violations())
	_ = w.Flush()
}

func budgetVerdict(breaches int) string {
	if breaches == 0 {
		return "held"
	}
	return fmt.Sprintf("BROKEN in %d samples", breaches)
}
