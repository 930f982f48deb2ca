package apload

import (
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Names of the invariants.
const (
	InvariantWhole       = "AnswersWholeAndToTheRightRequest"
	InvariantNotRun      = "RefusedNotRunDidNotRun"
	InvariantAtMostOnce  = "NonIdempotentAtMostOnce"
	InvariantLeaving     = "NoNewWorkOnLeavingVMs"
	InvariantStop        = "PlannedStopsCutNothing"
	InvariantConnections = "ConnectionsWithinLimit"
)

// attemptKey names one ask of a request.
type attemptKey struct {
	id, attempt string
}

// check compares the callers' records with those of the backend servers.
func check(records []*record, report apstandin.Report) []Invariant {
	runs := make(map[string]int)
	attempts := make(map[attemptKey]apfleet.VMID)
	for _, run := range report.Runs {
		runs[run.RequestID]++
		attempts[attemptKey{run.RequestID, run.Attempt}] = run.VM
	}
	whole := Invariant{Name: InvariantWhole}
	notRun := Invariant{Name: InvariantNotRun}
	once := Invariant{Name: InvariantAtMostOnce}
	for _, r := range records {
		for _, a := range r.asks {
			if a.broken != "" {
				whole.add(r.call.id + ": " + a.broken)
			}
			if _, ran := attempts[attemptKey{r.call.id, a.attempt}]; ran && a.notRun {
				notRun.add(r.call.id + " attempt " + a.attempt)
			}
		}
		if !r.call.idempotent && runs[r.call.id] > 1 {
			once.add(r.call.id)
		}
		if !r.call.idempotent && answeredByTwo(r) {
			once.add(r.call.id + " was answered by two VMs")
		}
	}
	leaving := Invariant{Name: InvariantLeaving, Broken: report.LateArrivals}
	stop := Invariant{Name: InvariantStop, Broken: report.InterruptedByRestart}
	connections := Invariant{Name: InvariantConnections}
	if report.PeakConnections > report.ConnectionLimit {
		connections.Broken = 1
	}
	return []Invariant{whole, notRun, once, leaving, stop, connections}
}

func answeredByTwo(r *record) bool {
	var vm apfleet.VMID
	for _, a := range r.asks {
		if a.code != apcode.OK || a.vm == "" {
			continue
		}
		if vm != "" && vm != a.vm {
			return true
		}
		vm = a.vm
	}
	return false
}

func (i *Invariant) add(example string) {
	i.Broken++
	if len(i.Examples) < maxExamples {
		i.Examples = append(i.Examples, example)
	}
}
