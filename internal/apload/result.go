package apload

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
)

const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	maxExamples       = 5
)

// CodeCount counts the requests that ended with a result code.
type CodeCount struct {
	Code  apcode.Code `json:"Code"`
	Name  string      `json:"Name"`
	Count int         `json:"Count"`
}

// Invariant is a property that must always hold, with the number of violations and some examples.
type Invariant struct {
	Name       string   `json:"Name"`
	Violations int      `json:"Broken"`
	Examples   []string `json:"Examples,omitempty"`
}

// Result holds the measurements of a load.
type Result struct {
	Requests int `json:"Requests"`
	Answered int `json:"Answered"`
	// Goodput is the rate of complete, successful responses per second.
	Goodput float64 `json:"Goodput"`
	// P50, P90, P99 and Max are latencies of successful requests, retries included.
	P50 time.Duration `json:"P50"`
	P90 time.Duration `json:"P90"`
	P99 time.Duration `json:"P99"`
	Max time.Duration `json:"Max"`
	// RefusalP99 is the 99th percentile of the time until a refusal, over requests whose first and only
	// attempt was refused without being executed.
	RefusalP99 time.Duration `json:"RefusalP99"`
	Codes      []CodeCount   `json:"Codes"`
	// Unknown counts the requests whose outcome the caller never learned, because the last attempt
	// brought no complete response.
	Unknown int `json:"Unknown"`
	// Skipped counts the requests that were not sent because too many were in flight.
	Skipped         int         `json:"Skipped"`
	Runs            int         `json:"Runs"`
	OverCommitted   int         `json:"OverCommitted"`
	PeakConnections int         `json:"PeakConnections"`
	Invariants      []Invariant `json:"Invariants"`
}

// Violations returns the number of violations of all invariants.
func (r Result) Violations() int {
	total := 0
	for _, i := range r.Invariants {
		total += i.Violations
	}
	return total
}

// statistics accumulates the outcomes of requests.
type statistics struct {
	latency  *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	answered int
	unknown  int
	codes    map[apcode.Code]int
}

func newStatistics() statistics {
	return statistics{
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		refusal: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		codes:   make(map[apcode.Code]int),
	}
}

func (s *statistics) add(r *requestRecord) {
	last := r.attempts[len(r.attempts)-1]
	switch {
	case last.transportFailed:
		s.unknown++
	case last.code == apcode.OK && last.status == 200:
		s.answered++
		_ = s.latency.RecordValue(r.elapsed.Microseconds())
	default:
		s.codes[last.code]++
		if last.notRun && len(r.attempts) == 1 {
			_ = s.refusal.RecordValue(r.refusedAfter.Microseconds())
		}
	}
}

// Progress counts the completed requests of a running load and those answered successfully.
type Progress struct {
	Requests, Answered int
}

// Progress returns the counts so far.
func (l *Load) Progress() Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Progress{Requests: len(l.records), Answered: l.stats.answered}
}

// Result returns the measurements, and checks the invariants against the backend servers' report.
func (l *Load) Result(report apstandin.Report) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	result := Result{
		Requests: len(l.records), Answered: s.answered, Unknown: s.unknown, Skipped: l.skipped,
		Goodput: float64(s.answered) / l.options.Duration.Seconds(),
		P50:     quantile(s.latency, 50), P90: quantile(s.latency, 90), P99: quantile(s.latency, 99),
		Max: quantile(s.latency, 100), RefusalP99: quantile(s.refusal, 99),
		Runs: len(report.Runs), OverCommitted: report.OverCommitted, PeakConnections: report.PeakConnections,
		Invariants: checkInvariants(l.records, report),
	}
	for code, count := range s.codes {
		result.Codes = append(result.Codes, CodeCount{Code: code, Name: code.String(), Count: count})
	}
	slices.SortFunc(result.Codes, func(a, b CodeCount) int { return int(a.Code) - int(b.Code) })
	return result
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// WriteTable prints the result as a table.
func (r Result) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("Requests", r.Requests)
	row("Answered whole", r.Answered)
	row("Goodput", fmt.Sprintf("%.0f a second", r.Goodput))
	row("Latency p50, p90, p99, max", fmt.Sprintf("%v  %v  %v  %v", r.P50, r.P90, r.P99, r.Max))
	row("Refusals told within (p99)", r.RefusalP99)
	for _, c := range r.Codes {
		row(fmt.Sprintf("  %d %s", c.Code, c.Name), c.Count)
	}
	row("Outcome never learned", r.Unknown)
	if r.Skipped > 0 {
		row("Not sent: too many open", r.Skipped)
	}
	row("Runs at backend servers", r.Runs)
	row("Arrivals above the slots", r.OverCommitted)
	row("Most connections to an instance", r.PeakConnections)
	for _, i := range r.Invariants {
		row("Invariant: "+i.Name, verdict(i))
	}
	_ = w.Flush()
}

func verdict(i Invariant) string {
	if i.Violations == 0 {
		return "held"
	}
	return fmt.Sprintf("BROKEN %d times, e.g. %v", i.Violations, i.Examples)
}
