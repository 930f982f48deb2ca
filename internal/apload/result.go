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
	maxLatencyMicros = 60_000_000
	significant      = 3
	maxExamples      = 5
)

// CodeCount counts the requests that ended with a code.
type CodeCount struct {
	Code  apcode.Code `json:"Code"`
	Name  string      `json:"Name"`
	Count int         `json:"Count"`
}

// Invariant is a promise with the number of times it was broken.
type Invariant struct {
	Name     string   `json:"Name"`
	Broken   int      `json:"Broken"`
	Examples []string `json:"Examples,omitempty"`
}

// Result is what a load measured.
type Result struct {
	Requests int `json:"Requests"`
	Answered int `json:"Answered"`
	// Goodput is whole answers per second.
	Goodput float64 `json:"Goodput"`
	// Latencies of whole answers.
	P50 time.Duration `json:"P50"`
	P90 time.Duration `json:"P90"`
	P99 time.Duration `json:"P99"`
	Max time.Duration `json:"Max"`
	// RefusalP99 is the time within which 99 of 100 refusals were told.
	RefusalP99 time.Duration `json:"RefusalP99"`
	Codes      []CodeCount   `json:"Codes"`
	// Unknown counts the requests whose outcome the caller never learned.
	Unknown int `json:"Unknown"`
	// Skipped counts requests that were not sent because too many were open.
	Skipped       int         `json:"Skipped"`
	Runs          int         `json:"Runs"`
	OverCommitted int         `json:"OverCommitted"`
	PeakConns     int         `json:"PeakConnections"`
	Invariants    []Invariant `json:"Invariants"`
}

// Broken counts all broken invariants.
func (r Result) Broken() int {
	total := 0
	for _, i := range r.Invariants {
		total += i.Broken
	}
	return total
}

type recorderState struct {
	latency  *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	answered int
	unknown  int
	codes    map[apcode.Code]int
}

func newRecorderState() recorderState {
	return recorderState{
		latency: hdrhistogram.New(1, maxLatencyMicros, significant),
		refusal: hdrhistogram.New(1, maxLatencyMicros, significant),
		codes:   make(map[apcode.Code]int),
	}
}

func (s *recorderState) add(r *record) {
	last := r.asks[len(r.asks)-1]
	switch {
	case last.unknown:
		s.unknown++
	case last.code == apcode.OK && last.status == 200:
		s.answered++
		_ = s.latency.RecordValue(r.elapsed.Microseconds())
	default:
		s.codes[last.code]++
		if last.notRun && len(r.asks) == 1 {
			_ = s.refusal.RecordValue(r.refusedAfter.Microseconds())
		}
	}
}

// Snapshot is how far a load is.
type Snapshot struct {
	Requests, Answered int
}

// Snapshot returns how far the load is.
func (l *Load) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{Requests: len(l.records), Answered: l.result.answered}
}

// Result compares the callers' records with those of the backend servers.
func (l *Load) Result(report apstandin.Report) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.result
	result := Result{
		Requests: len(l.records), Answered: s.answered, Unknown: s.unknown, Skipped: l.skipped,
		Goodput: float64(s.answered) / l.options.Duration.Seconds(),
		P50:     quantile(s.latency, 50), P90: quantile(s.latency, 90), P99: quantile(s.latency, 99),
		Max: quantile(s.latency, 100), RefusalP99: quantile(s.refusal, 99),
		Runs: len(report.Runs), OverCommitted: report.OverCommitted, PeakConns: report.PeakConnections,
		Invariants: check(l.records, report),
	}
	for code, count := range s.codes {
		result.Codes = append(result.Codes, CodeCount{Code: code, Name: code.String(), Count: count})
	}
	slices.SortFunc(result.Codes, func(a, b CodeCount) int { return int(a.Code) - int(b.Code) })
	return result
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Write prints a table for people.
func (r Result) Write(out io.Writer) {
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
	row("Most connections to an instance", r.PeakConns)
	for _, i := range r.Invariants {
		row("Invariant: "+i.Name, verdict(i))
	}
	_ = w.Flush()
}

func verdict(i Invariant) string {
	if i.Broken == 0 {
		return "held"
	}
	return fmt.Sprintf("BROKEN %d times, e.g. %v", i.Broken, i.Examples)
}
