package http

import (
	"context"
	"net/http"
	"net/netip"

	"auburnport/internal/applatform"
)

const (
	pathWorkers = "/workers/list"
	pathTask    = "/workers/task"
)

// Workers is a client of the workers. It implements applatform.Workers.
type Workers struct{ platform *Platform }

// NewWorkers returns a client of the workers at address.
func NewWorkers(address netip.AddrPort) *Workers { return &Workers{platform: New(address)} }

// Workers implements applatform.Workers.
func (w *Workers) Workers(ctx context.Context) (applatform.WorkerList, error) {
	r, err := w.platform.call(ctx, pathWorkers, listRequest{})
	return r.Workers, err
}

// Apply implements applatform.Workers.
func (w *Workers) Apply(ctx context.Context, order applatform.TaskOrder) error {
	_, err := w.platform.call(ctx, pathTask, order)
	return err
}

// WorkersHandler serves workers over HTTP.
func WorkersHandler(workers applatform.Workers) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathWorkers, func(ctx context.Context, _ listRequest) (r response, err error) {
		r.Workers, err = workers.Workers(ctx)
		return r, err
	})
	handle(mux, pathTask, func(ctx context.Context, order applatform.TaskOrder) (response, error) {
		return response{}, workers.Apply(ctx, order)
	})
	return mux
}
