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

// Calls counts the calls that a store has received.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Leases  uint64
}

// Store keeps values in memory. Its zero value is not usable; use New.
type Store struct {
	mu       sync.Mutex
	revision apstore.Revision
	rows     map[apfleet.Key]row
	leases   map[apstore.LeaseID]lease
	nextID   apstore.LeaseID
	changed  chan struct{}
	calls    Calls
	// removed holds the revision of each key's removal until the next Compact.
	removed   map[apfleet.Key]apstore.Revision
	compacted apstore.Revision
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
		rows:    make(map[apfleet.Key]row),
		leases:  make(map[apstore.LeaseID]lease),
		changed: make(chan struct{}),
		removed: make(map[apfleet.Key]apstore.Revision),
	}
}

// Calls returns the calls received so far.
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
	s.expire()
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
	s.expire()
	return s.page(prefix, 0), nil
}

// Swap implements apstore.Store.
func (s *Store) Swap(_ context.Context, write apstore.Write) (apstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.expire()
	if len(write.Data) > apstore.MaxValueBytes {
		return 0, apcode.Errorf(apcode.ValueTooLarge, "key %s: %d bytes", write.Key, len(write.Data))
	}
	if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
		return 0, apcode.Errorf(apcode.LeaseLost, "lease %d has lapsed", write.Lease)
	}
	if present := s.rows[write.Key].value.Revision; present != write.Expected {
		return 0, apcode.Errorf(apcode.StoreConflict, "key %s is at revision %d, not %d", write.Key, present, write.Expected)
	}
	s.revision++
	s.put(write.Key, write.Data, write.Lease)
	s.notify()
	return s.revision, nil
}

// Watch implements apstore.Store.
func (s *Store) Watch(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Page, error) {
	var page apstore.Page
	err := s.await(ctx, prefix, wait, func() bool {
		page = s.page(prefix, after)
		return len(page.Values) > 0
	})
	return page, err
}

// await calls look under the lock, at first and after every change, until it returns true or wait has
// passed. Errors: StoreUnavailable when ctx ends.
func (s *Store) await(ctx context.Context, prefix apfleet.Key, wait time.Duration, look func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire()
		found := look()
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

// put writes a key at the store's present revision.
func (s *Store) put(key apfleet.Key, data []byte, lease apstore.LeaseID) {
	value := apstore.Value{Key: key, Revision: s.revision, Data: bytes.Clone(data)}
	s.rows[key] = row{value: value, lease: lease}
	delete(s.removed, key)
}

// Grant implements apstore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Leases++
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextID, nil
}

// Renew implements apstore.Store.
func (s *Store) Renew(_ context.Context, id apstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Leases++
	s.expire()
	found, ok := s.leases[id]
	if !ok {
		return apcode.Errorf(apcode.LeaseLost, "lease %d has lapsed", id)
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
	s.drop(id)
	return nil
}

// expire drops the leases that have lapsed.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id apstore.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.rows {
		if r.lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) page(prefix apfleet.Key, after apstore.Revision) apstore.Page {
	page := apstore.Page{Revision: s.revision}
	for key, r := range s.rows {
		if key.HasPrefix(prefix) && r.value.Revision > after {
			page.Values = append(page.Values, r.value)
		}
	}
	slices.SortFunc(page.Values, func(a, b apstore.Value) int { return int(a.Revision) - int(b.Revision) })
	return page
}
