package memory

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Ledger gives a Store transactions over several keys and watches that report removals.
type Ledger struct{ *Store }

// Read implements apstore.Ledger.
func (l Ledger) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	return l.Get(ctx, key)
}

// Scan implements apstore.Ledger.
func (l Ledger) Scan(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	return l.List(ctx, prefix)
}

// Commit implements apstore.Ledger.
func (l Ledger) Commit(_ context.Context, t apstore.Transaction) (apstore.Result, error) {
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.expire()
	if n := len(t.Conditions) + len(t.Puts) + len(t.Removals); n > apstore.MaxTransactionEntries {
		return apstore.Result{}, apcode.Errorf(apcode.BadMessage, "%d entries in a transaction", n)
	}
	var present []apstore.Value
	conflict := false
	for _, condition := range t.Conditions {
		value := s.rows[condition.Key].value
		value.Key = condition.Key
		present = append(present, value)
		conflict = conflict || value.Revision != condition.Revision
	}
	if conflict {
		return apstore.Result{Present: present}, apcode.Errorf(apcode.StoreConflict, "a condition does not hold")
	}
	for _, put := range t.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return apstore.Result{}, apcode.Errorf(apcode.LeaseLost, "lease %d has lapsed", put.Lease)
		}
	}
	s.revision++
	for _, put := range t.Puts {
		s.put(put.Key, put.Data, put.Lease)
	}
	for _, key := range t.Removals {
		if _, ok := s.rows[key]; ok {
			s.remove(key)
		}
	}
	s.notify()
	return apstore.Result{Revision: s.revision}, nil
}

// Follow implements apstore.Ledger.
func (l Ledger) Follow(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	var feed apstore.Feed
	lost := false
	err := l.await(ctx, prefix, wait, func() bool {
		feed, lost = l.feed(prefix, after)
		return lost || len(feed.Events) > 0
	})
	if lost {
		return feed, apcode.Errorf(apcode.StoreHistoryLost, "watch %s: revision %d is no longer kept", prefix, after)
	}
	return feed, err
}

// Compact drops the history: a watch from an earlier revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	clear(s.removed)
	s.notify()
}

// remove deletes a key at the store's present revision.
func (s *Store) remove(key apfleet.Key) {
	delete(s.rows, key)
	s.removed[key] = s.revision
}

func (s *Store) feed(prefix apfleet.Key, after apstore.Revision) (apstore.Feed, bool) {
	feed := apstore.Feed{Revision: s.revision}
	if after < s.compacted {
		return feed, true
	}
	for _, value := range s.page(prefix, after).Values {
		feed.Events = append(feed.Events, apstore.Event{Value: value})
	}
	for key, revision := range s.removed {
		if key.HasPrefix(prefix) && revision > after {
			feed.Events = append(feed.Events, apstore.Event{Value: apstore.Value{Key: key, Revision: revision}, Removed: true})
		}
	}
	slices.SortFunc(feed.Events, func(a, b apstore.Event) int {
		return int(a.Value.Revision) - int(b.Value.Revision)
	})
	return feed, false
}
