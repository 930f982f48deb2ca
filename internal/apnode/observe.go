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
func (registry) Parse(key apfleet.Key, data []byte) (apworker.Info, error) {
	return apadapter.ParseWorker(key, data)
}

// reporter writes the log and the metrics of an entry.
type reporter struct {
	logger  *logrus.Logger
	metrics metrics.Registry
	// version is that of the settings in force.
	version atomic.Uint64
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
	// An entry of its own saves the copies that WithFields makes.
	entry := logrus.Entry{Logger: r.logger, Data: fields}
	entry.Info()
}

func (r *reporter) logRequest(event string, id apjob.ID, err error, fields map[string]any) {
	if fields == nil {
		fields = make(map[string]any)
	}
	fields["Job"], fields["Code"], fields["SettingsVersion"] = id, uint16(apcode.Of(err)), r.version.Load()
	if err != nil {
		fields["Error"] = err
	}
	r.logEvent(event, fields)
}

// Samples of a histogram of durations.
const (
	reservoirSize  = 256
	reservoirAlpha = 0.015
)

func (r *reporter) observe(name string, d time.Duration) {
	histogram := r.metrics.GetOrRegister("duration."+name+".us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// serveMetrics writes all counters and histograms, one line each.
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

// client returns a client of the platform whose calls are counted.
func (r *reporter) client(maxPerHost int) *apadapter.Client {
	return r.count(apadapter.NewClient(maxPerHost))
}

// count makes a client count its calls.
func (r *reporter) count(client *apadapter.Client) *apadapter.Client {
	client.Count = func(path string) {
		metrics.GetOrRegisterCounter(callsPrefix+callName(path), r.metrics).Inc(1)
	}
	return client
}

const (
	callsPrefix = "calls."
	// reportEvery is how often the counts of calls are logged.
	reportEvery = 10 * time.Second
)

// callName returns the name of a call: the last part of its path that isn't a number.
func callName(path string) string {
	name := strings.TrimPrefix(path, "/auburnport/")
	name, _, _ = strings.Cut(name, "/")
	return name
}

// reportCalls logs the counts of calls to the platform since the last line.
func (r *reporter) reportCalls(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
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
			if call, isCall := strings.CutPrefix(name, callsPrefix); ok && isCall {
				fields[call] = counter.Count() - last[name]
				last[name] = counter.Count()
			}
		})
		r.logEvent("Calls", fields)
	}
}
