package apstandin

import "sync"

// recorder collects what the backend servers saw.
type recorder struct {
	mu     sync.Mutex
	report Report
}

func (r *recorder) run(run Run) {
	r.update(func(report *Report) { report.Runs = append(report.Runs, run) })
}

func (r *recorder) lateArrival() { r.update(func(report *Report) { report.LateArrivals++ }) }

func (r *recorder) overCommitted() { r.update(func(report *Report) { report.OverCommitted++ }) }

func (r *recorder) connections(open int) {
	r.update(func(report *Report) { report.PeakConnections = max(report.PeakConnections, open) })
}

func (r *recorder) restart(cut int, moved bool) {
	r.update(func(report *Report) {
		report.Restarts++
		report.CutByStop += cut
		if moved {
			report.Moves++
		}
	})
}

func (r *recorder) update(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.report)
}

func (r *recorder) snapshot() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Runs = append([]Run(nil), r.report.Runs...)
	return report
}
