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

// BenchmarkPath compares direct calls, a bare pass-through of net/http and an entry, with 16 callers at
// once. It reports the median and the 99th percentile of a call beside the time for each call.
func BenchmarkPath(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 256))
	}))
	defer backend.Close()
	address := netip.MustParseAddrPort(backend.Listener.Addr().String())
	bare := httptest.NewServer(apstandin.NewPassThrough(address))
	defer bare.Close()
	entry := apentry.New(&grants{})
	settings := apsettings.Defaults()
	settings.Slots, settings.Connections = 64, 256
	settings.IdempotentMethods = []string{http.MethodGet}
	entry.SetFleet(apentry.Fleet{Members: 1, Services: []apentry.Service{{
		Name: "search", Settings: settings, Instances: []aproute.Instance{{ID: "vm-1", Address: address}},
	}}})
	served := httptest.NewServer(entry)
	defer served.Close()
	for _, path := range []struct{ name, url string }{{"Direct", backend.URL}, {"PassThrough", bare.URL}, {"Entry", served.URL}} {
		b.Run(path.name, func(b *testing.B) { measure(b, path.url+"/search/item") })
	}
}

func measure(b *testing.B, url string) {
	const callers = 16
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	b.ReportAllocs()
	b.SetParallelism(callers / 4)
	b.RunParallel(func(pb *testing.PB) {
		var mine []time.Duration
		for pb.Next() {
			started := time.Now()
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			mine = append(mine, time.Since(started))
		}
		mu.Lock()
		latencies = append(latencies, mine...)
		mu.Unlock()
	})
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}
