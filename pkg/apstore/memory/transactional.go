package memory

import (
	"context"
	"slices"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// TransactionalStore extends a Store with transactions over several keys and watches that report removals.
type TransactionalStore struct{ *Store }

// Read implements apstore.TransactionalStore.
func (l TransactionalStore) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	return l.Get(ctx, key)
}

// Scan implements apstore.TransactionalStore.
func (l TransactionalStore) Scan(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	return l.List(ctx, prefix)
}

// Commit implements apstore.TransactionalStore.
func (l TransactionalStore) Commit(_ context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.expireLeases()
	if n := len(t.Conditions) + len(t.Puts) + len(t.Removals); n > apstore.MaxTransactionOperations {
		return apstore.TransactionResult{}, apcode.Errorf(apcode.BadMessage, "%d conditions, puts and removals in a transaction", n)
	}
	for _, put := range t.Puts {
		if len(put.Data) > apstore.MaxValueBytes {
			return apstore.TransactionResult{}, apcode.Errorf(apcode.ValueTooLarge, "key %s: %d bytes", put.Key, len(put.Data))
		}
	}
	var current []apstore.Value
	conflict := false
	for _, condition := range t.Conditions {
		value := s.rows[condition.Key].value
		value.Key = condition.Key
		current = append(current, value)
		conflict = conflict || value.Revision != condition.Revision
	}
	if conflict {
		return apstore.TransactionResult{Current: current}, apcode.Errorf(apcode.StoreConflict, "a condition does not hold")
	}
	for _, put := range t.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return apstore.TransactionResult{}, apcode.Errorf(apcode.LeaseLost, "lease %d has expired", put.Lease)
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
	s.notifyWatches()
	return apstore.TransactionResult{Revision: s.revision}, nil
}

// WatchChanges implements apstore.TransactionalStore.
func (l TransactionalStore) WatchChanges(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	var feed apstore.Feed
	historyLost := false
	err := l.watchUntil(ctx, prefix, wait, func() bool {
		feed, historyLost = l.changesSince(prefix, after)
		return historyLost || len(feed.Events) > 0
	})
	if historyLost {
		return feed, apcode.Errorf(apcode.StoreHistoryLost, "watch %s: the history after revision %d is no longer kept", prefix, after)
	}
	return feed, err
}

// Compact drops the history. WatchChanges calls from an earlier revision then fail with StoreHistoryLost.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.revision
	clear(s.removedAt)
	s.notifyWatches()
}

// remove deletes a key at the store's current revision.
func (s *Store) remove(key apfleet.Key) {
	delete(s.rows, key)
	s.removedAt[key] = s.revision
}

func (s *Store) changesSince(prefix apfleet.Key, after apstore.Revision) (apstore.Feed, bool) {
	feed := apstore.Feed{Revision: s.revision}
	if after < s.compactedAt {
		return feed, true
	}
	for _, value := range s.valuesSince(prefix, after).Values {
		feed.Events = append(feed.Events, apstore.Event{Value: value})
	}
	for key, revision := range s.removedAt {
		if key.HasPrefix(prefix) && revision > after {
			feed.Events = append(feed.Events, apstore.Event{Value: apstore.Value{Key: key, Revision: revision}, Removed: true})
		}
	}
	slices.SortFunc(feed.Events, func(a, b apstore.Event) int {
		return int(a.Value.Revision) - int(b.Value.Revision)
	})
	return feed, false
}
