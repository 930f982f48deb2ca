// Package http implements apstore.Store over HTTP with CBOR bodies. It provides a client, and a handler that
// serves any other implementation.
package http

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"auburnport/internal/apcall"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

const (
	pathGet    = "/store/get"
	pathList   = "/store/list"
	pathSwap   = "/store/swap"
	pathWatch  = "/store/watch"
	pathGrant  = "/store/grant"
	pathRenew  = "/store/renew"
	pathRevoke = "/store/revoke"
)

// query is the request body of every call but Swap. Key is the key or the prefix. Wait is how long a Watch waits, or the
// ttl of a Grant.
type query struct {
	Key   apfleet.Key      `cbor:"Key"`
	After apstore.Revision `cbor:"After"`
	Wait  time.Duration    `cbor:"Wait"`
	Lease apstore.LeaseID  `cbor:"Lease"`
}

// Check returns BadMessage for a negative duration.
func (q query) Check() error {
	if q.Wait < 0 {
		return apcode.Errorf(apcode.BadMessage, "negative duration")
	}
	return nil
}

// reply is the response body of every call.
type reply struct {
	Code     apcode.Code      `cbor:"Code"`
	Detail   string           `cbor:"Detail"`
	Revision apstore.Revision `cbor:"Revision"`
	Value    apstore.Value    `cbor:"Value"`
	Page     apstore.Page     `cbor:"Page"`
	Lease    apstore.LeaseID  `cbor:"Lease"`
}

// Check accepts every reply.
func (r reply) Check() error { return nil }

// Store is a client of a store served over HTTP.
type Store struct {
	baseURL string
	timeout time.Duration
	client  *http.Client
}

// New returns a client of the store at address. Calls other than Watch time out after timeout.
func New(address netip.AddrPort, timeout time.Duration) *Store {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	return &Store{baseURL: "http://" + address.String(), timeout: timeout, client: &http.Client{Transport: transport}}
}

// Get implements apstore.Store.
func (s *Store) Get(ctx context.Context, key apfleet.Key) (apstore.Value, error) {
	r, err := s.call(ctx, pathGet, query{Key: key}, s.timeout)
	return r.Value, readError(err)
}

// List implements apstore.Store.
func (s *Store) List(ctx context.Context, prefix apfleet.Key) (apstore.Page, error) {
	r, err := s.call(ctx, pathList, query{Key: prefix}, s.timeout)
	return r.Page, readError(err)
}

// Swap implements apstore.Store.
func (s *Store) Swap(ctx context.Context, write apstore.Write) (apstore.Revision, error) {
	r, err := s.call(ctx, pathSwap, write, s.timeout)
	return r.Revision, err
}

// Watch implements apstore.Store.
func (s *Store) Watch(ctx context.Context, prefix apfleet.Key, after apstore.Revision, wait time.Duration) (apstore.Page, error) {
	r, err := s.call(ctx, pathWatch, query{Key: prefix, After: after, Wait: wait}, s.timeout+wait)
	return r.Page, readError(err)
}

// Grant implements apstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (apstore.LeaseID, error) {
	r, err := s.call(ctx, pathGrant, query{Wait: ttl}, s.timeout)
	return r.Lease, err
}

// Renew implements apstore.Store.
func (s *Store) Renew(ctx context.Context, lease apstore.LeaseID) error {
	_, err := s.call(ctx, pathRenew, query{Lease: lease}, s.timeout)
	return err
}

// Revoke implements apstore.Store.
func (s *Store) Revoke(ctx context.Context, lease apstore.LeaseID) error {
	_, err := s.call(ctx, pathRevoke, query{Lease: lease}, s.timeout)
	return err
}

// readError turns StoreUnknown into StoreUnavailable: a read has no effect, so its outcome can't be unknown.
func readError(err error) error {
	if apcode.Is(err, apcode.StoreUnknown) {
		return apcode.Wrapf(apcode.StoreUnavailable, err, "read")
	}
	return err
}

func (s *Store) call(ctx context.Context, path string, body any, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r reply
	data, err := apcall.Post(ctx, s.client, s.baseURL+path, apfleet.Encode(body))
	if err != nil {
		return r, callError(err, path)
	}
	if err := apfleet.Decode(data, &r); err != nil {
		return r, apcode.Wrapf(apcode.StoreUnknown, err, "%s", path)
	}
	if r.Code != apcode.OK {
		return r, apcode.Errorf(r.Code, "%s", r.Detail)
	}
	return r, nil
}

// callError returns StoreUnavailable if the request was never sent, and StoreUnknown otherwise.
func callError(err error, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return apcode.Wrapf(apcode.StoreUnavailable, err, "%s", path)
	}
	return apcode.Wrapf(apcode.StoreUnknown, err, "%s", path)
}

// Handler serves store over HTTP.
func Handler(store apstore.Store) http.Handler {
	mux := http.NewServeMux()
	handleCall(mux, pathGet, func(ctx context.Context, q query) (r reply, err error) {
		r.Value, err = store.Get(ctx, q.Key)
		return r, err
	})
	handleCall(mux, pathList, func(ctx context.Context, q query) (r reply, err error) {
		r.Page, err = store.List(ctx, q.Key)
		return r, err
	})
	handleCall(mux, pathWatch, func(ctx context.Context, q query) (r reply, err error) {
		r.Page, err = store.Watch(ctx, q.Key, q.After, q.Wait)
		return r, err
	})
	handleCall(mux, pathSwap, func(ctx context.Context, w apstore.Write) (r reply, err error) {
		r.Revision, err = store.Swap(ctx, w)
		return r, err
	})
	handleCall(mux, pathGrant, func(ctx context.Context, q query) (r reply, err error) {
		r.Lease, err = store.Grant(ctx, q.Wait)
		return r, err
	})
	handleCall(mux, pathRenew, func(ctx context.Context, q query) (reply, error) {
		return reply{}, store.Renew(ctx, q.Lease)
	})
	handleCall(mux, pathRevoke, func(ctx context.Context, q query) (reply, error) {
		return reply{}, store.Revoke(ctx, q.Lease)
	})
	return mux
}

func handleCall[T apfleet.Checker](mux *http.ServeMux, path string, serve func(context.Context, T) (reply, error)) {
	apcall.Handle(mux, path, func(ctx context.Context, data []byte) []byte {
		var message T
		var answer reply
		err := apfleet.Decode(data, &message)
		if err == nil {
			answer, err = serve(ctx, message)
		}
		if err != nil {
			answer = reply{Code: apcode.Of(err), Detail: err.Error()}
		}
		return apfleet.Encode(answer)
	})
}
