package apentry

import (
	"time"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// ClaimRequest asks for the id of a request.
type ClaimRequest struct {
	ID apclaim.ID
	// Deadline bounds the time that the claim may take.
	Deadline time.Time
	// Window is how long the id is remembered.
	Window time.Duration
}

// ClaimResult is Claimed, Repeated or ClaimRefused.
type ClaimResult interface{ claimResult() }

// Grant ends a claim.
type Grant interface {
	// Complete records the answer.
	Complete(answer apclaim.Answer)
	// Release forgets the claim: the request did not run.
	Release()
}

// Claimed allows the request to run.
type Claimed struct{ Grant Grant }

// Repeated gives the answer of the run before.
type Repeated struct{ Answer apclaim.Answer }

// ClaimRefused ends the request, which was not run by this attempt.
type ClaimRefused struct {
	Code   apcode.Code
	Detail string
}

func (Claimed) claimResult()      {}
func (Repeated) claimResult()     {}
func (ClaimRefused) claimResult() {}

func claimID(service apfleet.ServiceName, id string) apclaim.ID {
	return apclaim.ID(string(service) + "/" + id)
}
