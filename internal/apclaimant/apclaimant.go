// Package apclaimant claims request ids at their owners over the mesh, and answers as an owner.
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

// Mesh is the part of the mesh that claims need.
type Mesh interface {
	Members() []apmesh.Member
	Call(ctx context.Context, to apfleet.EntryName, message apmesh.Message) (apmesh.Message, error)
	Send(to apfleet.EntryName, message apmesh.Message) error
}

const (
	askAgainAfter = 50 * time.Millisecond
	// answerMargin is the time left to a caller when waiting for another run of its request ends.
	answerMargin  = 50 * time.Millisecond
	handoverRows  = 256
	defaultWindow = 10 * time.Minute
)

// Claimant is an owner of request ids and claims ids for this entry. It implements apentry.Claimer
// and apmesh.Handler.
type Claimant struct {
	self apclaim.Member

	mu      sync.Mutex
	mesh    Mesh
	table   *apclaim.Table
	views   apclaim.Views
	window  time.Duration
	leaving bool
}

// New returns a Claimant that is not attached to a mesh yet.
func New(self apfleet.Registration) *Claimant {
	return &Claimant{
		self:   apclaim.Member{Name: self.Name, Incarnation: self.Incarnation},
		table:  apclaim.New(),
		window: defaultWindow,
	}
}

// Attach sets the mesh. earlier holds the entries that were registered before this one: they may
// know of ids that were claimed before.
func (c *Claimant) Attach(mesh Mesh, earlier []apfleet.Registration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mesh = mesh
	members := make([]apclaim.Member, 0, len(earlier))
	for _, e := range earlier {
		members = append(members, apclaim.Member{Name: e.Name, Incarnation: e.Incarnation})
	}
	if len(members) > 0 {
		c.views.Observe(time.Now(), members, c.window)
	}
}

// SetWindow sets how long views are remembered: at least as long as any id.
func (c *Claimant) SetWindow(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = window
}

// Observe records the present members.
func (c *Claimant) Observe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
}

func (c *Claimant) observe(now time.Time) {
	if c.mesh == nil {
		return
	}
	present := c.mesh.Members()
	members := make([]apclaim.Member, 0, len(present))
	for _, m := range present {
		members = append(members, apclaim.Member{Name: m.Name, Incarnation: m.Incarnation})
	}
	c.views.Observe(now, members, c.window)
}

func (c *Claimant) plan(id apclaim.ID) apclaim.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observe(now)
	return c.views.Plan(now, id, c.window)
}

// Claim implements apentry.Claimer.
func (c *Claimant) Claim(ctx context.Context, request apentry.ClaimRequest) apentry.ClaimResult {
	claim := apmesh.Claim{Request: apclaim.Request{ID: request.ID, Token: apclaim.Token(rand.Text()), Window: request.Window}}
	for {
		plan := c.plan(request.ID)
		asked := c.ask(ctx, plan, claim, request.Deadline)
		result := c.conclude(plan, claim, asked)
		if result != nil {
			return result
		}
		c.release(claim, plan.Ask)
		if time.Now().Add(answerMargin + askAgainAfter).After(request.Deadline) {
			return asked.refusal()
		}
		select {
		case <-time.After(askAgainAfter):
		case <-ctx.Done():
			return asked.refusal()
		}
	}
}

// asked is what the owners replied.
type asked struct {
	granted []apclaim.Member
	denial  apmesh.VerdictKind
	answer  apclaim.Answer
	missing apfleet.EntryName
}

// refusal ends a claim that could not be decided in time.
func (a asked) refusal() apentry.ClaimResult {
	if a.denial == apmesh.VerdictInFlight {
		return apentry.ClaimRefused{Code: apcode.ClaimInFlight, Detail: "the request is being run"}
	}
	return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "owner " + string(a.missing) + " did not vouch for the id"}
}

// ask claims the id at one owner after the other, in the same order as every other claimant. After a
// denial the rest are still asked, because one of them may know the answer.
func (c *Claimant) ask(ctx context.Context, plan apclaim.Plan, claim apmesh.Claim, deadline time.Time) asked {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var result asked
	for _, member := range plan.Ask {
		reply, err := c.mesh.Call(ctx, member.Name, claim)
		verdict, ok := reply.(apmesh.Verdict)
		if err != nil || !ok {
			result.missing = member.Name
			continue
		}
		switch verdict.Kind {
		case apmesh.VerdictGranted:
			result.granted = append(result.granted, member)
		case apmesh.VerdictAnswered:
			result.denial = verdict.Kind
			result.answer = verdict.Answer
			return result
		default:
			result.denial = max(result.denial, verdict.Kind)
		}
	}
	return result
}

// conclude returns nil when the owners have to be asked again.
func (c *Claimant) conclude(plan apclaim.Plan, claim apmesh.Claim, asked asked) apentry.ClaimResult {
	switch asked.denial {
	case apmesh.VerdictAnswered:
		c.release(claim, plan.Ask)
		return apentry.Repeated{Answer: asked.answer}
	case apmesh.VerdictSpent:
		c.release(claim, plan.Ask)
		return apentry.ClaimRefused{Code: apcode.ClaimSpent, Detail: "the request ran before"}
	case apmesh.VerdictInFlight:
		return nil
	default:
	}
	if !plan.Possible {
		c.release(claim, plan.Ask)
		return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "every entry that could know of the id is gone"}
	}
	if plan.Enough(asked.granted) {
		return apentry.Claimed{Grant: &grant{claimant: c, claim: claim, owners: asked.granted}}
	}
	return nil
}

func (c *Claimant) release(claim apmesh.Claim, owners []apclaim.Member) {
	for _, owner := range owners {
		_ = c.mesh.Send(owner.Name, apmesh.Release{ID: claim.Request.ID, Token: claim.Request.Token})
	}
}

// grant implements apentry.Grant.
type grant struct {
	claimant *Claimant
	claim    apmesh.Claim
	owners   []apclaim.Member
}

// Complete implements apentry.Grant. The answer goes to the owners that granted and to those of now.
func (g *grant) Complete(answer apclaim.Answer) {
	message := apmesh.Complete{ID: g.claim.Request.ID, Token: g.claim.Request.Token, Answer: answer}
	told := make(map[apfleet.EntryName]struct{})
	for _, owner := range append(g.owners, g.claimant.plan(message.ID).Ask...) {
		if _, ok := told[owner.Name]; ok {
			continue
		}
		told[owner.Name] = struct{}{}
		_ = g.claimant.mesh.Send(owner.Name, message)
	}
}

// Release implements apentry.Grant.
func (g *grant) Release() { g.claimant.release(g.claim, g.owners) }
