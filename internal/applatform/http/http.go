// Package http implements the interfaces of applatform over HTTP with CBOR bodies: a client, and handlers that serve
// other implementations.
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

	requestTimeout = 2 * time.Second
)

// listRequest is the body of a request for a list.
type listRequest struct {
	// Version is that of the list which the client already has; 0 means none.
	Version uint64 `cbor:"Version"`
}

// Check accepts every version.
func (listRequest) Check() error { return nil }

// response is the body of every response. List or Workers is set by the requests that return them.
type response struct {
	Code    apcode.Code           `cbor:"Code"`
	Detail  string                `cbor:"Detail"`
	List    apfleet.VMList        `cbor:"List"`
	Workers applatform.WorkerList `cbor:"Workers"`
}

// Check checks both lists.
func (r response) Check() error {
	if err := r.List.Check(); err != nil {
		return err
	}
	return r.Workers.Check()
}

// Platform is a client of the platform. It implements applatform.Lister and applatform.Pools.
type Platform struct {
	base   string
	client *http.Client
}

// New returns a client of the platform at address.
func New(address netip.AddrPort) *Platform {
	return &Platform{base: "http://" + address.String(), client: &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}}
}

// List implements applatform.Lister.
func (p *Platform) List(ctx context.Context, version uint64) (apfleet.VMList, error) {
	r, err := p.call(ctx, pathList, listRequest{Version: version})
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

// call posts body to path and decodes the response. A failure that the platform reports keeps its result code; others
// are PlatformFailed.
func (p *Platform) call(ctx context.Context, path string, body any) (response, error) {
	var r response
	data, err := apcall.Post(ctx, p.client, p.base+path, apfleet.Encode(body))
	if err != nil {
		return r, apcode.Wrapf(apcode.PlatformFailed, err, "call %s", path)
	}
	if err := apfleet.Decode(data, &r); err != nil {
		return r, apcode.Wrapf(apcode.PlatformFailed, err, "call %s", path)
	}
	if r.Code != apcode.OK {
		return r, apcode.Errorf(r.Code, "%s", r.Detail)
	}
	return r, nil
}

// Handler serves lister and pools over HTTP.
func Handler(lister applatform.Lister, pools applatform.Pools) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathList, func(ctx context.Context, request listRequest) (r response, err error) {
		r.List, err = lister.List(ctx, request.Version)
		return r, err
	})
	handleOperation := func(path string, act func(context.Context, applatform.Operation) error) {
		handle(mux, path, func(ctx context.Context, operation applatform.Operation) (response, error) {
			return response{}, act(ctx, operation)
		})
	}
	handleOperation(pathDrain, pools.Drain)
	handleOperation(pathReturn, pools.Return)
	handleOperation(pathRestart, pools.Restart)
	return mux
}

// handle decodes the messages posted to path and encodes the response of serve, or its error.
func handle[T apfleet.Checker](mux *http.ServeMux, path string, serve func(context.Context, T) (response, error)) {
	apcall.Handle(mux, path, func(ctx context.Context, data []byte) []byte {
		var message T
		var result response
		err := apfleet.Decode(data, &message)
		if err == nil {
			result, err = serve(ctx, message)
		}
		if err != nil {
			result = response{Code: apcode.Of(err), Detail: err.Error()}
		}
		return apfleet.Encode(result)
	})
}
