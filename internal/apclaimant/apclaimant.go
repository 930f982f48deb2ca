// Package apclaimant claims request ids over the mesh, at the entries that own them, and decides the claims
// of other entries on the ids that this entry owns.
package apclaimant

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"auburnport/internal/apentry"
	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// Mesh holds the methods of the mesh that claims need.
type Mesh interface {
	Members() []apmesh.Member
	Call(ctx context.Context, to apfleet.EntryName, message apmesh.Message) (apmesh.Message, error)
	Send(to apfleet.EntryName, message apmesh.Message) error
}

const (
	// claimRetryDelay is the delay before an undecided claim is repeated.
	claimRetryDelay = 50 * time.Millisecond
	// replyMargin is the minimum time between the start of another round of a claim and the request's deadline.
	// It leaves time for refusing the request when its claim stays undecided.
	replyMargin = 50 * time.Millisecond
	// ownerTimeout limits the wait for one owner's reply before the next owner is tried.
	ownerTimeout = 300 * time.Millisecond
	// handoverBatchSize is the maximum number of records in one Handover message.
	handoverBatchSize = 256
	// defaultViewWindow is used until SetViewWindow is called.
	defaultViewWindow = 10 * time.Minute
)

// Claimant claims request ids for this entry and holds the ids that this entry owns. It implements
// apentry.Claimer and apmesh.Handler.
type Claimant struct {
	self apfleet.Member

	mu       sync.Mutex
	mesh     Mesh
	table    *apclaim.Table
	registry apfleet.Registry
	window   time.Duration
	leaving  bool
}

// New returns a Claimant without a mesh.
func New(self apfleet.Registration) *Claimant {
	return &Claimant{self: self.Member(), table: apclaim.New(), window: defaultViewWindow}
}

// SetMesh sets the mesh. Until it is called, no id is claimed or granted.
func (c *Claimant) SetMesh(mesh Mesh) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mesh = mesh
}

// SetRegistry sets the registry of entries, unless the present one is as new or newer.
func (c *Claimant) SetRegistry(registry apfleet.Registry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if registry.Sequence > c.registry.Sequence {
		c.registry = registry
	}
}

// SetViewWindow sets how long former views of the registry still count. It is at least as long as request ids
// are remembered, because the owners in a former view may know of a claim.
func (c *Claimant) SetViewWindow(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = window
}

func (c *Claimant) plan(id apclaim.ID) apclaim.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return apclaim.NewPlan(time.Now(), c.registry, id, c.window)
}

func (c *Claimant) currentMesh() Mesh {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mesh
}

// Claim implements apentry.Claimer.
func (c *Claimant) Claim(ctx context.Context, request apentry.ClaimRequest) apentry.ClaimResult {
	mesh := c.currentMesh()
	if mesh == nil {
		return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "this entry has not joined the mesh yet"}
	}
	claim := apclaim.Request{ID: request.ID, Token: apclaim.Token(rand.Text()), Window: request.Window}
	for {
		claim.Round++
		plan := c.plan(request.ID)
		replies := claimAtOwners(ctx, mesh, plan, claim, request.Deadline)
		result := c.decide(mesh, plan, claim, replies)
		if result != nil {
			return result
		}
		release(mesh, replies.possibleHolders(), claim)
		if time.Now().Add(replyMargin + claimRetryDelay).After(request.Deadline) {
			return replies.refusal()
		}
		select {
		case <-time.After(claimRetryDelay):
		case <-ctx.Done():
			return replies.refusal()
		}
	}
}

// ownerReplies collects the replies of the owners to one round of a claim.
type ownerReplies struct {
	granted []apfleet.Member
	// notGranted members denied the claim or could not be reached, or their reply was lost.
	notGranted []apfleet.Member
	// replyLost members may have granted the claim, but their reply was lost.
	replyLost []apfleet.Member
	denial    apmesh.VerdictKind
	answer    apclaim.Answer
}

// refusal returns the result of a claim that could not be decided in time.
func (r ownerReplies) refusal() apentry.ClaimResult {
	if r.denial == apmesh.VerdictInFlight {
		return apentry.ClaimRefused{Code: apcode.ClaimInFlight, Detail: "a request with this id is still running"}
	}
	return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "too few owners of the request id granted the claim"}
}

// claimAtOwners claims the id at one owner after the other, in the order that all claimants use, until
// enough owners have granted it. After a denial it still asks the other owners, because one of them may
// know the answer.
func claimAtOwners(ctx context.Context, mesh Mesh, plan apclaim.Plan, claim apclaim.Request, deadline time.Time) ownerReplies {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var replies ownerReplies
	for {
		member, ok := plan.NextOwner(replies.granted, replies.notGranted)
		if !ok {
			return replies
		}
		verdict, err := claimAtOwner(ctx, mesh, apmesh.Claim{Request: claim, Owner: member, Sequence: plan.Sequence})
		switch {
		case apcode.Is(err, apcode.ReplyLost):
			replies.replyLost = append(replies.replyLost, member)
			replies.notGranted = append(replies.notGranted, member)
		case err != nil:
			replies.notGranted = append(replies.notGranted, member)
		case verdict.Kind == apmesh.VerdictGranted:
			replies.granted = append(replies.granted, member)
		case verdict.Kind == apmesh.VerdictAnswered:
			replies.denial = verdict.Kind
			replies.answer = verdict.Answer
			return replies
		default:
			// VerdictSpent is final and outweighs VerdictInFlight.
			replies.denial = max(replies.denial, verdict.Kind)
			replies.notGranted = append(replies.notGranted, member)
		}
	}
}

func claimAtOwner(ctx context.Context, mesh Mesh, claim apmesh.Claim) (apmesh.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply, err := mesh.Call(ctx, claim.Owner.Name, claim)
	if err != nil {
		return apmesh.Verdict{}, err
	}
	verdict, ok := reply.(apmesh.Verdict)
	if !ok {
		return verdict, apcode.Errorf(apcode.BadMessage, "the reply to a claim is a %T, not a Verdict", reply)
	}
	return verdict, nil
}

// decide returns the result of a claim, or nil if the owners must be asked again.
func (c *Claimant) decide(mesh Mesh, plan apclaim.Plan, claim apclaim.Request, replies ownerReplies) apentry.ClaimResult {
	switch replies.denial {
	case apmesh.VerdictAnswered:
		release(mesh, replies.possibleHolders(), claim)
		return apentry.Repeated{Answer: replies.answer}
	case apmesh.VerdictSpent:
		release(mesh, replies.possibleHolders(), claim)
		return apentry.ClaimRefused{Code: apcode.ClaimSpent, Detail: "the request ran before and its answer was not kept"}
	case apmesh.VerdictInFlight:
		return nil
	default:
	}
	if plan.HasQuorum(replies.granted) {
		return apentry.Claimed{Grant: &grant{claimant: c, mesh: mesh, claim: claim, plan: plan}}
	}
	return nil
}

// possibleHolders returns the members that may have granted the claim.
func (r ownerReplies) possibleHolders() []apfleet.Member { return append(r.replyLost, r.granted...) }

// release tells the members that may have granted the claim to forget it, unless they have granted a later round.
func release(mesh Mesh, possibleHolders []apfleet.Member, claim apclaim.Request) {
	for _, owner := range possibleHolders {
		_ = mesh.Send(owner.Name, apmesh.Release{ID: claim.ID, Token: claim.Token, Round: claim.Round})
	}
}

// grant implements apentry.Grant.
type grant struct {
	claimant *Claimant
	mesh     Mesh
	claim    apclaim.Request
	plan     apclaim.Plan
}

// Complete implements apentry.Grant. It sends the answer to the owners at the time of the claim and to the
// present owners.
func (g *grant) Complete(answer apclaim.Answer) {
	message := apmesh.Complete{ID: g.claim.ID, Token: g.claim.Token, Answer: answer}
	notified := make(map[apfleet.EntryName]struct{})
	for _, owner := range append(g.plan.AllOwners(), g.claimant.plan(message.ID).AllOwners()...) {
		if _, ok := notified[owner.Name]; ok {
			continue
		}
		notified[owner.Name] = struct{}{}
		_ = g.mesh.Send(owner.Name, message)
	}
}

// Release implements apentry.Grant.
func (g *grant) Release() { release(g.mesh, g.plan.AllOwners(), g.claim) }
