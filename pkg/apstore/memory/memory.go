// Package memory is an in-memory implementation of apstore.Store.
package memory

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Calls counts the calls to a store by kind.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Leases  uint64
}

// Store keeps values in memory. The zero value is not usable; use New.
type Store struct {
	mu          sync.Mutex
	revision    apstore.Revision
	rows        map[apfleet.Key]row
	leases      map[apstore.LeaseID]lease
	lastLeaseID apstore.LeaseID
	changed     chan struct{}
	calls       Calls
	// removedAt holds the revision at which each key was removed, for removals since the last Compact.
	removedAt   map[apfleet.Key]apstore.Revision
	compactedAt apstore.Revision
}

type row struct {
	value apstore.Value
	lease apstore.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:      make(map[apfleet.Key]row),
		leases:    make(map[apstore.LeaseID]lease),
		changed:   make(chan struct{}),
		removedAt: make(map[apfleet.Key]apstore.Revision),
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements apstore.Store.
func (s *Store) Get(_ context.Context, key apfleet.Key) (apstore.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	s.expireLeases()
	found, ok := s.rows[key]
	if !ok {
		return apstore.Value{Key: key}, nil
	}
	return found.value, nil
}

// List implements apstore.Store.
func (s *Store) List(_ context.Context, prefix apfleet.Key) (apstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	s.expireLeases()
	return s.valuesSince(prefix, 0), nil
}

// Swap implements apstore.Store.
func (s *Store) Swap(_ context.Context, write apstore.Write) (apstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.expireLeases()
	if len(write.Data) > apstore.MaxValueBytes {
		return 0, apcode.Errorf(apcode.ValueTooLarge, "key %s: %d bytes", write.Key, len(write.Data))
	}
	if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
		return 0, apcode.Errorf(apcode.LeaseLost, "lease %d has expired", write.Lease)
	}
	if current := s.rows[write.Key].value.Revision; current != write.Expected {
		return 0, apcode.Errorf(apcode.StoreConflict, "key %s is at revision %d, not %d", write.Key, current, write.Expected)
	}
	s.revision++
	s.put(write.Key, write.Data, write.Lease)
	s.notifyWatches()
	return s.revision, nil
}

// Watch implements apstore.Store.
func (s *Store) Watch(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Page, error) {
	var page apstore.Page
	err := s.watchUntil(ctx, prefix, wait, func() bool {
		page = s.valuesSince(prefix, after)
		return len(page.Values) > 0
	})
	return page, err
}

// watchUntil calls ready with the lock held, at first and after every change, until it returns true or the
// duration wait has passed. Errors: StoreUnavailable when ctx ends.
func (s *Store) watchUntil(ctx context.Context, prefix apfleet.Key, wait time.Duration, ready func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases()
		found := ready()
		changed := s.changed
		s.mu.Unlock()
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return apcode.Wrapf(apcode.StoreUnavailable, ctx.Err(), "watch %s", prefix)
		}
	}
}

// put writes a key at the store's current revision.
func (s *Store) put(key apfleet.Key, data []byte, lease apstore.LeaseID) {
	value := apstore.Value{Key: key, Revision: s.revision, Data: bytes.Clone(data)}
	s.rows[key] = row{value: value, lease: lease}
	delete(s.removedAt, key)
}

// Grant implements apstore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Leases++
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.lastLeaseID, nil
}

// Renew implements apstore.Store.
func (s *Store) Renew(_ context.Context, id apstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Leases++
	s.expireLeases()
	found, ok := s.leases[id]
	if !ok {
		return apcode.Errorf(apcode.LeaseLost, "lease %d has expired", id)
	}
	found.expires = time.Now().Add(found.ttl)
	s.leases[id] = found
	return nil
}

// Revoke implements apstore.Store.
func (s *Store) Revoke(_ context.Context, id apstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Leases++
	s.endLease(id)
	return nil
}

// expireLeases ends the leases that have expired.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id apstore.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.rows {
		if r.lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) valuesSince(prefix apfleet.Key, after apstore.Revision) apstore.Page {
	page := apstore.Page{Revision: s.revision}
	for key, r := range s.rows {
		if key.HasPrefix(prefix) && r.value.Revision > after {
			page.Values = append(page.Values, r.value)
		}
	}
	slices.SortFunc(page.Values, func(a, b apstore.Value) int { return int(a.Revision) - int(b.Revision) })
	return page
}
