package apentry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnport/internal/apentry"
	"auburnport/internal/apstandin"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
)

// BenchmarkPath compares direct calls, calls through a minimal net/http proxy and calls through an entry,
// with 4 concurrent callers per processor. In addition to the time per call it reports the median and the 99th
// percentile of the latency.
func BenchmarkPath(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 256))
	}))
	defer backend.Close()
	address := netip.MustParseAddrPort(backend.Listener.Addr().String())
	passThrough := httptest.NewServer(apstandin.NewPassThrough(address))
	defer passThrough.Close()
	entry := apentry.New(&grantingClaimer{})
	settings := apsettings.Defaults()
	settings.Slots, settings.Connections = 64, 256
	settings.IdempotentMethods = []string{http.MethodGet}
	entry.SetFleet(apentry.Fleet{Members: 1, Services: []apentry.Service{{
		Name: "search", Settings: settings, Instances: []aproute.Instance{{ID: "vm-1", Address: address}},
	}}})
	entryServer := httptest.NewServer(entry)
	defer entryServer.Close()
	for _, path := range []struct{ name, url string }{{"Direct", backend.URL}, {"PassThrough", passThrough.URL}, {"Entry", entryServer.URL}} {
		b.Run(path.name, func(b *testing.B) { measure(b, path.url+"/search/item") })
	}
}

// measure runs the benchmark's calls against one URL and reports their latencies.
func measure(b *testing.B, url string) {
	const callers = 16
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	b.ReportAllocs()
	b.SetParallelism(callers / 4)
	b.RunParallel(func(pb *testing.PB) {
		var own []time.Duration
		for pb.Next() {
			started := time.Now()
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			own = append(own, time.Since(started))
		}
		mu.Lock()
		latencies = append(latencies, own...)
		mu.Unlock()
	})
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}
