// Package apentry implements the reverse proxy that callers send their requests to. It forwards each
// request to a backend server; package aproute chooses the instance and enforces the limits.
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

// Claimer ensures that a non-idempotent request runs at most once.
type Claimer interface {
	// Claim claims the id of a request and returns by the request's deadline.
	Claim(ctx context.Context, request ClaimRequest) ClaimResult
}

// Fleet lists the services and instances that requests are routed to.
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

// Entry is the http.Handler that serves callers.
type Entry struct {
	options  Options
	claimer  Claimer
	conns    *instanceConnsTable
	group    errgroup.Group
	leaving  atomic.Bool
	inFlight atomic.Int64

	mu        sync.RWMutex
	balancers map[apfleet.ServiceName]*serviceBalancer
}

// New returns an Entry without services.
func New(claimer Claimer, opts ...Option) *Entry {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Entry{
		options:   options,
		claimer:   claimer,
		conns:     newInstanceConnsTable(),
		balancers: make(map[apfleet.ServiceName]*serviceBalancer),
	}
}

// SetFleet replaces the services and their instances.
func (e *Entry) SetFleet(fleet Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[apfleet.ServiceName]struct{}, len(fleet.Services))
	for _, service := range fleet.Services {
		listed[service.Name] = struct{}{}
		s, ok := e.balancers[service.Name]
		if !ok {
			s = newServiceBalancer(service.Name, e.options)
			e.balancers[service.Name] = s
		}
		s.configure(time.Now(), service, e.connectionLimit(service, fleet.Members))
	}
	for name := range e.balancers {
		if _, ok := listed[name]; !ok {
			delete(e.balancers, name)
		}
	}
}

// connectionLimit returns how many connections this entry may open to one instance. The instance's
// connections are divided by one more than the number of members, because an entry that replaces
// another one may run beside it for a while.
func (e *Entry) connectionLimit(service Service, members int) int {
	return max(service.Settings.Connections/(max(members, 1)+1), 1)
}

func (e *Entry) balancer(name apfleet.ServiceName) (*serviceBalancer, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	s, ok := e.balancers[name]
	return s, ok
}

// forEachService calls fn for each service, in no particular order.
func (e *Entry) forEachService(fn func(*serviceBalancer)) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.balancers {
		fn(s)
	}
}

// InFlight returns the number of callers' requests that have not been answered yet.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// StopAccepting makes the entry refuse all new requests.
func (e *Entry) StopAccepting() { e.leaving.Store(true) }

// WaitForAttempts blocks until every attempt in progress has ended.
func (e *Entry) WaitForAttempts() error { return e.group.Wait() }

// ServeHTTP serves a caller's request; the first segment of its path names the service.
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
	s, ok := e.balancer(service)
	if !ok {
		e.writeRefusal(w, r, refusal{code: apcode.NoSuchService, detail: "no service is named " + name})
		return
	}
	req, rejected := readRequest(w, r, s.settings(), started)
	if rejected != nil {
		e.writeRefusal(w, r, *rejected)
		return
	}
	e.increment(service, "Requests")
	e.writeReply(w, r, e.serve(r.Context(), s, req))
	metrics.GetOrRegisterTimer("Entry."+name+".Time", e.options.Metrics).UpdateSince(started)
}

// serve forwards a request. If the request is not idempotent and its caller gave it an id, serve first
// claims the id, so that the request runs at most once.
func (e *Entry) serve(ctx context.Context, s *serviceBalancer, req *callerRequest) reply {
	if req.idempotent || !req.callerSetID {
		return e.forward(ctx, s, req, nil)
	}
	result := e.claimer.Claim(ctx, ClaimRequest{
		ID:       claimID(s.name, req.id),
		Deadline: req.deadline,
		Window:   req.settings.ClaimWindow,
	})
	switch claim := result.(type) {
	case Claimed:
		return e.forward(ctx, s, req, claim.Grant)
	case Repeated:
		return recordedResponse(claim.Answer)
	case ClaimRefused:
		return refusal{code: claim.Code, detail: claim.Detail, retryAfter: time.Second}
	default:
		return refusal{code: apcode.ClaimUnavailable, detail: "the claim has a result of an unknown type"}
	}
}

func (e *Entry) increment(service apfleet.ServiceName, name string) {
	metrics.GetOrRegisterCounter("Entry."+string(service)+"."+name, e.options.Metrics).Inc(1)
}

// logDecision logs a routing decision at level info.
func (e *Entry) logDecision(s *serviceBalancer, req *callerRequest, attempt int, decision aproute.Decision) {
	if !e.options.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"Event": "Route", "RequestID": req.id, "Service": s.name, "Attempt": attempt}
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
