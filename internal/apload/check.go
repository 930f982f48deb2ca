package apload

import (
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// Names of the invariants.
const (
	InvariantValidResponses     = "AnswersWholeAndToTheRightRequest"
	InvariantRefusedNotRun      = "RefusedNotRunDidNotRun"
	InvariantAtMostOnce         = "NonIdempotentAtMostOnce"
	InvariantNoWorkOnLeavingVMs = "NoNewWorkOnLeavingVMs"
	InvariantPlannedStops       = "PlannedStopsCutNothing"
	InvariantConnectionLimit    = "ConnectionsWithinLimit"
)

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	id, attempt string
}

// checkInvariants checks the callers' records against those of the backend servers.
func checkInvariants(records []*requestRecord, report apstandin.Report) []Invariant {
	runs := make(map[string]int)
	executed := make(map[attemptKey]apfleet.VMID)
	for _, run := range report.Runs {
		runs[run.RequestID]++
		executed[attemptKey{run.RequestID, run.Attempt}] = run.VM
	}
	valid := Invariant{Name: InvariantValidResponses}
	notRun := Invariant{Name: InvariantRefusedNotRun}
	atMostOnce := Invariant{Name: InvariantAtMostOnce}
	for _, r := range records {
		for _, a := range r.attempts {
			if a.invalidReason != "" {
				valid.addViolation(r.spec.id + ": " + a.invalidReason)
			}
			if _, ran := executed[attemptKey{r.spec.id, a.number}]; ran && a.notRun {
				notRun.addViolation(r.spec.id + " attempt " + a.number)
			}
		}
		if !r.spec.idempotent && runs[r.spec.id] > 1 {
			atMostOnce.addViolation(r.spec.id)
		}
		if !r.spec.idempotent && answeredByTwoVMs(r) {
			atMostOnce.addViolation(r.spec.id + " was answered by two VMs")
		}
	}
	leaving := Invariant{Name: InvariantNoWorkOnLeavingVMs, Violations: report.LateArrivals}
	stop := Invariant{Name: InvariantPlannedStops, Violations: report.InterruptedByRestart}
	connections := Invariant{Name: InvariantConnectionLimit}
	if report.PeakConnections > report.ConnectionLimit {
		connections.Violations = 1
	}
	return []Invariant{valid, notRun, atMostOnce, leaving, stop, connections}
}

// answeredByTwoVMs reports whether attempts of one request were answered by different VMs.
func answeredByTwoVMs(r *requestRecord) bool {
	var vm apfleet.VMID
	for _, a := range r.attempts {
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

func (i *Invariant) addViolation(example string) {
	i.Violations++
	if len(i.Examples) < maxExamples {
		i.Examples = append(i.Examples, example)
	}
}
