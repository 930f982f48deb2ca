package apstandin

import (
	"context"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// StoreFaults are the faults of the store.
type StoreFaults struct {
	// Down refuses every call.
	Down bool `cbor:"Down"`
	// Delay comes before every call.
	Delay time.Duration `cbor:"Delay"`
	// LostReplies is how many of the next writes take effect without a reply.
	LostReplies int `cbor:"LostReplies"`
	// Duplicate delivers every write a second time after DuplicateAfter.
	Duplicate bool `cbor:"Duplicate"`
}

// Store is a store with faults.
type Store struct {
	apstore.Store

	mu     sync.Mutex
	faults StoreFaults
}

// NewStore returns inner with faults, none at first.
func NewStore(inner apstore.Store) *Store { return &Store{Store: inner} }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
		}
	}
	if faults.Down {
		return apcode.Errorf(apcode.StoreUnavailable, "the store is down")
	}
	return nil
}

// Get implements apstore.Store.
func (s *Store) Get(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if err := s.enter(ctx); err != nil {
		return apstore.Value{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements apstore.Store.
func (s *Store) List(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	if err := s.enter(ctx); err != nil {
		return apstore.Page{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Swap implements apstore.Store.
func (s *Store) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	revision, err := s.Store.Swap(ctx, write)
	if s.duplicates() {
		_, _ = s.Store.Swap(ctx, write)
	}
	if err == nil && s.loseReply() {
		return 0, apcode.Errorf(apcode.StoreUnknown, "the reply was lost")
	}
	return revision, err
}

func (s *Store) duplicates() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Duplicate
}

func (s *Store) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostReplies == 0 {
		return false
	}
	s.faults.LostReplies--
	return true
}

// Watch implements apstore.Store.
func (s *Store) Watch(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Page, error) {
	if err := s.enter(ctx); err != nil {
		return apstore.Page{}, err
	}
	page, err := s.Store.Watch(ctx, prefix, after, wait)
	if down := s.enter(ctx); down != nil {
		return apstore.Page{}, down
	}
	return page, err
}

// Grant implements apstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Renew implements apstore.Store.
func (s *Store) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// Revoke implements apstore.Store.
func (s *Store) Revoke(ctx context.Context, lease apstore.LeaseID) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, lease)
}
