package apdaemon

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"

	"auburnport/internal/apoperator"
	"auburnport/pkg/apmesh"
)

// HealthPath is where the balancer asks whether an entry takes callers.
const HealthPath = "/-/health"

// callerHandler answers callers and the balancer's health check.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, d.health)
	mux.Handle("/", d.entry)
	return d.withRecovery(mux)
}

func (d *Daemon) meshHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(apmesh.Path, d.node)
	return mux
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, d.health)
	mux.Handle("/", apoperator.Handler(d, d.token, d.metrics))
	return d.withRecovery(mux)
}

// withRecovery turns a panic into status 500, but lets an aborted answer through.
func (d *Daemon) withRecovery(handler http.Handler) http.Handler {
	n := negroni.New()
	n.UseFunc(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		defer d.recover(w, r)
		next(w, r)
	})
	n.UseHandler(handler)
	return n
}

func (d *Daemon) recover(w http.ResponseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	d.logger.WithFields(logrus.Fields{"Event": "Panic", "Path": r.URL.Path, "Cause": cause}).Error()
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// health says 200 while the entry takes callers.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.isLeaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !d.state.Ready() || !d.attached.Load():
		http.Error(w, "joining", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
