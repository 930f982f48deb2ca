// Package http speaks the platform's interfaces over HTTP with CBOR bodies: a client, and a handler
// that serves any other implementation.
package http

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"auburnport/internal/apcall"
	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	pathList    = "/platform/list"
	pathDrain   = "/platform/drain"
	pathReturn  = "/platform/return"
	pathRestart = "/platform/restart"

	callTimeout = 2 * time.Second
)

// known is the body of a request for the list.
type known struct {
	Version uint64 `cbor:"Version"`
}

// Check accepts every version.
func (known) Check() error { return nil }

// reply is the body of every answer.
type reply struct {
	Code    apcode.Code           `cbor:"Code"`
	Detail  string                `cbor:"Detail"`
	List    apfleet.VMList        `cbor:"List"`
	Workers applatform.WorkerList `cbor:"Workers"`
}

// Check checks the lists.
func (r reply) Check() error {
	if err := r.List.Check(); err != nil {
		return err
	}
	return r.Workers.Check()
}

// Platform is a client of the platform's interfaces.
type Platform struct {
	base   string
	client *http.Client
}

// New returns a client of the platform at address.
func New(address netip.AddrPort) *Platform {
	return &Platform{base: "http://" + address.String(), client: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}}
}

// List implements applatform.Lister.
func (p *Platform) List(ctx context.Context, version uint64) (apfleet.VMList, error) {
	r, err := p.call(ctx, pathList, known{Version: version})
	return r.List, err
}

// Drain implements applatform.Pools.
func (p *Platform) Drain(ctx context.Context, operation applatform.Operation) error {
	_, err := p.call(ctx, pathDrain, operation)
	return err
}

// Return implements applatform.Pools.
func (p *Platform) Return(ctx context.Context, operation applatform.Operation) error {
	_, err := p.call(ctx, pathReturn, operation)
	return err
}

// Restart implements applatform.Pools.
func (p *Platform) Restart(ctx context.Context, operation applatform.Operation) error {
	_, err := p.call(ctx, pathRestart, operation)
	return err
}

func (p *Platform) call(ctx context.Context, path string, body any) (reply, error) {
	var r reply
	data, err := apcall.Post(ctx, p.client, p.base+path, apfleet.Encode(body))
	if err != nil {
		return r, apcode.Wrapf(apcode.PlatformFailed, err, "%s", path)
	}
	if err := apfleet.Decode(data, &r); err != nil {
		return r, apcode.Wrapf(apcode.PlatformFailed, err, "%s", path)
	}
	if r.Code != apcode.OK {
		return r, apcode.Errorf(r.Code, "%s", r.Detail)
	}
	return r, nil
}

// Handler serves the platform's interfaces over HTTP.
func Handler(lister applatform.Lister, pools applatform.Pools) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathList, func(ctx context.Context, k known) (r reply, err error) {
		r.List, err = lister.List(ctx, k.Version)
		return r, err
	})
	order := func(path string, act func(context.Context, applatform.Operation) error) {
		handle(mux, path, func(ctx context.Context, o applatform.Operation) (reply, error) {
			return reply{}, act(ctx, o)
		})
	}
	order(pathDrain, pools.Drain)
	order(pathReturn, pools.Return)
	order(pathRestart, pools.Restart)
	return mux
}

func handle[T apfleet.Checker](mux *http.ServeMux, path string, serve func(context.Context, T) (reply, error)) {
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
