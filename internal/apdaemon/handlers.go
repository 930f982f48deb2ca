package apdaemon

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"

	"auburnport/internal/apoperator"
	"auburnport/pkg/apmesh"
)

// HealthPath is the path of the health check for load balancers.
const HealthPath = "/-/health"

// callerHandler serves callers and the health check.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, d.handleHealth)
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
	mux.HandleFunc("GET "+HealthPath, d.handleHealth)
	mux.Handle("/", apoperator.Handler(d, d.token, d.metrics))
	return d.withRecovery(mux)
}

// withRecovery turns a panic of handler into status 500. It lets http.ErrAbortHandler through, which aborts a response
// on purpose.
func (d *Daemon) withRecovery(handler http.Handler) http.Handler {
	n := negroni.New()
	n.UseFunc(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		defer d.recoverPanic(w, r)
		next(w, r)
	})
	n.UseHandler(handler)
	return n
}

// recoverPanic must be deferred. It logs a panic and answers with status 500.
func (d *Daemon) recoverPanic(w http.ResponseWriter, r *http.Request) {
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

// handleHealth answers 200 while load balancers should send callers here, and 503 while the entry joins or leaves.
func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.isLeaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !d.state.Ready() || !d.claimsEnabled.Load():
		http.Error(w, "joining", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
