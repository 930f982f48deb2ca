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

// Headers that callers and backend servers of the stand-in use.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	HeaderNotRun    = "X-Not-Run"
)

const serviceTimeSigma = 0.4

// Answer is the body of a backend server's answer.
type Answer struct {
	RequestID string       `json:"RequestID"`
	VM        apfleet.VMID `json:"VM"`
	// BodySum is the checksum of the request's body.
	BodySum uint32 `json:"BodySum"`
	// Filler makes the answer long enough to be cut.
	Filler string `json:"Filler"`
}

// backend is the server of one VM.
type backend struct {
	options Options
	id      apfleet.VMID
	record  *recorder

	mu       sync.Mutex
	random   *rand.Rand
	slots    chan struct{}
	faults   Faults
	leaving  time.Time
	inFlight int
	listener net.Listener
	server   *http.Server
	conns    map[*conn]struct{}
	address  netip.AddrPort
}

// Faults are the faults of one VM.
type Faults struct {
	// FailFast answers every request with status 500 at once.
	FailFast bool `cbor:"FailFast"`
	// CutAnswers ends every answer half way.
	CutAnswers bool `cbor:"CutAnswers"`
	// CloseAfterRun runs the request and closes the connection without an answer.
	CloseAfterRun bool `cbor:"CloseAfterRun"`
	// Refuse answers every request as not run.
	Refuse bool `cbor:"Refuse"`
}

func newBackend(options Options, id apfleet.VMID, index int, record *recorder) *backend {
	return &backend{
		options: options,
		id:      id,
		record:  record,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(index))),
		slots:   make(chan struct{}, options.Slots),
		conns:   make(map[*conn]struct{}),
	}
}

// open starts to listen, at the address of the time before when there was one.
func (b *backend) open(group *errgroup.Group) error {
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

// close stops at once, as a machine that loses power does, and returns the requests that were cut.
func (b *backend) close() int {
	b.mu.Lock()
	server := b.server
	cut := b.inFlight
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	return cut
}

// silence makes every open connection go silent for good; new ones work.
func (b *backend) silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.silent.Store(true)
	}
}

func (b *backend) setFaults(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

func (b *backend) setLeaving(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = since
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := b.arrive(time.Now())
	defer b.depart()
	if faults.Refuse {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	release, ok := b.takeSlot(r.Context())
	if !ok {
		return
	}
	defer release()
	b.record.run(Run{RequestID: r.Header.Get(HeaderRequestID), Attempt: r.Header.Get(HeaderAttempt), VM: b.id, Started: time.Now()})
	if faults.FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	b.work()
	b.answer(w, r, body, faults)
}

func (b *backend) arrive(now time.Time) Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	if !b.leaving.IsZero() && now.Sub(b.leaving) > b.options.LeavingGrace {
		b.record.lateArrival()
	}
	return b.faults
}

func (b *backend) depart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *backend) takeSlot(ctx context.Context) (func(), bool) {
	b.mu.Lock()
	slots := b.slots
	b.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		b.record.overCommitted()
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// work takes a time from a log-normal distribution with the configured mean.
func (b *backend) work() {
	b.mu.Lock()
	factor := math.Exp(b.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	b.mu.Unlock()
	time.Sleep(time.Duration(factor * float64(b.options.ServiceTime)))
}

func (b *backend) answer(w http.ResponseWriter, r *http.Request, body []byte, faults Faults) {
	if faults.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	answer := Answer{RequestID: r.Header.Get(HeaderRequestID), VM: b.id, BodySum: crc32.ChecksumIEEE(body), Filler: filler}
	data, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if faults.CutAnswers {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

const filler = "................................................................................................................................"
