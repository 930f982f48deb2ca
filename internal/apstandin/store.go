package apstandin

import (
	"context"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// StoreFaults are the faults to inject into the store.
type StoreFaults struct {
	// Down fails every call with StoreUnavailable.
	Down bool `cbor:"Down"`
	// Delay is added before every call, and once more before the result of a watch is returned.
	Delay time.Duration `cbor:"Delay"`
	// LostReplies is the number of next successful writes that return StoreUnknown although they took
	// effect.
	LostReplies int `cbor:"LostReplies"`
	// Duplicate sends every write to the store twice.
	Duplicate bool `cbor:"Duplicate"`
}

// Store wraps a store and injects faults into its calls.
type Store struct {
	apstore.Store

	mu     sync.Mutex
	faults StoreFaults
}

// NewStore wraps inner, without faults at first.
func NewStore(inner apstore.Store) *Store { return &Store{Store: inner} }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// delayOrFail applies the delay and the outage.
func (s *Store) delayOrFail(ctx context.Context) error {
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
		return apcode.Errorf(apcode.StoreUnavailable, "the store is down (injected fault)")
	}
	return nil
}

// Get implements apstore.Store.
func (s *Store) Get(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if err := s.delayOrFail(ctx); err != nil {
		return apstore.Value{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements apstore.Store.
func (s *Store) List(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	if err := s.delayOrFail(ctx); err != nil {
		return apstore.Page{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Swap implements apstore.Store.
func (s *Store) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	if err := s.delayOrFail(ctx); err != nil {
		return 0, err
	}
	revision, err := s.Store.Swap(ctx, write)
	if s.duplicatesWrites() {
		_, _ = s.Store.Swap(ctx, write)
	}
	if err == nil && s.takeLostReply() {
		return 0, apcode.Errorf(apcode.StoreUnknown, "the reply to the write was lost (injected fault)")
	}
	return revision, err
}

func (s *Store) duplicatesWrites() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Duplicate
}

// takeLostReply reports whether to lose the reply to the current write, and uses up one of LostReplies
// if so.
func (s *Store) takeLostReply() bool {
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
	if err := s.delayOrFail(ctx); err != nil {
		return apstore.Page{}, err
	}
	page, err := s.Store.Watch(ctx, prefix, after, wait)
	if faultErr := s.delayOrFail(ctx); faultErr != nil {
		return apstore.Page{}, faultErr
	}
	return page, err
}

// Grant implements apstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	if err := s.delayOrFail(ctx); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Renew implements apstore.Store.
func (s *Store) Renew(ctx context.Context, lease apstore.LeaseID) error {
	if err := s.delayOrFail(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// Revoke implements apstore.Store.
func (s *Store) Revoke(ctx context.Context, lease apstore.LeaseID) error {
	if err := s.delayOrFail(ctx); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, lease)
}
