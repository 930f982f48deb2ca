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
		if c.leaving {
			return nil, apcode.Errorf(apcode.Leaving, "claims are being handed over")
		}
		return toMessage(c.table.Claim(now, m.Request)), nil
	case apmesh.Complete:
		c.table.Complete(now, m.ID, m.Token, m.Answer)
	case apmesh.Release:
		c.table.Release(m.ID, m.Token)
	case apmesh.Handover:
		c.table.Merge(m.Rows)
	case apmesh.Left:
		if m.HandedOver {
			c.views.HandOver(now, m.Member)
		}
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

// HandOver stops granting claims and gives every row to its next owners. It returns the message that
// tells the others.
func (c *Claimant) HandOver(ctx context.Context) apmesh.Left {
	c.mu.Lock()
	c.leaving = true
	records := c.table.Records(time.Now())
	mesh := c.mesh
	c.mu.Unlock()
	left := apmesh.Left{Member: c.self, HandedOver: true}
	for owner, rows := range c.nextOwners(mesh, records) {
		if !handRows(ctx, mesh, owner, rows) {
			left.HandedOver = false
		}
	}
	return left
}

// nextOwners groups rows by the entries that own them once this one has left.
func (c *Claimant) nextOwners(mesh Mesh, records []apclaim.Record) map[apfleet.EntryName][]apclaim.Record {
	var others []apclaim.Member
	for _, m := range mesh.Members() {
		if m.Name != c.self.Name {
			others = append(others, apclaim.Member{Name: m.Name, Incarnation: m.Incarnation})
		}
	}
	rows := make(map[apfleet.EntryName][]apclaim.Record)
	for _, record := range records {
		for _, owner := range apclaim.Owners(record.ID, others) {
			rows[owner.Name] = append(rows[owner.Name], record)
		}
	}
	return rows
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
