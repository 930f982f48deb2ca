package apmember

import (
	"cmp"
	"context"
	"time"

	"auburnport/internal/apgroup"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore"
)

// claimShards claims free shards when it is this entry's turn, and runs them as part of runs.
func (m *Member) claimShards(ctx context.Context, runs *errgroup.Group) error {
	ticker := time.NewTicker(m.options.ClaimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		due, lease := m.dueShards(time.Now())
		for _, shard := range due {
			m.claimAndRun(ctx, shard, lease, runs)
		}
	}
}

// dueShards returns the free shards that this entry should claim now, and the lease to claim them under.
func (m *Member) dueShards(now time.Time) ([]apjournal.Shard, apstore.LeaseID) {
	wanted := m.shards()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.lease == 0 || !m.hasSettled(now) {
		return nil, 0
	}
	var due []apjournal.Shard
	for _, shard := range wanted {
		owner, taken := m.owners[shard]
		if taken && owner != m.name || m.running[shard] != nil {
			delete(m.freeSince, shard)
			continue
		}
		since, seen := m.freeSince[shard]
		if !seen {
			since = now
			m.freeSince[shard] = now
		}
		// A shard that has this entry as its owner but does not run comes from a claim whose response was
		// lost. It is claimed again without regard to the other entries.
		rank := 1
		if !taken {
			rank = Rank(m.name, shard, m.weights, m.owners)
		}
		if now.Sub(since) >= time.Duration(rank)*m.options.RankDelay {
			due = append(due, shard)
			// Counts as owned from now on, so that this entry ranks lower for the next shard.
			m.owners[shard] = m.name
		}
	}
	return due, m.lease
}

// hasSettled reports whether this entry has observed the others for long enough to claim shards. After the store
// has lost all leases, each entry registers again at its next renewal. An entry that has seen one of greater weight
// waits until that one has had the time to register.
func (m *Member) hasSettled(now time.Time) bool {
	leaseAge := now.Sub(m.leasedAt)
	if !m.settled {
		m.settled = leaseAge >= m.options.SettleTime
		return m.settled
	}
	return m.options.Weight >= m.maxWeight || leaseAge >= m.options.TTL/renewalsPerTTL+m.options.SettleTime
}

// Rank returns how many of the entries in weights, which are up, are preferred over name as the owner of shard.
// Entries that would own the fewest shards relative to their weight are preferred; a rendezvous hash decides
// between equal ones.
func Rank(name apfleet.EntryName, shard apjournal.Shard, weights map[apfleet.EntryName]int, owners map[apjournal.Shard]apfleet.EntryName) int {
	shardCounts := make(map[apfleet.EntryName]int)
	for _, owner := range owners {
		shardCounts[owner]++
	}
	compare := func(a, b apfleet.EntryName) int {
		return cmp.Or(
			cmp.Compare((shardCounts[a]+1)*max(1, weights[b]), (shardCounts[b]+1)*max(1, weights[a])),
			cmp.Compare(rendezvousHash(a, shard), rendezvousHash(b, shard)), cmp.Compare(a, b),
		)
	}
	rank := 0
	for other := range weights {
		if other != name && compare(other, name) < 0 {
			rank++
		}
	}
	return rank
}

// rendezvousHash returns the hash of an entry and a shard; the entry with the lowest one is preferred.
func rendezvousHash(name apfleet.EntryName, shard apjournal.Shard) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + string(shard))
}

// claimShard claims a shard under a lease, unless the lease was lost in the meantime. The present lease is no
// substitute: a newer one starts a new settle time, and without one (0) the owner's key would never expire.
// Errors: LeaseLost and those of apjournal.Claim.
func (m *Member) claimShard(ctx context.Context, shard apjournal.Shard, lease apstore.LeaseID) (*apjournal.Journal, *aplease.Permit, error) {
	m.mu.Lock()
	current, permit := m.lease, m.permit
	m.mu.Unlock()
	if current != lease {
		return nil, nil, apcode.Errorf(apcode.LeaseLost, "the lease was lost before the claim")
	}
	journal, err := apjournal.Claim(ctx, m.store, shard, m.name, lease)
	if apcode.Is(err, apcode.LeaseLost) {
		m.handleLeaseLost(lease)
	}
	return journal, permit, err
}

// claimAndRun claims a shard and, when that succeeds, runs it in the background as part of runs.
func (m *Member) claimAndRun(ctx context.Context, shard apjournal.Shard, lease apstore.LeaseID, runs *errgroup.Group) {
	journal, permit, err := m.claimShard(ctx, shard, lease)
	m.log("ShardClaimed", map[string]any{"Shard": shard, "Lease": uint64(lease), "Error": err})
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !apcode.Is(err, apcode.StoreConflict) && m.owners[shard] == m.name {
			delete(m.owners, shard)
		}
		return
	}
	runCtx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.running[shard] = cancel
	if m.lease != lease {
		// The lease was lost during the claim, and the shard with it.
		cancel()
	}
	m.mu.Unlock()
	runs.Go(func() error {
		defer cancel()
		err := apgroup.CatchPanic(func() error { return m.runShard(runCtx, shard, journal, permit) })
		m.log("ShardEnded", map[string]any{"Shard": shard, "Error": err, "Revision": journal.Revision()})
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.running, shard)
		return nil
	})
}
