package apclaimant

import (
	"context"
	"time"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apmesh"
)

// HandleMessage implements apmesh.Handler.
func (c *Claimant) HandleMessage(_ context.Context, _ apfleet.EntryName, message apmesh.Message) (apmesh.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch m := message.(type) {
	case apmesh.Claim:
		if err := c.mayGrant(m); err != nil {
			return nil, err
		}
		return toMessage(c.table.Claim(now, m.Request)), nil
	case apmesh.Complete:
		c.table.Complete(now, m.ID, m.Token, m.Answer)
	case apmesh.Release:
		c.table.Release(m.ID, m.Token)
	case apmesh.Handover:
		c.table.Merge(m.Rows)
	case apmesh.Left:
	default:
		return nil, apcode.Errorf(apcode.BadMessage, "unexpected message %T", message)
	}
	return apmesh.Ack{}, nil
}

func toMessage(verdict apclaim.Verdict) apmesh.Message {
	switch v := verdict.(type) {
	case apclaim.Granted:
		return apmesh.Verdict{Kind: apmesh.VerdictGranted}
	case apclaim.Answered:
		return apmesh.Verdict{Kind: apmesh.VerdictAnswered, Answer: v.Answer}
	case apclaim.Spent:
		return apmesh.Verdict{Kind: apmesh.VerdictSpent}
	default:
		return apmesh.Verdict{Kind: apmesh.VerdictInFlight}
	}
}

// mayGrant refuses claims that are meant for another run of this entry, that come from a claimant who
// does not know the present entries, or that come before this entry has joined or after it began to
// hand over.
func (c *Claimant) mayGrant(claim apmesh.Claim) error {
	switch {
	case c.mesh == nil || c.leaving:
		return apcode.Errorf(apcode.Leaving, "this entry does not grant ids")
	case claim.Owner != c.self:
		return apcode.Errorf(apcode.StaleView, "meant for run %d, this is run %d", claim.Owner.Incarnation, c.self.Incarnation)
	case claim.Sequence < c.registry.Sequence:
		return apcode.Errorf(apcode.StaleView, "the claimant knows registry %d, this entry knows %d", claim.Sequence, c.registry.Sequence)
	default:
		return nil
	}
}

// HandOver stops granting claims and gives every row to its next owners. It reports whether all of
// them confirmed.
func (c *Claimant) HandOver(ctx context.Context) bool {
	c.mu.Lock()
	c.leaving = true
	records := c.table.Records(time.Now())
	mesh := c.mesh
	next := c.registry.Leave(time.Now(), c.self, true, c.window).Members()
	c.mu.Unlock()
	if mesh == nil {
		return len(records) == 0
	}
	rows := make(map[apfleet.EntryName][]apclaim.Record)
	for _, record := range records {
		for _, owner := range apclaim.Owners(record.ID, next) {
			rows[owner.Name] = append(rows[owner.Name], record)
		}
	}
	complete := true
	for owner, part := range rows {
		complete = handRows(ctx, mesh, owner, part) && complete
	}
	return complete
}

// handRows sends rows in parts and reports whether all were confirmed.
func handRows(ctx context.Context, mesh Mesh, owner apfleet.EntryName, rows []apclaim.Record) bool {
	for len(rows) > 0 {
		part := rows[:min(len(rows), handoverRows)]
		rows = rows[len(part):]
		if _, err := mesh.Call(ctx, owner, apmesh.Handover{Rows: part}); err != nil {
			return false
		}
	}
	return true
}

// Len returns the number of ids that this entry owns.
func (c *Claimant) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
