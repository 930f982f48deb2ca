package aprelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/aprelay"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
)

// turnedAway is an entry's access to a store that fails every call with a code while the code is set. StoreUnknown
// carries the call out first. silent makes calls wait for their context.
type turnedAway struct {
	memory.TransactionalStore
	code   atomic.Uint32
	silent atomic.Bool
	calls  atomic.Int64
}

func newAccess(store *memory.Store) *turnedAway {
	return &turnedAway{TransactionalStore: memory.TransactionalStore{Store: store}}
}

func (s *turnedAway) fail(ctx context.Context) error {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return apcode.Wrapf(apcode.StoreUnknown, ctx.Err(), "silent")
	}
	if code := apcode.Code(s.code.Load()); code != 0 {
		return apcode.Errorf(code, "turned away")
	}
	return nil
}

func (s *turnedAway) Read(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	if err := s.fail(ctx); err != nil {
		return apstore.Value{}, apcode.Wrapf(apcode.StoreUnavailable, err, "read")
	}
	return s.TransactionalStore.Read(ctx, key)
}

func (s *turnedAway) Commit(ctx context.Context, t apstore.Transaction) (apstore.TransactionResult, error) {
	err := s.fail(ctx)
	if apcode.Is(err, apcode.StoreUnknown) && ctx.Err() == nil {
		_, _ = s.TransactionalStore.Commit(ctx, t)
	}
	if err != nil {
		return apstore.TransactionResult{}, err
	}
	return s.TransactionalStore.Commit(ctx, t)
}

func logNothing(string, map[string]any) {}

// peerList is a fixed list of peers.
type peerList []netip.AddrPort

func (p peerList) Peers() []netip.AddrPort { return p }

// serveRelay serves an entry's relay and returns its address.
func serveRelay(t *testing.T, relay http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(relay)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// newPair returns an entry's relay with the peer that it uses, and the access of both to one store.
func newPair(t *testing.T) (relay *aprelay.Store, own, peers *turnedAway) {
	t.Helper()
	store := memory.New()
	own, peers = newAccess(store), newAccess(store)
	address := serveRelay(t, aprelay.New(peers, peerList{}, logNothing))
	return aprelay.New(own, peerList{address}, logNothing), own, peers
}

var putOnce = apstore.Transaction{Conditions: []apstore.Condition{{Key: "k"}}, Puts: []apstore.Put{{Key: "k", Data: []byte("v")}}}

// An entry that the store turns away reads, writes and watches through a peer, and uses its own access again when the
// store serves it again.
func TestTurnedAwayEntryUsesAPeer(t *testing.T) {
	relay, own, peers := newPair(t)
	own.code.Store(uint32(apcode.StoreUnavailable))
	written, err := relay.Commit(t.Context(), putOnce)
	assert.NilError(t, err)
	value, err := relay.Read(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, written.Revision)
	assert.Equal(t, string(value.Data), "v")
	page, err := relay.Scan(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(page.Values), 1)
	feed, err := relay.WatchChanges(t.Context(), "", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(feed.Events), 1)
	before := own.calls.Load()
	_, err = relay.Read(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, own.calls.Load(), before, "an entry that is turned away asks its peers first")

	own.code.Store(0)
	for peerCalls := int64(-1); peerCalls != peers.calls.Load(); time.Sleep(20 * time.Millisecond) {
		peerCalls = peers.calls.Load()
		_, err = relay.Read(t.Context(), "k")
		assert.NilError(t, err)
	}
}

// A write that the store carried out without an answer is settled through a peer: the caller learns that a condition
// doesn't hold any more instead of waiting until its time is up.
func TestWriteOfUnknownOutcomeIsSettledThroughAPeer(t *testing.T) {
	relay, own, _ := newPair(t)
	own.code.Store(uint32(apcode.StoreUnknown))
	result, err := relay.Commit(t.Context(), putOnce)
	assert.Equal(t, apcode.Of(err), apcode.StoreConflict)
	assert.Equal(t, string(result.Current[0].Data), "v")
}

// A store that is silent towards one entry costs its callers no more than the time after which a peer is asked.
func TestSilentStoreIsReachedThroughAPeer(t *testing.T) {
	relay, own, _ := newPair(t)
	own.silent.Store(true)
	_, err := relay.Commit(t.Context(), putOnce)
	assert.NilError(t, err)
	_, err = relay.Read(t.Context(), "k")
	assert.NilError(t, err)
}

// While no entry reaches the store, a write that was sent to nobody is not written, and one that may have been carried
// out stays unknown.
func TestNobodyReachesTheStore(t *testing.T) {
	relay, own, peers := newPair(t)
	own.code.Store(uint32(apcode.StoreUnavailable))
	peers.code.Store(uint32(apcode.StoreUnavailable))
	for range 3 {
		_, err := relay.Commit(t.Context(), putOnce)
		assert.Equal(t, apcode.Of(err), apcode.StoreUnavailable)
	}
	_, err := relay.Read(t.Context(), "k")
	assert.Equal(t, apcode.Of(err), apcode.StoreUnavailable)

	relay, own, peers = newPair(t)
	own.code.Store(uint32(apcode.StoreUnknown))
	peers.code.Store(uint32(apcode.StoreUnavailable))
	_, err = relay.Commit(t.Context(), putOnce)
	assert.Equal(t, apcode.Of(err), apcode.StoreUnknown)
}

// panickingStore panics when it is read.
type panickingStore struct{ *turnedAway }

func (panickingStore) Read(context.Context, apfleet.Key) (apstore.Value, error) {
	panic("an index out of range")
}

func TestPanicEndsOneCall(t *testing.T) {
	relay := aprelay.New(panickingStore{newAccess(memory.New())}, peerList{}, logNothing)
	_, err := relay.Read(t.Context(), "k")
	assert.Equal(t, apcode.Of(err), apcode.Panicked)
	_, err = relay.Commit(t.Context(), putOnce)
	assert.NilError(t, err)

	address := serveRelay(t, relay)
	turnedAway := newAccess(memory.New())
	turnedAway.code.Store(uint32(apcode.StoreUnavailable))
	_, err = aprelay.New(turnedAway, peerList{address}, logNothing).Read(t.Context(), "k")
	assert.Equal(t, apcode.Of(err), apcode.Panicked, "a peer answers the call that panicked")
}

// Callers use a relay at the same time from its first call on.
func TestConcurrentCalls(t *testing.T) {
	relay, _, _ := newPair(t)
	var callers errgroup.Group
	for range 20 {
		callers.Go(func() error {
			_, err := relay.Read(t.Context(), "k")
			return err
		})
	}
	assert.NilError(t, callers.Wait())
}

// An entry without peers, or whose peers are gone, behaves as without a relay.
func TestUnreachablePeers(t *testing.T) {
	for _, list := range []peerList{nil, {netip.MustParseAddrPort("127.0.0.1:1")}} {
		access := newAccess(memory.New())
		relay := aprelay.New(access, list, logNothing)
		access.code.Store(uint32(apcode.StoreUnavailable))
		_, err := relay.Commit(t.Context(), putOnce)
		assert.Equal(t, apcode.Of(err), apcode.StoreUnavailable)
		access.code.Store(0)
		_, err = relay.Commit(t.Context(), putOnce)
		assert.NilError(t, err)
	}
}

// A message that can't be decoded, or an unknown operation, is answered with a code and ends nothing.
func TestMalformedCallIsAnswered(t *testing.T) {
	address := serveRelay(t, aprelay.New(newAccess(memory.New()), peerList{}, logNothing))
	conn, _, err := websocket.Dial(t.Context(), "ws://"+address.String()+aprelay.Path, nil)
	assert.NilError(t, err)
	defer func() { _ = conn.CloseNow() }()
	for _, data := range [][]byte{{0xff}, apfleet.Encode(map[string]int{"Operation": 77}), apfleet.Encode(map[string]int{"Operation": 4, "Wait": -1})} {
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, data))
		_, answer, err := conn.Read(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(answer), "Code"))
	}
}
