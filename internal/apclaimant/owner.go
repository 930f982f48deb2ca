package apclaimant

import (
	"context"
	"slices"
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
		if err := c.checkClaim(m); err != nil {
			return nil, err
		}
		return verdictMessage(c.table.Claim(now, m.Request)), nil
	case apmesh.Complete:
		c.table.Complete(now, m.ID, m.Token, m.Answer)
	case apmesh.Release:
		c.table.Release(now, m.ID, m.Token, m.Round)
	case apmesh.Handover:
		if c.leaving {
			return nil, apcode.Errorf(apcode.Leaving, "this entry takes over no request ids: it has begun its own handover")
		}
		c.table.Merge(m.Records)
	case apmesh.Left:
	default:
		return nil, apcode.Errorf(apcode.BadMessage, "unexpected message %T", message)
	}
	return apmesh.Ack{}, nil
}

// verdictMessage converts a verdict of the table to a mesh message.
func verdictMessage(verdict apclaim.Verdict) apmesh.Message {
	switch v := verdict.(type) {
	case apclaim.Granted:
		return apmesh.Verdict{Kind: apmesh.VerdictGranted}
	case apclaim.Answered:
		return apmesh.Verdict{Kind: apmesh.VerdictAnswered, Answer: v.Answer}
	case apclaim.Spent:
		return apmesh.Verdict{Kind: apmesh.VerdictSpent}
	default:
		// A claimant that has released the round reads no verdict on it.
		return apmesh.Verdict{Kind: apmesh.VerdictInFlight}
	}
}

// checkClaim returns an error if this entry must not decide a claim: it has not joined the mesh yet or has
// begun its handover, the claim is meant for another incarnation of it, or the claimant has an older
// registry of entries.
func (c *Claimant) checkClaim(claim apmesh.Claim) error {
	switch {
	case c.mesh == nil || c.leaving:
		return apcode.Errorf(apcode.Leaving, "this entry does not grant request ids: it has not joined the mesh or is shutting down")
	case claim.Owner != c.self:
		return apcode.Errorf(apcode.StaleView, "the claim is meant for incarnation %d of this entry, which now has incarnation %d", claim.Owner.Incarnation, c.self.Incarnation)
	case claim.Sequence < c.registry.Sequence:
		return apcode.Errorf(apcode.StaleView, "the claimant has registry sequence %d, this entry has %d", claim.Sequence, c.registry.Sequence)
	default:
		return nil
	}
}

// HandOver stops granting and taking over claims, and sends every record to the entries that own it once this entry
// and those that refuse because they leave too have left. It reports whether all of them confirmed, and each record
// has such an entry.
func (c *Claimant) HandOver(ctx context.Context) bool {
	c.mu.Lock()
	c.leaving = true
	records := c.table.Records(time.Now())
	mesh := c.mesh
	remaining := c.registry.Leave(time.Now(), c.self, true, c.window).Members()
	c.mu.Unlock()
	if mesh == nil {
		return len(records) == 0
	}
	confirmed := true
	for len(records) > 0 && len(remaining) > 0 {
		leaving, sent := sendToOwners(ctx, mesh, records, remaining)
		confirmed = confirmed && sent
		records = slices.DeleteFunc(records, func(r apclaim.Record) bool {
			return !slices.ContainsFunc(apclaim.Owners(r.ID, remaining), func(m apfleet.Member) bool { return slices.Contains(leaving, m) })
		})
		remaining = slices.DeleteFunc(remaining, func(m apfleet.Member) bool { return slices.Contains(leaving, m) })
	}
	return confirmed && len(records) == 0
}

// sendToOwners sends each record to its owners among the members. It returns the owners that refused because they are
// leaving, and reports whether all others confirmed.
func sendToOwners(ctx context.Context, mesh Mesh, records []apclaim.Record, members []apfleet.Member) (leaving []apfleet.Member, confirmed bool) {
	byOwner := make(map[apfleet.Member][]apclaim.Record)
	for _, record := range records {
		for _, owner := range apclaim.Owners(record.ID, members) {
			byOwner[owner] = append(byOwner[owner], record)
		}
	}
	confirmed = true
	for owner, records := range byOwner {
		err := sendRecords(ctx, mesh, owner.Name, records)
		switch {
		case apcode.Is(err, apcode.Leaving):
			leaving = append(leaving, owner)
		case err != nil:
			confirmed = false
		}
	}
	return leaving, confirmed
}

// sendRecords sends records to an owner in batches. It returns an error unless the owner confirmed all of them.
func sendRecords(ctx context.Context, mesh Mesh, owner apfleet.EntryName, records []apclaim.Record) error {
	for len(records) > 0 {
		batch := records[:min(len(records), handoverBatchSize)]
		records = records[len(batch):]
		if _, err := mesh.Call(ctx, owner, apmesh.Handover{Records: batch}); err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of request ids that this entry remembers as an owner.
func (c *Claimant) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
