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
	settleTime     = 2 * time.Second
	measureTime    = 5 * time.Second
	settingChanges = 5
)

// meshSample is what was measured with one number of entries.
type meshSample struct {
	bytesPerSecond, framesPerSecond float64
	cpuShare                        float64
	heapKiB                         float64
	changeMillis                    float64
	storeCallsPerSecond             float64
}

// Mesh measures entries at rest against their number: bytes, processor time, memory, calls to the store,
// and how long a change of settings takes to be in force everywhere.
func Mesh(ctx context.Context, settings apsettings.Tree, deployment string, entries []int, logger *logrus.Logger) ([]Slope, error) {
	var bytes, frames, cpu, memory, change, calls []Point
	for _, n := range entries {
		sample, err := measureMesh(ctx, settings, deployment, n, logger)
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
	return []Slope{
		NewSlope("mesh bytes sent, a node", "entries", "KiB/s", bytes),
		NewSlope("mesh frames sent, a node", "entries", "frames/s", frames),
		NewSlope("processor time, a node", "entries", "% of a core", cpu),
		NewSlope("heap, a node", "entries", "KiB", memory),
		NewSlope("settings change in force everywhere", "entries", "ms", change),
		NewSlope("store calls, all nodes", "entries", "calls/s", calls),
	}, nil
}

func measureMesh(ctx context.Context, settings apsettings.Tree, deployment string, n int, logger *logrus.Logger) (meshSample, error) {
	var sample meshSample
	before := heap()
	cluster, err := aptrial.Start(ctx, aptrial.Options{
		Deployment: deployment, Settings: settings, Entries: n, Standin: apstandin.DefaultOptions(), Logger: logger,
	})
	if err != nil {
		return sample, err
	}
	time.Sleep(settleTime)
	sample.heapKiB = float64(heap()-before) / float64(n) / bytesPerKiB
	from := readCounters(cluster)
	time.Sleep(measureTime)
	to := readCounters(cluster)
	seconds := to.at.Sub(from.at).Seconds()
	nodes := float64(n)
	sample.bytesPerSecond = float64(to.bytes-from.bytes) / seconds / nodes
	sample.framesPerSecond = float64(to.frames-from.frames) / seconds / nodes
	sample.cpuShare = (to.cpu - from.cpu).Seconds() / seconds / nodes
	sample.storeCallsPerSecond = float64(to.calls-from.calls) / seconds
	sample.changeMillis, err = measureChange(ctx, cluster, settings, deployment)
	if closing := cluster.Close(); err == nil {
		err = closing
	}
	return sample, err
}

// measureChange returns the mean time until a change is in force everywhere.
func measureChange(ctx context.Context, cluster *aptrial.Cluster, settings apsettings.Tree, deployment string) (float64, error) {
	path := settings.Services(deployment)[0]
	total := time.Duration(0)
	for i := range settingChanges {
		accepted, err := cluster.Operator(i%len(cluster.Entries())).Change(ctx, apoperator.SettingsChange{
			Path: path, Key: "QueueLimit", Value: string(rune('1' + i)), Wait: true,
		})
		if err != nil {
			return 0, err
		}
		total += accepted.Elapsed
		time.Sleep(settleTime / settingChanges)
	}
	return total.Seconds() * 1000 / settingChanges, nil
}

type counters struct {
	at            time.Time
	bytes, frames int64
	cpu           time.Duration
	calls         uint64
}

func readCounters(cluster *aptrial.Cluster) counters {
	c := counters{at: time.Now(), cpu: processorTime()}
	for _, e := range cluster.Entries() {
		c.bytes += metrics.GetOrRegisterCounter("Mesh.BytesSent", e.Daemon.Metrics()).Count()
		c.frames += metrics.GetOrRegisterCounter("Mesh.FramesSent", e.Daemon.Metrics()).Count()
	}
	report := cluster.Standin.Report()
	c.calls = report.StoreReads + report.StoreWrites + report.StoreWatches + report.StoreLeases
	return c
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
