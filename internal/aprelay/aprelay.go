// Package aprelay lets an entry that can't reach the store use it through another entry that can. The platform's store
// may turn single entries away while it serves the others; their callers need not notice.
package aprelay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"auburnport/internal/apgroup"
	"auburnport/internal/aplog"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Peers finds the entries through which the store may be reached.
type Peers interface {
	// Peers returns the relay addresses of the other entries that were last known to be up.
	Peers() []netip.AddrPort
}

const (
	// hedgeDelay is how long a call to this entry's own store may take before it is also sent to a peer. A store that
	// is merely slow answers within it.
	hedgeDelay = 600 * time.Millisecond
	// probeInterval is how often one call tries this entry's own store first, after it has failed.
	probeInterval = 500 * time.Millisecond
	// relayTimeout bounds a call through peers, peerTimeout its part through one peer. Both leave out the time that a
	// watch waits for changes.
	relayTimeout = 600 * time.Millisecond
	peerTimeout  = 300 * time.Millisecond
)

// Store is a store that is also reached through peers. Reads, writes and watches are relayed; leases aren't, because
// they show whether this entry itself reaches the store. A write that was sent both ways takes effect at most once only
// if its conditions see to that. Use New.
type Store struct {
	apstore.Leases
	own   apstore.TransactionalStore
	peers Peers
	conns *connPool
	log   aplog.EventFunc
	group apgroup.Group

	mu sync.Mutex
	// failing means that the last call to the own store failed; no call before retryAt tries it first.
	failing bool
	retryAt time.Time
	// nextPeer rotates the peers.
	nextPeer int
}

var _ apstore.TransactionalStore = (*Store)(nil)

// New returns a store that falls back to peers when the own store doesn't answer. It logs when that begins and ends.
func New(own apstore.TransactionalStore, peers Peers, log aplog.EventFunc) *Store {
	return &Store{Leases: own, own: own, peers: peers, conns: newConnPool(), log: log}
}

// Read implements apstore.TransactionalStore.
func (s *Store) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	answer, err := s.call(ctx, request{Operation: opRead, Key: key})
	return answer.Value, err
}

// Scan implements apstore.TransactionalStore.
func (s *Store) Scan(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	answer, err := s.call(ctx, request{Operation: opScan, Key: prefix})
	return answer.Page, err
}

// Commit implements apstore.TransactionalStore.
func (s *Store) Commit(ctx context.Context, transaction apstore.Transaction) (apstore.TransactionResult, error) {
	answer, err := s.call(ctx, request{Operation: opCommit, Transaction: transaction})
	return answer.Result, err
}

// WatchChanges implements apstore.TransactionalStore.
func (s *Store) WatchChanges(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Feed, error) {
	answer, err := s.call(ctx, request{Operation: opWatch, Key: prefix, After: after, Wait: wait})
	return answer.Feed, err
}

// outcome is the result of a call on one of its ways.
type outcome struct {
	answer reply
	err    error
}

// settled reports whether the store has answered.
func (o outcome) settled() bool {
	return !apcode.Is(o.err, apcode.StoreUnavailable) && !apcode.Is(o.err, apcode.StoreUnknown)
}

// merge returns the outcome of a call that was sent on two ways. Without an answer on either, it may have been carried
// out if that is so for one of them.
func merge(first, second outcome) outcome {
	if first.settled() || !second.settled() && apcode.Is(first.err, apcode.StoreUnknown) {
		return first
	}
	return second
}

// call sends a call to the own store, or to peers while the own store fails. A call to the own store that fails or takes
// long is sent to peers as well.
func (s *Store) call(ctx context.Context, r request) (reply, error) {
	var result outcome
	if s.skipOwn(time.Now()) {
		if result = s.relay(ctx, r); !result.settled() {
			result = merge(s.callOwn(ctx, r), result)
		}
		return result.answer, result.err
	}
	ownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, 1)
	s.group.Go(func() error {
		results <- s.callOwn(ownCtx, r)
		return nil
	})
	hedge := time.NewTimer(r.Wait + hedgeDelay)
	defer hedge.Stop()
	select {
	case result = <-results:
		if !result.settled() && ctx.Err() == nil {
			result = merge(s.relay(ctx, r.withoutWait()), result)
		}
	case <-hedge.C:
		if result = s.relay(ctx, r.withoutWait()); result.settled() {
			s.noteOwn(false)
		} else {
			result = merge(<-results, result)
		}
	}
	return result.answer, result.err
}

// callOwn sends a call to the own store and notes whether it answers. A panic of the store's client becomes the call's
// error.
func (s *Store) callOwn(ctx context.Context, r request) outcome {
	var result outcome
	result.err = apgroup.CatchPanic(func() (err error) {
		result.answer, err = perform(ctx, s.own, r)
		return err
	})
	if result.settled() || ctx.Err() == nil {
		s.noteOwn(result.settled())
	}
	return result
}

// noteOwn records whether the own store answers.
func (s *Store) noteOwn(answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing == answers {
		s.failing = !answers
		s.retryAt = time.Now().Add(probeInterval)
		s.log("StoreRelay", map[string]any{"Used": s.failing})
	}
}

// skipOwn reports whether a call should be sent to peers first. While the own store fails, one call in each
// probeInterval is not.
func (s *Store) skipOwn(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failing {
		return false
	}
	if now.Before(s.retryAt) {
		return true
	}
	s.retryAt = now.Add(probeInterval)
	return false
}

// relay sends a call through peers, one after the other, until the store answers.
func (s *Store) relay(ctx context.Context, r request) outcome {
	result := outcome{err: apcode.Errorf(apcode.StoreUnavailable, "no other entry reaches the store")}
	peers := s.peers.Peers()
	if len(peers) == 0 {
		return result
	}
	s.mu.Lock()
	first := s.nextPeer
	s.nextPeer++
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.Wait+relayTimeout)
	defer cancel()
	for i := range peers {
		if ctx.Err() != nil {
			break
		}
		next := s.conns.call(ctx, peers[(first+i)%len(peers)], r)
		if result = merge(next, result); result.settled() {
			break
		}
	}
	return result
}
