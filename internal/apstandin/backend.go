package apstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apfleet"
)

// HTTP headers between callers and the backend servers of the stand-in.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderNotRun marks a response to a request that was refused without being executed.
	HeaderNotRun = "X-Not-Run"
)

// serviceTimeSigma is the standard deviation of the logarithm of the service time.
const serviceTimeSigma = 0.4

// Response is the JSON body of a backend server's response.
type Response struct {
	RequestID string       `json:"RequestID"`
	VM        apfleet.VMID `json:"VM"`
	// BodyChecksum is the CRC-32 (IEEE) checksum of the request body.
	BodyChecksum uint32 `json:"BodySum"`
	// Padding makes the response long enough to be truncated.
	Padding string `json:"Filler"`
}

// backend is the backend server of one VM.
type backend struct {
	options  Options
	id       apfleet.VMID
	recorder *recorder

	mu           sync.Mutex
	random       *rand.Rand
	slots        chan struct{}
	faults       VMFaults
	leavingSince time.Time
	inFlight     int
	listener     net.Listener
	server       *http.Server
	conns        map[*conn]struct{}
	address      netip.AddrPort
}

// VMFaults are the faults to inject into the backend server of one VM.
type VMFaults struct {
	// FailFast responds to every request with status 500, without the service time.
	FailFast bool `cbor:"FailFast"`
	// TruncateResponses closes the connection after half of the response body.
	TruncateResponses bool `cbor:"CutAnswers"`
	// CloseAfterRun executes the request, then closes the connection without a response.
	CloseAfterRun bool `cbor:"CloseAfterRun"`
	// Refuse rejects every request without executing it and sets HeaderNotRun.
	Refuse bool `cbor:"Refuse"`
}

func newBackend(options Options, id apfleet.VMID, index int, rec *recorder) *backend {
	return &backend{
		options:  options,
		id:       id,
		recorder: rec,
		random:   rand.New(rand.NewPCG(options.Seed, uint64(index))),
		slots:    make(chan struct{}, options.Slots),
		conns:    make(map[*conn]struct{}),
	}
}

// start listens and serves. After a restart it listens at the same address as before.
func (b *backend) start(group *errgroup.Group) error {
	listen := "127.0.0.1:0"
	if b.address.IsValid() {
		listen = b.address.String()
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	b.mu.Lock()
	b.address = listener.Addr().(*net.TCPAddr).AddrPort()
	b.listener = listener
	b.server = server
	b.slots = make(chan struct{}, b.options.Slots)
	b.mu.Unlock()
	group.Go(func() error {
		_ = server.Serve(&trackingListener{Listener: listener, backend: b})
		return nil
	})
	return nil
}

// close drops the listener and all connections at once, like a power failure, and returns the number of
// requests that were in flight.
func (b *backend) close() int {
	b.mu.Lock()
	server := b.server
	interrupted := b.inFlight
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	return interrupted
}

// silence makes every open connection permanently unresponsive without closing it. New connections work.
func (b *backend) silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.silent.Store(true)
	}
}

func (b *backend) setFaults(faults VMFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

func (b *backend) setLeaving(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leavingSince = since
}

// ServeHTTP implements http.Handler. It executes one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := b.beginRequest(time.Now())
	defer b.endRequest()
	if faults.Refuse {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	release, ok := b.acquireSlot(r.Context())
	if !ok {
		return
	}
	defer release()
	b.recorder.addRun(Run{RequestID: r.Header.Get(HeaderRequestID), Attempt: r.Header.Get(HeaderAttempt), VM: b.id, Started: time.Now()})
	if faults.FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	b.simulateWork()
	b.writeResponse(w, r, body, faults)
}

// beginRequest counts the request as in flight and returns the faults to apply to it.
func (b *backend) beginRequest(now time.Time) VMFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	if !b.leavingSince.IsZero() && now.Sub(b.leavingSince) > b.options.LeavingGrace {
		b.recorder.countLateArrival()
	}
	return b.faults
}

func (b *backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// acquireSlot waits for a free slot and returns the function that releases it, or false when ctx ends
// first. A request that has to wait counts as over-committed.
func (b *backend) acquireSlot(ctx context.Context) (func(), bool) {
	b.mu.Lock()
	slots := b.slots
	b.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		b.recorder.countOverCommitted()
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// simulateWork sleeps for a log-normally distributed time with the configured mean.
func (b *backend) simulateWork() {
	b.mu.Lock()
	factor := math.Exp(b.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	b.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(b.options.ServiceTime)))
}

func (b *backend) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, faults VMFaults) {
	if faults.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	response := Response{RequestID: r.Header.Get(HeaderRequestID), VM: b.id, BodyChecksum: crc32.ChecksumIEEE(body), Padding: responsePadding}
	data, err := json.Marshal(response)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if faults.TruncateResponses {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

const responsePadding = "................................................................................................................................"
