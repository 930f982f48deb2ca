package apentry

import (
	"time"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// ClaimRequest describes the claim on the id of a request.
type ClaimRequest struct {
	ID apclaim.ID
	// Deadline is when the claim must be decided.
	Deadline time.Time
	// Window is how long the id is remembered.
	Window time.Duration
}

// ClaimResult is the result of a claim: Claimed, Repeated or ClaimRefused.
type ClaimResult interface{ claimResult() }

// Grant is a granted claim. It ends with Complete or Release, or expires after its window.
type Grant interface {
	// Complete records the answer, which is given to later requests with the same id.
	Complete(answer apclaim.Answer)
	// Release gives the id up, because the request did not run.
	Release()
}

// Claimed means that the id was granted and the request may run.
type Claimed struct{ Grant Grant }

// Repeated means that the request ran before; Answer is its recorded answer.
type Repeated struct{ Answer apclaim.Answer }

// ClaimRefused means that the id was not granted: the request must not run.
type ClaimRefused struct {
	Code   apcode.Code
	Detail string
}

func (Claimed) claimResult()      {}
func (Repeated) claimResult()     {}
func (ClaimRefused) claimResult() {}

// claimID returns the id under which a request is claimed; ids of different services never collide.
func claimID(service apfleet.ServiceName, id string) apclaim.ID {
	return apclaim.ID(string(service) + "/" + id)
}
