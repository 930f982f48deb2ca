// Package apmember registers this entry in the store, learns which others are up and claims the shards
// that have no owner.
package apmember

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"auburnport/internal/apgroup"
	"auburnport/internal/aplog"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apjournal"
	"auburnport/pkg/aplease"
	"auburnport/pkg/apstore"
)

// Options configure a Member.
type Options struct {
	// TTL is the lease of the registration and of all shards that the entry owns. It bounds the time
	// until a successor of a dead owner may act.
	TTL time.Duration
	// Settle is how long a new member looks around before it claims anything, so that members that
	// start together share the shards; after a lost lease only those do that know of stronger ones.
	Settle time.Duration
	// Step is how much longer each less preferred member waits before it claims a free shard.
	Step time.Duration
	// Tick is how often free shards are looked for.
	Tick time.Duration
	// Weight is this entry's processor share in thousandths of a core.
	Weight int
	// Clock measures how long the lease is certain; aplease.Boottime when nil.
	Clock aplease.Clock
}

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{TTL: 1500 * time.Millisecond, Settle: 500 * time.Millisecond, Step: 300 * time.Millisecond, Tick: 50 * time.Millisecond}
}

const (
	// renewalsPerTTL is how often a lease is renewed in its time.
	renewalsPerTTL = 3
	// watchWait and watchBackoff are the times of the watch of members.
	watchWait    = 2 * time.Second
	watchBackoff = 100 * time.Millisecond
)

// Own runs a claimed shard until ctx ends or the shard is lost. The permit is that of the lease under which
// the shard was claimed.
type Own func(ctx context.Context, shard apjournal.Shard, journal *apjournal.Journal, permit *aplease.Permit) error

// Member takes part in the sharing of shards.
type Member struct {
	ledger  apstore.Ledger
	name    apfleet.EntryName
	options Options
	shards  func() []apjournal.Shard
	own     Own
	log     aplog.Event

	mu sync.Mutex
	// entries holds the weights of those that are up.
	entries map[apfleet.EntryName]int
	owners  map[apjournal.Shard]apfleet.EntryName
	// freeSince is when a shard was first seen without an owner.
	freeSince map[apjournal.Shard]time.Time
	viewed    bool
	lease     apstore.LeaseID
	// permit belongs to lease.
	permit *aplease.Permit
	// since is when the lease was granted, settled tells that the entry has looked around before.
	since   time.Time
	settled bool
	// heaviest is the largest weight of an entry that was ever seen.
	heaviest int
	running  map[apjournal.Shard]context.CancelFunc
}

// New returns a member that claims among shards and runs what it gets with own.
func New(ledger apstore.Ledger, name apfleet.EntryName, shards func() []apjournal.Shard, own Own, log aplog.Event, options Options) *Member {
	if options.Clock == nil {
		options.Clock = aplease.Boottime
	}
	return &Member{
		ledger: ledger, name: name, options: options, shards: shards, own: own, log: log,
		entries: make(map[apfleet.EntryName]int), owners: make(map[apjournal.Shard]apfleet.EntryName),
		freeSince: make(map[apjournal.Shard]time.Time), running: make(map[apjournal.Shard]context.CancelFunc),
	}
}

// TTL returns how long the permit of a lease lasts at most.
func (m *Member) TTL() time.Duration { return m.options.TTL }

// Run takes part until ctx ends, then gives every shard and the registration up.
func (m *Member) Run(ctx context.Context) error {
	owned := &errgroup.Group{}
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return m.keepLease(inner) })
	group.Go(func() error { return m.follow(inner) })
	group.Go(func() error { return m.claim(inner, owned) })
	err := group.Wait()
	_ = owned.Wait()
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != 0 {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.options.TTL)
		defer cancel()
		if revoked := m.ledger.Revoke(last, lease); revoked != nil {
			m.log("LeaseNotRevoked", map[string]any{"Error": revoked})
		}
	}
	return err
}

// Owned returns the shards that this entry runs.
func (m *Member) Owned() []apjournal.Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.running))
}

// keepLease registers the entry and renews its lease.
func (m *Member) keepLease(ctx context.Context) error {
	ticker := time.NewTicker(m.options.TTL / renewalsPerTTL)
	defer ticker.Stop()
	failing := false
	for {
		err := m.renew(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			m.log("LeaseRenewal", map[string]any{"Failing": failing, "Error": err})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Member) renew(ctx context.Context) error {
	m.mu.Lock()
	lease, permit := m.lease, m.permit
	m.mu.Unlock()
	if lease != 0 {
		asked := permit.Asked()
		err := m.ledger.Renew(ctx, lease)
		if err == nil {
			permit.Extend(asked, m.options.TTL)
		}
		if !apcode.Is(err, apcode.LeaseLost) {
			return err
		}
		m.lost(lease)
	}
	permit = aplease.NewPermit(m.options.Clock)
	asked := permit.Asked()
	lease, err := m.ledger.Grant(ctx, m.options.TTL)
	if err != nil {
		return err
	}
	_, err = m.ledger.Commit(ctx, apstore.Transaction{
		Puts: []apstore.Put{{Key: apjournal.EntryKey(m.name), Data: apfleet.Encode(apjournal.Entry{Weight: m.options.Weight}), Lease: lease}},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	permit.Extend(asked, m.options.TTL)
	m.lease, m.permit = lease, permit
	m.since = time.Now()
	return nil
}

// lost ends what was owned under a lease that has lapsed.
func (m *Member) lost(lease apstore.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return
	}
	m.lease = 0
	m.permit.End()
	m.log("LeaseLost", map[string]any{"Shards": len(m.running)})
	for _, cancel := range m.running {
		cancel()
	}
}

// follow keeps the view of members and owners.
func (m *Member) follow(ctx context.Context) error {
	tail := apstore.Tail{Ledger: m.ledger, Prefix: apjournal.PrefixMembers, Wait: watchWait, Backoff: watchBackoff}
	return tail.Run(ctx, m.apply)
}

func (m *Member) apply(update apstore.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Err != nil {
		m.viewed = false
		return
	}
	m.viewed = true
	if update.Reset {
		clear(m.entries)
		clear(m.owners)
	}
	for _, event := range update.Events {
		if name, ok := apjournal.EntryOf(event.Value.Key); ok {
			m.applyEntry(name, event)
		}
		shard, ok := apjournal.ShardOf(event.Value.Key)
		if !ok {
			continue
		}
		var owner apjournal.Owner
		if event.Removed || apfleet.Decode(event.Value.Data, &owner) != nil {
			delete(m.owners, shard)
			continue
		}
		m.owners[shard] = owner.Holder
	}
}

func (m *Member) applyEntry(name apfleet.EntryName, event apstore.Event) {
	var entry apjournal.Entry
	if event.Removed || apfleet.Decode(event.Value.Data, &entry) != nil {
		delete(m.entries, name)
		return
	}
	m.entries[name] = max(1, entry.Weight)
	m.heaviest = max(m.heaviest, entry.Weight)
}

// claim takes free shards when it is this entry's turn.
func (m *Member) claim(ctx context.Context, owned *errgroup.Group) error {
	ticker := time.NewTicker(m.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		due, lease := m.due(time.Now())
		for _, shard := range due {
			m.take(ctx, shard, lease, owned)
		}
	}
}

// due returns the free shards that this entry should claim now, and the lease under which it should.
func (m *Member) due(now time.Time) ([]apjournal.Shard, apstore.LeaseID) {
	wanted := m.shards()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.viewed || m.lease == 0 || !m.hasSettled(now) {
		return nil, 0
	}
	var due []apjournal.Shard
	for _, shard := range wanted {
		holder, taken := m.owners[shard]
		if taken && holder != m.name || m.running[shard] != nil {
			delete(m.freeSince, shard)
			continue
		}
		since, seen := m.freeSince[shard]
		if !seen {
			since = now
			m.freeSince[shard] = now
		}
		// A shard that is said to be ours without running comes from a claim whose answer was lost.
		rank := 1
		if !taken {
			rank = Rank(m.name, shard, m.entries, m.owners)
		}
		if now.Sub(since) >= time.Duration(rank)*m.options.Step {
			due = append(due, shard)
			// Counted as owned at once, so that the next shard goes to another entry.
			m.owners[shard] = m.name
		}
	}
	return due, m.lease
}

// hasSettled reports whether the entry knows the others well enough to claim. After the store has lost all
// leases, entries register again when they next renew theirs: those that know of stronger ones wait for them.
func (m *Member) hasSettled(now time.Time) bool {
	held := now.Sub(m.since)
	if !m.settled {
		m.settled = held >= m.options.Settle
		return m.settled
	}
	return m.options.Weight >= m.heaviest || held >= m.options.TTL/renewalsPerTTL+m.options.Settle
}

// Rank returns the place of an entry among those that may own a shard, given the weights of all that are
// up: those that would own the least for their weight come first, then the order of a rendezvous hash.
func Rank(name apfleet.EntryName, shard apjournal.Shard, weights map[apfleet.EntryName]int, owners map[apjournal.Shard]apfleet.EntryName) int {
	load := make(map[apfleet.EntryName]int)
	for _, holder := range owners {
		load[holder]++
	}
	before := func(a, b apfleet.EntryName) int {
		return cmp.Or(
			cmp.Compare((load[a]+1)*max(1, weights[b]), (load[b]+1)*max(1, weights[a])),
			cmp.Compare(hash(a, shard), hash(b, shard)), cmp.Compare(a, b),
		)
	}
	rank := 0
	for other := range weights {
		if other != name && before(other, name) < 0 {
			rank++
		}
	}
	return rank
}

func hash(name apfleet.EntryName, shard apjournal.Shard) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + string(shard))
}

// claimShard claims a shard under a lease, unless that has been lost since: another one was granted for another
// round, and under none the owner's key would stay for good. Errors: LeaseLost and those of apjournal.Claim.
func (m *Member) claimShard(ctx context.Context, shard apjournal.Shard, lease apstore.LeaseID) (*apjournal.Journal, *aplease.Permit, error) {
	m.mu.Lock()
	present, permit := m.lease, m.permit
	m.mu.Unlock()
	if present != lease {
		return nil, nil, apcode.Errorf(apcode.LeaseLost, "the lease was lost before the claim")
	}
	journal, err := apjournal.Claim(ctx, m.ledger, shard, m.name, lease)
	if apcode.Is(err, apcode.LeaseLost) {
		m.lost(lease)
	}
	return journal, permit, err
}

func (m *Member) take(ctx context.Context, shard apjournal.Shard, lease apstore.LeaseID, owned *errgroup.Group) {
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
	running, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.running[shard] = cancel
	if m.lease != lease {
		// The lease was lost meanwhile, and the claim with it.
		cancel()
	}
	m.mu.Unlock()
	owned.Go(func() error {
		defer cancel()
		err := apgroup.Guard(func() error { return m.own(running, shard, journal, permit) })
		m.log("ShardEnded", map[string]any{"Shard": shard, "Error": err})
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.running, shard)
		return nil
	})
}
