package apnode

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjob"
	"auburnport/pkg/apworker"
	"auburnport/platform"
)

// Parse implements apowner.Registry.
func (workerRegistry) Parse(key apfleet.Key, data []byte) (apworker.Info, error) {
	return apadapter.ParseWorker(key, data)
}

// reporter writes the log and the metrics of an entry.
type reporter struct {
	logger  *logrus.Logger
	metrics metrics.Registry
	// settingsVersion is the version of the operators' settings in force.
	settingsVersion atomic.Uint64
}

func newReporter(logger *logrus.Logger, registry metrics.Registry) *reporter {
	return &reporter{logger: logger, metrics: registry}
}

func (r *reporter) logEvent(event string, fields map[string]any) {
	metrics.GetOrRegisterCounter("event."+event, r.metrics).Inc(1)
	if fields == nil {
		fields = make(map[string]any)
	}
	for key, value := range fields {
		if value == nil {
			delete(fields, key)
		}
	}
	fields["Event"] = event
	// Building the logrus entry directly avoids the copy of the fields that WithFields makes.
	entry := logrus.Entry{Logger: r.logger, Data: fields}
	entry.Info()
}

func (r *reporter) logRequest(event string, id apjob.ID, err error, fields map[string]any) {
	if fields == nil {
		fields = make(map[string]any)
	}
	fields["Job"], fields["Code"], fields["SettingsVersion"] = id, uint16(apcode.Of(err)), r.settingsVersion.Load()
	if err != nil {
		fields["Error"] = err
	}
	r.logEvent(event, fields)
}

// Parameters of the exponentially decaying sample behind each duration histogram.
const (
	reservoirSize  = 256
	reservoirAlpha = 0.015
)

func (r *reporter) observeDuration(name string, d time.Duration) {
	histogram := r.metrics.GetOrRegister("duration."+name+".us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// serveMetrics writes all counters, gauges and histograms, one per line.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.GetOrRegisterGauge("shards", n.metrics).Update(int64(len(n.member.Owned())))
	n.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			p := m.Percentiles([]float64{0.5, 0.95, 0.99})
			_, _ = fmt.Fprintf(w, "%s count=%d p50=%.0f p95=%.0f p99=%.0f max=%d\n", name, m.Count(), p[0], p[1], p[2], m.Max())
		}
	})
}

// newClient returns a platform client that counts its calls in the metrics.
func (r *reporter) newClient(maxPerHost int) *apadapter.Client {
	return r.countCalls(apadapter.NewClient(maxPerHost))
}

// countCalls makes a client count its calls in the metrics, by the name of the call.
func (r *reporter) countCalls(client *apadapter.Client) *apadapter.Client {
	client.OnCall = func(path string) {
		metrics.GetOrRegisterCounter(callCounterPrefix+callName(path), r.metrics).Inc(1)
	}
	return client
}

const (
	callCounterPrefix = "calls."
	// callReportInterval is the time between two log lines with call counts.
	callReportInterval = 10 * time.Second
)

// callName returns the name of a call: the first path segment after the platform's API prefix.
func callName(path string) string {
	name := strings.TrimPrefix(path, "/auburnport/")
	name, _, _ = strings.Cut(name, "/")
	return name
}

// logCallCounts periodically logs how many calls to the platform were made since the previous log line.
func (r *reporter) logCallCounts(ctx context.Context) error {
	ticker := time.NewTicker(callReportInterval)
	defer ticker.Stop()
	last := make(map[string]int64)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		fields := make(map[string]any)
		r.metrics.Each(func(name string, metric any) {
			counter, ok := metric.(metrics.Counter)
			if call, isCall := strings.CutPrefix(name, callCounterPrefix); ok && isCall {
				fields[call] = counter.Count() - last[name]
				last[name] = counter.Count()
			}
		})
		r.logEvent("Calls", fields)
	}
}
