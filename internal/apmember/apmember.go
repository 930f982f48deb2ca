// Package apmember registers this entry in the store, watches which other entries are up and claims shards that
// have no owner.
package apmember

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"auburnport/internal/aplog"

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
