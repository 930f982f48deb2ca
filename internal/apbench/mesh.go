package apbench

import (
	"context"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/internal/apoperator"
	"auburnport/internal/apstandin"
	"auburnport/internal/aptrial"
	"auburnport/pkg/apsettings"
)

const (
	// settleTime is how long a new cluster runs before it is measured.
	settleTime  = 2 * time.Second
	measureTime = 5 * time.Second
	// settingsChanges is the number of settings changes over which the time to apply one is averaged.
	settingsChanges = 5
)

// meshSample holds the measurements with one number of entries. Bytes, frames, CPU time and heap are divided by
// that number.
type meshSample struct {
	bytesPerSecond, framesPerSecond float64
	// cpuShare is the used fraction of one core.
	cpuShare            float64
	heapKiB             float64
	changeMillis        float64
	storeCallsPerSecond float64
}

// MeasureMesh measures idle entries for each number of entries: bytes and frames sent, CPU time, memory, calls to
// the store, and how long a settings change takes to be in force at every entry.
func MeasureMesh(ctx context.Context, settings apsettings.Tree, deployment string, entries []int, logger *logrus.Logger) ([]LinearFit, error) {
	var bytes, frames, cpu, memory, change, calls []Point
	for _, n := range entries {
		sample, err := measureCluster(ctx, settings, deployment, n, logger)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		bytes = append(bytes, Point{x, sample.bytesPerSecond / bytesPerKiB})
		frames = append(frames, Point{x, sample.framesPerSecond})
		cpu = append(cpu, Point{x, 100 * sample.cpuShare})
		memory = append(memory, Point{x, sample.heapKiB})
		change = append(change, Point{x, sample.changeMillis})
		calls = append(calls, Point{x, sample.storeCallsPerSecond})
	}
	return []LinearFit{
		FitLine("mesh bytes sent, a node", "entries", "KiB/s", bytes),
		FitLine("mesh frames sent, a node", "entries", "frames/s", frames),
		FitLine("processor time, a node", "entries", "% of a core", cpu),
		FitLine("heap, a node", "entries", "KiB", memory),
		FitLine("settings change in force everywhere", "entries", "ms", change),
		FitLine("store calls, all nodes", "entries", "calls/s", calls),
	}, nil
}

// measureCluster starts a cluster with n entries in this process, measures it and closes it.
func measureCluster(ctx context.Context, settings apsettings.Tree, deployment string, n int, logger *logrus.Logger) (meshSample, error) {
	var sample meshSample
	before := heapInUse()
	cluster, err := aptrial.Start(ctx, aptrial.Options{
		Deployment: deployment, Settings: settings, Entries: n, Standin: apstandin.DefaultOptions(), Logger: logger,
	})
	if err != nil {
		return sample, err
	}
	time.Sleep(settleTime)
	sample.heapKiB = float64(heapInUse()-before) / float64(n) / bytesPerKiB
	from := readCounters(cluster)
	time.Sleep(measureTime)
	to := readCounters(cluster)
	seconds := to.at.Sub(from.at).Seconds()
	entries := float64(n)
	sample.bytesPerSecond = float64(to.bytes-from.bytes) / seconds / entries
	sample.framesPerSecond = float64(to.frames-from.frames) / seconds / entries
	sample.cpuShare = (to.cpu - from.cpu).Seconds() / seconds / entries
	sample.storeCallsPerSecond = float64(to.calls-from.calls) / seconds
	sample.changeMillis, err = measureSettingsChange(ctx, cluster, settings, deployment)
	if closeErr := cluster.Close(); err == nil {
		err = closeErr
	}
	return sample, err
}

// measureSettingsChange returns the mean time in milliseconds until a settings change is in force at every entry.
func measureSettingsChange(ctx context.Context, cluster *aptrial.Cluster, settings apsettings.Tree, deployment string) (float64, error) {
	path := settings.Services(deployment)[0]
	total := time.Duration(0)
	for i := range settingsChanges {
		accepted, err := cluster.Operator(i%len(cluster.Entries())).Change(ctx, apoperator.SettingsChange{
			Path: path, Key: "QueueLimit", Value: string(rune('1' + i)), Wait: true,
		})
		if err != nil {
			return 0, err
		}
		total += accepted.Elapsed
		time.Sleep(settleTime / settingsChanges)
	}
	return total.Seconds() * 1000 / settingsChanges, nil
}

// counters is a snapshot of the totals since the start, over all entries and the stand-in.
type counters struct {
	at time.Time
	// bytes and frames were sent by the mesh.
	bytes, frames int64
	cpu           time.Duration
	// calls counts the calls to the store.
	calls uint64
}

func readCounters(cluster *aptrial.Cluster) counters {
	c := counters{at: time.Now(), cpu: processCPUTime()}
	for _, e := range cluster.Entries() {
		c.bytes += metrics.GetOrRegisterCounter("Mesh.BytesSent", e.Daemon.Metrics()).Count()
		c.frames += metrics.GetOrRegisterCounter("Mesh.FramesSent", e.Daemon.Metrics()).Count()
	}
	report := cluster.Standin.Report()
	c.calls = report.StoreReads + report.StoreWrites + report.StoreWatches + report.StoreLeases
	return c
}

// processCPUTime returns the user and system CPU time of this process, or 0 when it is not available.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
