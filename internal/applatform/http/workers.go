package http

import (
	"context"
	"net/http"
	"net/netip"

	"auburnport/internal/apcall"
	"auburnport/internal/applatform"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	pathWorkers = "/workers/list"
	pathTask    = "/workers/task"
)

// workersReply is the body of every answer about workers.
type workersReply struct {
	Code   apcode.Code           `cbor:"Code"`
	Detail string                `cbor:"Detail"`
	List   applatform.WorkerList `cbor:"List"`
}

// Check checks the list.
func (r workersReply) Check() error { return r.List.Check() }

// Workers is a client of applatform.Workers served over HTTP.
type Workers struct {
	base   string
	client *http.Client
}

// NewWorkers returns a client of the workers at address.
func NewWorkers(address netip.AddrPort) *Workers {
	return &Workers{base: "http://" + address.String(), client: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}}
}

// Workers implements applatform.Workers.
func (w *Workers) Workers(ctx context.Context) (applatform.WorkerList, error) {
	r, err := w.call(ctx, pathWorkers, nil)
	return r.List, err
}

// Apply implements applatform.Workers.
func (w *Workers) Apply(ctx context.Context, order applatform.TaskOrder) error {
	_, err := w.call(ctx, pathTask, apfleet.Encode(order))
	return err
}

func (w *Workers) call(ctx context.Context, path string, message []byte) (workersReply, error) {
	var r workersReply
	data, err := apcall.Post(ctx, w.client, w.base+path, message)
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

// WorkersHandler serves workers over HTTP.
func WorkersHandler(workers applatform.Workers) http.Handler {
	mux := http.NewServeMux()
	answer := func(list applatform.WorkerList, err error) []byte {
		if err != nil {
			return apfleet.Encode(workersReply{Code: apcode.Of(err), Detail: err.Error()})
		}
		return apfleet.Encode(workersReply{List: list})
	}
	apcall.Handle(mux, pathWorkers, func(ctx context.Context, _ []byte) []byte { return answer(workers.Workers(ctx)) })
	apcall.Handle(mux, pathTask, func(ctx context.Context, message []byte) []byte {
		var order applatform.TaskOrder
		err := apfleet.Decode(message, &order)
		if err == nil {
			err = workers.Apply(ctx, order)
		}
		return answer(applatform.WorkerList{}, err)
	})
	return mux
}
