//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
	"auburnport/pkg/apstore/memory"
	"auburnport/platform/emulator"
)

// platform is the stand-in for the platform: its store, minions and machine service. The store is that of the project's
// emulator.
type platform struct {
	record *record
	// store is the operator's and the minions' way into the store, storeServer serves the system.
	store       memory.TransactionalStore
	storeServer *apemulator.Store

	mu      sync.Mutex
	minions []*minion
	// jobs holds what requesters have submitted.
	jobs map[string]*job
	// behave tells how a run ends by itself.
	behave func(m *minion, key runKey) behaviour
	// gangs holds the gangs by step and run.
	gangs   map[string]*gang
	active  map[string]map[*minion]int
	done    map[string]time.Time
	servers []*http.Server
	// heldItem is the work item whose next start is left unanswered.
	heldItem string
	// longestLease is HoldMaxMs of the settings.
	longestLease time.Duration
	// calmSince is when the last impairment ended.
	calmSince time.Time
	// created counts the changes that create a job while answers are lost.
	created atomic.Int64
	// losing is true while the store loses answers.
	losing  atomic.Bool
	stopped chan struct{}
	group   sync.WaitGroup
}

func newPlatform(r *record) *platform {
	store := memory.TransactionalStore{Store: memory.New()}
	return &platform{
		record: r, store: store, storeServer: apemulator.NewStore(store), jobs: make(map[string]*job), gangs: make(map[string]*gang),
		active: make(map[string]map[*minion]int), done: make(map[string]time.Time), stopped: make(chan struct{}),
		longestLease: 6 * time.Second,
	}
}

// serve serves a handler on a free loopback port and returns the address.
func (p *platform) serve(handler http.Handler) (string, *http.Server, error) {
	return p.serveAt("127.0.0.1:0", handler)
}

// serveAt serves a handler on an address and returns it.
func (p *platform) serveAt(address string, handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	if m, ok := handler.(*minion); ok {
		server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			p.mu.Lock()
			defer p.mu.Unlock()
			return context.WithValue(ctx, processKey{}, m.process)
		}
	}
	p.servers = append(p.servers, server)
	p.group.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), server, nil
}

// addMinion starts a minion.
func (p *platform) addMinion(service, rack string, labels ...string) (*minion, error) {
	p.mu.Lock()
	n := len(p.minions)
	m := &minion{
		platform: p, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), machine: fmt.Sprintf("m-%05x", 0xa000+n), service: service, labels: append(labels, rack),
		cpu: 16000, mem: 32768, born: time.Now(), running: make(map[runKey]*activeRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	p.minions = append(p.minions, m)
	p.mu.Unlock()
	var err error
	if m.address, m.server, err = p.serve(m); err != nil {
		return nil, err
	}
	p.group.Go(func() { p.register(m) })
	return m, nil
}

type capacityBody struct {
	Cpu, MemMb, Gpu int64 //nolint:revive // The platform's spelling.
}

type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdLeftMs                      int
	Capacity                        capacityBody
	Labels                          []string
	ClockMs                         int64
	Seq                             int
	Born                            int64 `json:"born"`
}

// heartbeat is HeartbeatMs of the settings.
const heartbeat = 1500 * time.Millisecond

// register keeps a minion's entry in the store until it is gone.
func (p *platform) register(m *minion) {
	ctx := context.Background()
	lease, err := p.store.Grant(ctx, 3*heartbeat)
	for err == nil {
		p.mu.Lock()
		gone := m.gone
		m.seq++
		body := registration{
			Service: m.service, Address: m.address, Zone: "zone-a", Version: "v1", Slots: 8, State: "ready",
			Capacity: capacityBody{Cpu: m.cpu, MemMb: m.mem}, Labels: m.labels, ClockMs: m.clock().Milliseconds(), Seq: m.seq, Born: m.born.UnixMilli(),
		}
		p.mu.Unlock()
		if gone {
			return
		}
		data, _ := json.Marshal(body)
		p.record.logf("servers/%s is written with labels %v", m.id, m.labels)
		_, err = p.store.Commit(ctx, apstore.Transaction{Puts: []apstore.Put{{Key: apfleet.Key("servers/" + m.id), Data: data, Lease: lease}}})
		if err == nil {
			err = p.store.Renew(ctx, lease)
		}
		select {
		case <-p.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// moveOn moves the minions' runs on until the platform is closed.
func (p *platform) moveOn() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case now := <-ticker.C:
			p.mu.Lock()
			for _, m := range p.minions {
				m.tick(now)
			}
			p.mu.Unlock()
		}
	}
}

// close ends all servers.
func (p *platform) close() {
	close(p.stopped)
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.group.Wait()
}

// begin notes the start of a run, checks it, and returns it. The mutex is held.
func (p *platform) begin(m *minion, key runKey, body orderBody) *activeRun {
	now := time.Now()
	r := &activeRun{startedAt: now, worksSince: now, ends: p.behave(m, key)}
	id, step, index, err := parseItem(key.item)
	j := p.jobs[id]
	if err != nil || j == nil || step >= len(j.Steps) || index >= j.Steps[step].Count {
		p.record.breachf("UNASKED: %s is started on %s, and no requester sent it", key, m.id)
		return r
	}
	if body.Spec != j.Spec {
		p.record.breachf("UNASKED: %s is started on %s with another Spec", key, m.id)
	}
	if !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > cancelTime && now.Sub(p.calmSince) > contactTime {
		p.record.breachf("UNASKED: %s starts on %s %s after the cancelling of its job was acknowledged", key, m.id, now.Sub(j.cancelledAt).Round(time.Millisecond))
	}
	p.checkPlace(m, key, j.Steps[step], r)
	p.checkOnce(m, key, now)
	return r
}

// checkPlace checks a start against the minion's labels and capacity.
func (p *platform) checkPlace(m *minion, key runKey, s step, r *activeRun) {
	if s.RequiredLabel != "" && !slices.Contains(m.labels, s.RequiredLabel) {
		p.record.breachf("ROUTE: %s starts on %s, which has the labels %v and not %s", key, m.id, m.labels, s.RequiredLabel)
	}
	r.cpu, r.mem = s.Cpu, s.MemMb
	if s.Fills {
		r.cpu = 0
	}
	cpu, mem := r.cpu, r.mem
	for _, other := range m.running {
		cpu, mem = cpu+other.cpu, mem+other.mem
	}
	if cpu > m.cpu || mem > m.mem {
		p.record.breachf("LIMIT: %s brings %s to %d of %d and %d MB of %d MB", key, m.id, cpu, m.cpu, mem, m.mem)
	}
}

// checkOnce checks that nothing of the work item runs or is known to be done, and notes that it runs.
func (p *platform) checkOnce(m *minion, key runKey, now time.Time) {
	if p.active[key.item] == nil {
		p.active[key.item] = make(map[*minion]int)
	}
	for on, run := range p.active[key.item] {
		p.record.breachf("TWICE: %s starts on %s (%s) while run %d is on %s (%s)", key, m.id, m.service, run, on.id, on.service)
	}
	if at, ok := p.done[key.item]; ok {
		p.record.breachf("TWICE: %s starts on %s %s after a done end was taken note of", key, m.id, now.Sub(at).Round(time.Millisecond))
	}
	p.active[key.item][m] = key.run
}

// joinGang adds a run to its gang, if it has one. The gang works once all members are present. The mutex is held.
func (p *platform) joinGang(m *minion, key runKey, r *activeRun) {
	id, step, _, err := parseItem(key.item)
	j := p.jobs[id]
	if err != nil || j == nil || !j.Steps[step].Gang {
		return
	}
	name := fmt.Sprintf("%s/%d", key.step(), key.run)
	g := p.gangs[name]
	if g == nil {
		g = &gang{size: j.Steps[step].Count, members: make(map[runKey]*minion)}
		p.gangs[name] = g
	}
	r.gang, r.worksSince = g, time.Time{}
	g.members[key] = m
	if len(g.members) == g.size {
		for member, on := range g.members {
			on.running[member].worksSince = time.Now()
		}
	}
}

// noteEnd notes the end of a run. The mutex is held.
func (p *platform) noteEnd(m *minion, key runKey, how string) {
	p.record.logf("end %s on %s: %s", key, m.id, how)
	if p.active[key.item][m] == key.run {
		delete(p.active[key.item], m)
	}
	if id, _, _, err := parseItem(key.item); err == nil && p.jobs[id] != nil {
		p.jobs[id].lastEnd[key.item] = time.Now()
		if how == "failed" {
			p.jobs[id].failures[key.item]++
		}
	}
}

// noteAcknowledged notes that an end was taken note of. The mutex is held.
func (p *platform) noteAcknowledged(m *minion, e endedRun) {
	p.record.logf("%s forgets end %d, %s: %s", m.id, e.number, e.key, e.how)
	if e.how == "done" && !p.lasts(e.key) {
		if _, known := p.done[e.key.item]; !known {
			p.done[e.key.item] = time.Now()
		}
	}
}

func (p *platform) lasts(key runKey) bool {
	id, step, _, err := parseItem(key.item)
	return err == nil && p.jobs[id] != nil && p.jobs[id].Steps[step].LongRunning
}

// percent returns the progress of a run. The mutex is held.
func (p *platform) percent(r *activeRun) int {
	switch {
	case r.worksSince.IsZero():
		return 0
	case r.ends.after == 0 && time.Since(r.worksSince) >= startupTime:
		return 100
	case r.ends.after == 0:
		return 50
	default:
		return int(min(99, 100*time.Since(r.worksSince)/r.ends.after))
	}
}

// usage returns the fifth entry of a row: the tail of a work item that serves, or the Cpu in use. The mutex is held.
func (p *platform) usage(key runKey) int64 {
	id, step, _, err := parseItem(key.item)
	if err != nil || p.jobs[id] == nil {
		return 0
	}
	if s := p.jobs[id].Steps[step]; s.TargetMs > 0 {
		return s.TargetMs / 4
	}
	return p.jobs[id].Steps[step].Cpu
}

// runningItems counts the work items of a job that run.
func (p *platform) runningItems(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for item, on := range p.active {
		if job, _, _, err := parseItem(item); err == nil && job == id && len(on) > 0 {
			n++
		}
	}
	return n
}

// isRunning reports whether a work item runs.
func (p *platform) isRunning(item string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active[item]) > 0
}

// failures returns the number of runs of a work item that ended failed.
func (p *platform) failures(id, item string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[id].failures[item]
}

// route is a queue in the configuration.
type route struct {
	Name, Host, Prefix, Kind    string
	TimeoutMs, TargetDurationMs int
	Priority                    int
	Service                     string
	MaxAttempts                 int
	Stretch                     float64
	Advice                      *adviceTiming `json:",omitempty"`
}

// adviceTiming is how long the advisor takes and for how long its tickets are valid.
type adviceTiming struct{ DecideMs, EachMs, ValidMs int }

type service struct {
	Name, HealthPath, Protocol string
	MaxConns                   int
	AdmissionCheck, Spare      bool
}

// mainService is the service of all routes at first.
const mainService = "huvo11a"

func newRoute(name, prefix string, attempts int) route {
	return route{
		Name: name, Host: "pule25.example", Prefix: prefix, Kind: "non_idempotent", TimeoutMs: 3000, TargetDurationMs: 600, Service: mainService,
		MaxAttempts: attempts, Stretch: 1.6,
	}
}

// configure writes a version of the configuration as the operator does.
func (p *platform) configure(version int, services []string, routes ...route) error {
	body := struct {
		Version  int
		Routes   []route
		Services []service
		Limits   map[string]int
	}{Version: version, Routes: routes, Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
	for _, name := range services {
		body.Services = append(body.Services, service{Name: name, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1"})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = p.store.Commit(context.Background(), apstore.Transaction{Puts: []apstore.Put{{Key: "op/config", Data: data}}})
	p.record.logf("op/config confirmed: %s", data)
	return err
}

type machineRow struct {
	Machine, Pool, State, Zone string
	Labels                     []string
	Capacity                   capacityBody
	ID                         string `json:"Id"`
}

// serveMachines serves the list of machines. No case here moves one or has upkeep.
func (p *platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/auburnport/machines" {
		p.record.logf("machine order %s", r.URL.Path)
		writeJSON(w, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []machineRow{}
	for _, m := range p.minions {
		row := machineRow{Machine: m.machine, Pool: m.service, State: "up", Zone: "zone-a", Labels: m.labels, Capacity: capacityBody{Cpu: m.cpu, MemMb: m.mem}, ID: m.id}
		if m.gone {
			continue
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// valueBytes is ValueBytes of the settings.
const valueBytes = 1 << 20

// limitValues refuses the changes that put a value of more than valueBytes.
func (p *platform) limitValues(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/auburnport/kv-txn" {
			store.ServeHTTP(w, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		var body struct {
			Put []struct {
				Key   string
				Value []byte
			}
		}
		if err == nil {
			err = json.Unmarshal(data, &body)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, put := range body.Put {
			if len(put.Value) > valueBytes {
				p.record.logf("the store refuses %s, %d bytes", put.Key, len(put.Value))
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		store.ServeHTTP(w, r)
	})
}

// loseAnswers loses the answer to each third change that creates a job, while p.losing is set, and carries these out lateBy later.
func (p *platform) loseAnswers(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/auburnport/kv-txn" || !p.losing.Load() {
			store.ServeHTTP(w, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		if !bytes.Contains(data, []byte(`/job","Value"`)) || p.created.Add(1)%lostOneIn != 0 {
			store.ServeHTTP(w, r)
			return
		}
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(data))
		time.AfterFunc(lateBy, func() {
			answer := httptest.NewRecorder()
			store.ServeHTTP(answer, late)
			p.record.logf("the store carries out a change %s late: %d", lateBy, answer.Code)
		})
		// The channel returns nothing further.
		<-r.Context().Done()
	})
}

const (
	lostOneIn = 3
	lateBy    = 5500 * time.Millisecond
)

// advisor serves the calls for advice, one at a time. Its policy allows every minion of the queue's service.
type advisor struct {
	platform *platform
	timing   adviceTiming
	mu       sync.Mutex
}

// ServeHTTP answers one call for advice.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if r.URL.Path != "/auburnport/advise" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	time.Sleep(time.Duration(a.timing.DecideMs+a.timing.EachMs*len(body.Workers)) * time.Millisecond)
	a.mu.Unlock()
	good := [][]string{}
	for _, id := range body.Workers {
		good = append(good, []string{id, "c81e-" + body.Step + "-" + id})
	}
	a.platform.record.logf("advice on %s about %v", body.Step, body.Workers)
	writeJSON(w, http.StatusOK, map[string]any{"Good": good, "ValidMs": a.timing.ValidMs})
}

var errNotReady = errors.New("the nodes are not ready")
