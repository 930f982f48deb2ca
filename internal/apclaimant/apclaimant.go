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
	answerMargin = 50 * time.Millisecond
	// ownerTimeout is how long one owner is awaited before the next one is asked.
	ownerTimeout  = 300 * time.Millisecond
	handoverRows  = 256
	defaultWindow = 10 * time.Minute
)

// Claimant is an owner of request ids and claims ids for this entry. It implements apentry.Claimer
// and apmesh.Handler.
type Claimant struct {
	self apfleet.Member

	mu       sync.Mutex
	mesh     Mesh
	table    *apclaim.Table
	registry apfleet.Registry
	window   time.Duration
	leaving  bool
}

// New returns a Claimant that is not attached to a mesh yet.
func New(self apfleet.Registration) *Claimant {
	return &Claimant{self: self.Member(), table: apclaim.New(), window: defaultWindow}
}

// Attach sets the mesh. Until then no id is claimed or granted.
func (c *Claimant) Attach(mesh Mesh) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mesh = mesh
}

// SetRegistry sets the table of entries, unless a newer one is known.
func (c *Claimant) SetRegistry(registry apfleet.Registry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if registry.Sequence > c.registry.Sequence {
		c.registry = registry
	}
}

// SetWindow sets how long ids and former views are remembered.
func (c *Claimant) SetWindow(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = window
}

func (c *Claimant) plan(id apclaim.ID) apclaim.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return apclaim.NewPlan(time.Now(), c.registry, id, c.window)
}

func (c *Claimant) attached() Mesh {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mesh
}

// Claim implements apentry.Claimer.
func (c *Claimant) Claim(ctx context.Context, request apentry.ClaimRequest) apentry.ClaimResult {
	mesh := c.attached()
	if mesh == nil {
		return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "this entry has not joined yet"}
	}
	claim := apclaim.Request{ID: request.ID, Token: apclaim.Token(rand.Text()), Window: request.Window}
	for {
		plan := c.plan(request.ID)
		asked := ask(ctx, mesh, plan, claim, request.Deadline)
		result := c.conclude(mesh, plan, claim, asked)
		if result != nil {
			return result
		}
		release(mesh, asked.holders(), claim)
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
	granted []apfleet.Member
	silent  []apfleet.Member
	// uncertain members may have granted the id without their reply arriving.
	uncertain []apfleet.Member
	denial    apmesh.VerdictKind
	answer    apclaim.Answer
}

// refusal ends a claim that could not be decided in time.
func (a asked) refusal() apentry.ClaimResult {
	if a.denial == apmesh.VerdictInFlight {
		return apentry.ClaimRefused{Code: apcode.ClaimInFlight, Detail: "the request is being run"}
	}
	return apentry.ClaimRefused{Code: apcode.ClaimUnavailable, Detail: "too few owners vouched for the id"}
}

// ask claims the id at one owner after the other, in the same order as every other claimant, until
// enough have granted it. After a denial the rest are still asked, because one of them may know the
// answer.
func ask(ctx context.Context, mesh Mesh, plan apclaim.Plan, claim apclaim.Request, deadline time.Time) asked {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var result asked
	for {
		member, ok := plan.Next(result.granted, result.silent)
		if !ok {
			return result
		}
		verdict, err := askOwner(ctx, mesh, apmesh.Claim{Request: claim, Owner: member, Sequence: plan.Sequence})
		switch {
		case apcode.Is(err, apcode.ReplyLost):
			result.uncertain = append(result.uncertain, member)
			result.silent = append(result.silent, member)
		case err != nil:
			result.silent = append(result.silent, member)
		case verdict.Kind == apmesh.VerdictGranted:
			result.granted = append(result.granted, member)
		case verdict.Kind == apmesh.VerdictAnswered:
			result.denial = verdict.Kind
			result.answer = verdict.Answer
			return result
		default:
			result.denial = max(result.denial, verdict.Kind)
			result.silent = append(result.silent, member)
		}
	}
}

func askOwner(ctx context.Context, mesh Mesh, claim apmesh.Claim) (apmesh.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply, err := mesh.Call(ctx, claim.Owner.Name, claim)
	if err != nil {
		return apmesh.Verdict{}, err
	}
	verdict, ok := reply.(apmesh.Verdict)
	if !ok {
		return verdict, apcode.Errorf(apcode.BadMessage, "%T is not a verdict", reply)
	}
	return verdict, nil
}

// conclude returns nil when the owners have to be asked again.
func (c *Claimant) conclude(mesh Mesh, plan apclaim.Plan, claim apclaim.Request, asked asked) apentry.ClaimResult {
	switch asked.denial {
	case apmesh.VerdictAnswered:
		release(mesh, asked.holders(), claim)
		return apentry.Repeated{Answer: asked.answer}
	case apmesh.VerdictSpent:
		release(mesh, asked.holders(), claim)
		return apentry.ClaimRefused{Code: apcode.ClaimSpent, Detail: "the request ran before"}
	case apmesh.VerdictInFlight:
		return nil
	default:
	}
	if plan.Enough(asked.granted) {
		return apentry.Claimed{Grant: &grant{claimant: c, mesh: mesh, claim: claim, plan: plan}}
	}
	return nil
}

// holders returns everybody who may hold the claim.
func (a asked) holders() []apfleet.Member { return append(a.uncertain, a.granted...) }

// release forgets the claim at the members that may hold it.
func release(mesh Mesh, holders []apfleet.Member, claim apclaim.Request) {
	for _, owner := range holders {
		_ = mesh.Send(owner.Name, apmesh.Release{ID: claim.ID, Token: claim.Token})
	}
}

// grant implements apentry.Grant.
type grant struct {
	claimant *Claimant
	mesh     Mesh
	claim    apclaim.Request
	plan     apclaim.Plan
}

// Complete implements apentry.Grant. The answer goes to the owners of the claim and to those of now.
func (g *grant) Complete(answer apclaim.Answer) {
	message := apmesh.Complete{ID: g.claim.ID, Token: g.claim.Token, Answer: answer}
	told := make(map[apfleet.EntryName]struct{})
	for _, owner := range append(g.plan.Members(), g.claimant.plan(message.ID).Members()...) {
		if _, ok := told[owner.Name]; ok {
			continue
		}
		told[owner.Name] = struct{}{}
		_ = g.mesh.Send(owner.Name, message)
	}
}

// Release implements apentry.Grant.
func (g *grant) Release() { release(g.mesh, g.plan.Members(), g.claim) }
