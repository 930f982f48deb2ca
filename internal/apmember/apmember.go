// Package apmember registers this entry in the store, watches which other entries are up and claims shards that
// have no owner.
package apmember

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
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

// Options configures a Member.
type Options struct {
	// TTL is the duration of the lease on the registration and on all shards that the entry owns. It bounds
	// the time until the successor of a dead owner may act.
	TTL time.Duration
	// SettleTime is how long a new member observes the others before it claims its first shard, so that
	// members that start together share the shards. After a lost lease, only members that have seen a
	// member of greater weight wait again.
	SettleTime time.Duration
	// RankDelay is how long a member waits before it claims a free shard, for each member that ranks before
	// it. See Rank.
	RankDelay time.Duration
	// ClaimInterval is how often the member looks for free shards.
	ClaimInterval time.Duration
	// Weight is this entry's CPU share in thousandths of a core.
	Weight int
	// Relay is the address at which this entry relays calls of the others to the store.
	Relay netip.AddrPort
	// Clock measures how long the lease is certain to be held. The default is aplease.Boottime.
	Clock aplease.Clock
}

// DefaultOptions returns the default options, without a weight.
func DefaultOptions() Options {
	return Options{TTL: 1500 * time.Millisecond, SettleTime: 500 * time.Millisecond, RankDelay: 300 * time.Millisecond, ClaimInterval: 50 * time.Millisecond}
}

const (
	// renewalsPerTTL is the number of renewals within the duration of a lease.
	renewalsPerTTL = 3
	// watchTimeout is the long-poll duration of the watch of members and owners, watchBackoff the pause after a
	// failed one.
	watchTimeout = 2 * time.Second
	watchBackoff = 100 * time.Millisecond
)

// RunFunc runs a claimed shard until ctx ends or the shard is lost. The permit belongs to the lease under which
// the shard was claimed.
type RunFunc func(ctx context.Context, shard apjournal.Shard, journal *apjournal.Journal, permit *aplease.Permit) error

// Member shares the shards with the other entries. Create it with New.
type Member struct {
	store    apstore.TransactionalStore
	name     apfleet.EntryName
	options  Options
	shards   func() []apjournal.Shard
	runShard RunFunc
	log      aplog.EventFunc

	mu sync.Mutex
	// weights holds the weight of each entry that is up.
	weights map[apfleet.EntryName]int
	// relays holds the relay address of each entry that is up.
	relays map[apfleet.EntryName]netip.AddrPort
	owners map[apjournal.Shard]apfleet.EntryName
	// freeSince is when a shard was first seen to be free.
	freeSince map[apjournal.Shard]time.Time
	// synced tells that weights and owners reflect the store: the last watch has not failed.
	synced bool
	lease  apstore.LeaseID
	// permit is valid for as long as lease is certain to be held.
	permit *aplease.Permit
	// leasedAt is when the lease was granted.
	leasedAt time.Time
	// settled tells that the first settle time has passed.
	settled bool
	// maxWeight is the largest weight of any entry seen since the start.
	maxWeight int
	// running holds the function that stops each shard that this entry runs.
	running map[apjournal.Shard]context.CancelFunc
}

// New returns a member that claims some of the shards and runs each one that it owns with runShard.
func New(store apstore.TransactionalStore, name apfleet.EntryName, shards func() []apjournal.Shard, runShard RunFunc, log aplog.EventFunc, options Options) *Member {
	if options.Clock == nil {
		options.Clock = aplease.Boottime
	}
	return &Member{
		store: store, name: name, options: options, shards: shards, runShard: runShard, log: log,
		weights: make(map[apfleet.EntryName]int), relays: make(map[apfleet.EntryName]netip.AddrPort), owners: make(map[apjournal.Shard]apfleet.EntryName),
		freeSince: make(map[apjournal.Shard]time.Time), running: make(map[apjournal.Shard]context.CancelFunc),
	}
}

// TTL returns the longest time that a permit lasts after the lease's last renewal.
func (m *Member) TTL() time.Duration { return m.options.TTL }

// Run registers the entry, claims and runs shards until ctx ends, then releases every shard and the registration.
func (m *Member) Run(ctx context.Context) error {
	runs := &errgroup.Group{}
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return m.keepLease(inner) })
	group.Go(func() error { return m.watchMembers(inner) })
	group.Go(func() error { return m.claimShards(inner, runs) })
	err := group.Wait()
	_ = runs.Wait()
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != 0 {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.options.TTL)
		defer cancel()
		if revoked := m.store.Revoke(last, lease); revoked != nil {
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

// Peers returns the relay addresses of the other entries that were up when the store last answered, in a fixed order.
func (m *Member) Peers() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(m.relays)) {
		if name != m.name && m.relays[name].IsValid() {
			peers = append(peers, m.relays[name])
		}
	}
	return peers
}

// keepLease registers the entry and keeps its lease renewed until ctx ends.
func (m *Member) keepLease(ctx context.Context) error {
	ticker := time.NewTicker(m.options.TTL / renewalsPerTTL)
	defer ticker.Stop()
	failing := false
	for {
		err := m.renewOrRegister(ctx)
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

// renewOrRegister renews the lease. Without one, or when it was lost, it registers the entry under a new lease.
func (m *Member) renewOrRegister(ctx context.Context) error {
	m.mu.Lock()
	lease, permit := m.lease, m.permit
	m.mu.Unlock()
	if lease != 0 {
		requestedAt := permit.RequestTime()
		err := m.store.Renew(ctx, lease)
		if err == nil {
			permit.Extend(requestedAt, m.options.TTL)
		}
		if !apcode.Is(err, apcode.LeaseLost) {
			return err
		}
		m.handleLeaseLost(lease)
	}
	permit = aplease.NewPermit(m.options.Clock)
	requestedAt := permit.RequestTime()
	lease, err := m.store.Grant(ctx, m.options.TTL)
	if err != nil {
		return err
	}
	_, err = m.store.Commit(ctx, apstore.Transaction{
		Puts: []apstore.Put{{Key: apjournal.EntryKey(m.name), Data: apfleet.Encode(apjournal.Entry{Weight: m.options.Weight, Relay: m.options.Relay}), Lease: lease}},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	permit.Extend(requestedAt, m.options.TTL)
	m.lease, m.permit = lease, permit
	m.leasedAt = time.Now()
	return nil
}

// handleLeaseLost stops every shard that was owned under an expired lease.
func (m *Member) handleLeaseLost(lease apstore.LeaseID) {
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

// watchMembers keeps weights and owners up to date until ctx ends.
func (m *Member) watchMembers(ctx context.Context) error {
	watcher := apstore.Watcher{Store: m.store, Prefix: apjournal.PrefixMembers, Timeout: watchTimeout, Backoff: watchBackoff}
	return watcher.Run(ctx, m.apply)
}

func (m *Member) apply(update apstore.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Err != nil {
		m.synced = false
		return
	}
	m.synced = true
	if update.Snapshot {
		clear(m.weights)
		clear(m.relays)
		clear(m.owners)
	}
	for _, event := range update.Events {
		if name, ok := apjournal.ParseEntryKey(event.Value.Key); ok {
			m.applyEntry(name, event)
		}
		shard, ok := apjournal.ParseOwnerKey(event.Value.Key)
		if !ok {
			continue
		}
		var owner apjournal.Owner
		if event.Removed || apfleet.Decode(event.Value.Data, &owner) != nil {
			delete(m.owners, shard)
			continue
		}
		m.owners[shard] = owner.Entry
	}
}

func (m *Member) applyEntry(name apfleet.EntryName, event apstore.Event) {
	var entry apjournal.Entry
	if event.Removed || apfleet.Decode(event.Value.Data, &entry) != nil {
		delete(m.weights, name)
		delete(m.relays, name)
		return
	}
	m.relays[name] = entry.Relay
	m.weights[name] = max(1, entry.Weight)
	m.maxWeight = max(m.maxWeight, entry.Weight)
}

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
		m.log("ShardEnded", map[string]any{"Shard": shard, "Error": err})
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.running, shard)
		return nil
	})
}
