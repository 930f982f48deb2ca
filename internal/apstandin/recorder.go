package apstandin

import "sync"

// recorder collects the events of all backend servers into one report.
type recorder struct {
	mu     sync.Mutex
	report Report
}

func (r *recorder) addRun(run Run) {
	r.update(func(report *Report) { report.Runs = append(report.Runs, run) })
}

func (r *recorder) countLateArrival() { r.update(func(report *Report) { report.LateArrivals++ }) }

func (r *recorder) countOverCommitted() { r.update(func(report *Report) { report.OverCommitted++ }) }

func (r *recorder) observeConnections(open int) {
	r.update(func(report *Report) { report.PeakConnections = max(report.PeakConnections, open) })
}

func (r *recorder) countRestart(interrupted int, moved bool) {
	r.update(func(report *Report) {
		report.Restarts++
		report.InterruptedByRestart += interrupted
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
