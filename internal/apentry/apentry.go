// Package apentry answers callers: it forwards each request to a backend server, within the limits
// and by the choices of package aproute.
package apentry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
)

// Claimer makes non-idempotent requests run at most once.
type Claimer interface {
	// Claim asks for the id of a request before its deadline.
	Claim(ctx context.Context, request ClaimRequest) ClaimResult
}

// Fleet is the part of the tables that routing needs.
type Fleet struct {
	Services []Service
	// Members is the number of entries that share the instances, this one included.
	Members int
}

// Service is a service with its settings and instances.
type Service struct {
	Name      apfleet.ServiceName
	Settings  apsettings.Resolved
	Instances []aproute.Instance
}

// Entry is the http.Handler for callers.
type Entry struct {
	options  Options
	claimer  Claimer
	backends *backendTable
	group    errgroup.Group
	leaving  atomic.Bool
	inFlight atomic.Int64

	mu    sync.RWMutex
	gates map[apfleet.ServiceName]*gate
}

// New returns an Entry that knows no service.
func New(claimer Claimer, opts ...Option) *Entry {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Entry{
		options:  options,
		claimer:  claimer,
		backends: newBackendTable(),
		gates:    make(map[apfleet.ServiceName]*gate),
	}
}

// SetFleet replaces the services and their instances.
func (e *Entry) SetFleet(fleet Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[apfleet.ServiceName]struct{}, len(fleet.Services))
	for _, service := range fleet.Services {
		listed[service.Name] = struct{}{}
		g, ok := e.gates[service.Name]
		if !ok {
			g = newGate(service.Name, e.options)
			e.gates[service.Name] = g
		}
		g.configure(time.Now(), service, e.connectionCap(service, fleet.Members))
	}
	for name := range e.gates {
		if _, ok := listed[name]; !ok {
			delete(e.gates, name)
		}
	}
}

// connectionCap shares an instance's connections among the members, with room for one more entry
// that replaces another.
func (e *Entry) connectionCap(service Service, members int) int {
	return max(service.Settings.Connections/(max(members, 1)+1), 1)
}

func (e *Entry) gate(name apfleet.ServiceName) (*gate, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	g, ok := e.gates[name]
	return g, ok
}

// visit calls visit for each service in no order.
func (e *Entry) visit(visit func(*gate)) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, g := range e.gates {
		visit(g)
	}
}

// InFlight returns the requests of callers that have not been answered.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Leave refuses new requests from now on.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Wait returns when every attempt under way has ended.
func (e *Entry) Wait() error { return e.group.Wait() }

// ServeHTTP answers one caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	started := time.Now()
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service := apfleet.ServiceName(name)
	if e.leaving.Load() {
		e.writeRefusal(w, r, refusal{code: apcode.Leaving, detail: "this entry is shutting down"})
		return
	}
	g, ok := e.gate(service)
	if !ok {
		e.writeRefusal(w, r, refusal{code: apcode.NoSuchService, detail: "no service " + name})
		return
	}
	request, bad := readRequest(w, r, g.settings(), started)
	if bad != nil {
		e.writeRefusal(w, r, *bad)
		return
	}
	e.count(service, "Requests")
	e.write(w, r, e.serve(r.Context(), g, request))
	metrics.GetOrRegisterTimer("Entry."+name+".Time", e.options.Metrics).UpdateSince(started)
}

// serve claims the request when it must not run twice, and forwards it.
func (e *Entry) serve(ctx context.Context, g *gate, request *request) outcome {
	if request.idempotent || !request.named {
		return e.forward(ctx, g, request, nil)
	}
	result := e.claimer.Claim(ctx, ClaimRequest{
		ID:       claimID(g.name, request.id),
		Deadline: request.deadline,
		Window:   request.settings.ClaimWindow,
	})
	switch claim := result.(type) {
	case Claimed:
		return e.forward(ctx, g, request, claim.Grant)
	case Repeated:
		return replay(claim.Answer)
	case ClaimRefused:
		return refusal{code: claim.Code, detail: claim.Detail, retryAfter: time.Second}
	default:
		return refusal{code: apcode.ClaimUnavailable, detail: "unknown result"}
	}
}

func (e *Entry) count(service apfleet.ServiceName, name string) {
	metrics.GetOrRegisterCounter("Entry."+string(service)+"."+name, e.options.Metrics).Inc(1)
}

// logDecision writes the line of one routing decision.
func (e *Entry) logDecision(g *gate, request *request, attempt int, decision aproute.Decision) {
	if !e.options.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"Event": "Route", "RequestID": request.id, "Service": g.name, "Attempt": attempt}
	switch d := decision.(type) {
	case aproute.Dispatch:
		fields["Instance"] = d.Instance
		fields["Candidates"] = d.Candidates
		fields["Reason"] = d.Reason
		fields["Code"] = uint16(apcode.OK)
	case aproute.Refuse:
		fields["Code"] = uint16(d.Code)
		fields["Reason"] = d.Code.String()
		fields["RetryAfter"] = d.RetryAfter
	case aproute.Wait:
		fields["Reason"] = "Wait"
	}
	e.options.Logger.WithFields(fields).Info()
}
