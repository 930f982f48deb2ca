package apentry

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
)

const (
	dialTimeout      = time.Second
	maxBufferedBytes = 1 << 20
	// downAfter is the number of failed dials in a row after which an instance counts as down.
	downAfter = 2
)

// errConnectionCap is returned when all connections to an instance are in use.
var errConnectionCap = errors.New("all connections to the instance are in use")

// backendTable holds the connections to all instances.
type backendTable struct {
	mu   sync.Mutex
	rows map[apfleet.VMID]*backend
}

func newBackendTable() *backendTable { return &backendTable{rows: make(map[apfleet.VMID]*backend)} }

// get returns the connections to an instance, new ones when its address has changed.
func (t *backendTable) get(id apfleet.VMID, address netip.AddrPort, connCap int, fresh time.Duration) *backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.rows[id]
	if !ok || b.address != address || b.fresh != fresh {
		if ok {
			b.transport.CloseIdleConnections()
		}
		b = newBackend(id, address, fresh)
		t.rows[id] = b
	}
	if previous := b.connCap.Swap(int64(connCap)); previous > int64(connCap) {
		b.transport.CloseIdleConnections()
	}
	return b
}

// suspect closes the idle connections to an instance after one of them was silent.
func (t *backendTable) suspect(id apfleet.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.rows[id]; ok {
		b.transport.CloseIdleConnections()
	}
}

func (t *backendTable) drop(id apfleet.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.rows[id]; ok {
		b.transport.CloseIdleConnections()
		delete(t.rows, id)
	}
}

// down returns the instances whose last dials failed.
func (t *backendTable) down() []apfleet.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []apfleet.VMID
	for id, b := range t.rows {
		if b.failedDials.Load() >= downAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *backendTable) jitter(n int64) int64 {
	if n <= 0 {
		return 0
	}
	return rand.Int64N(n)
}

// backend holds the connections to one instance.
type backend struct {
	id          apfleet.VMID
	address     netip.AddrPort
	fresh       time.Duration
	transport   *http.Transport
	connCap     atomic.Int64
	open        atomic.Int64
	failedDials atomic.Int64
}

func newBackend(id apfleet.VMID, address netip.AddrPort, fresh time.Duration) *backend {
	b := &backend{id: id, address: address, fresh: fresh}
	b.transport = &http.Transport{
		DialContext:            b.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1024,
		IdleConnTimeout:        fresh,
		ExpectContinueTimeout:  0,
		MaxResponseHeaderBytes: 1 << 20,
	}
	return b
}

// dial opens a connection unless that would exceed the cap.
func (b *backend) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if b.open.Add(1) > b.connCap.Load() {
		b.open.Add(-1)
		return nil, errConnectionCap
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, network, b.address.String())
	if err != nil {
		b.open.Add(-1)
		b.failedDials.Add(1)
		return nil, err
	}
	b.failedDials.Store(0)
	return &countedConn{Conn: inner, backend: b}, nil
}

// countedConn counts the bytes written, to tell whether a request was sent in part.
type countedConn struct {
	net.Conn
	backend *backend
	written atomic.Int64
	closed  atomic.Bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.backend.open.Add(-1)
	}
	return c.Conn.Close()
}

// exchangeResult is the result of an exchange with its meaning for the instance's health.
type exchangeResult struct {
	result  attemptResult
	outcome aproute.Outcome
}

// unreplayable is a body that net/http cannot send a second time by itself.
type unreplayable struct{ io.Reader }

// Close implements io.Closer.
func (unreplayable) Close() error { return nil }

// sent tells whether any byte of the request may have reached the instance.
type sent struct {
	conn   *countedConn
	before int64
}

func (s *sent) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countedConn); ok {
			s.conn = conn
			s.before = conn.written.Load()
		}
	}}
}

func (s *sent) any() bool { return s.conn != nil && s.conn.written.Load() > s.before }

// exchange sends a request and reads the answer, up to maxBufferedBytes of it.
func (b *backend) exchange(ctx context.Context, q *request) exchangeResult {
	var sent sent
	response, err := b.transport.RoundTrip(b.outgoing(httptrace.WithClientTrace(ctx, sent.trace()), q))
	if err != nil {
		return b.failure(ctx, &sent, err)
	}
	if response.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
		_ = response.Body.Close()
		return exchangeResult{result: notRun{detail: "the backend server did not run it"}, outcome: aproute.Refused}
	}
	return readAnswer(ctx, response)
}

// outgoing returns the request for the instance. Its body has no GetBody and is never http.NoBody, so
// that net/http does not send it again on another connection.
func (b *backend) outgoing(ctx context.Context, q *request) *http.Request {
	target, err := url.ParseRequestURI(q.uri)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme = "http"
	target.Host = b.address.String()
	outgoing := &http.Request{
		Method:        q.method,
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        q.header.Clone(),
		Host:          q.host,
		Body:          unreplayable{bytes.NewReader(q.body)},
		ContentLength: int64(len(q.body)),
	}
	return outgoing.WithContext(ctx)
}

// failure tells what an error means for the request and for the instance.
func (b *backend) failure(ctx context.Context, sent *sent, err error) exchangeResult {
	if errors.Is(err, errConnectionCap) {
		return exchangeResult{result: notRun{detail: err.Error()}, outcome: aproute.Refused}
	}
	if !sent.any() {
		return exchangeResult{result: notRun{detail: err.Error()}, outcome: aproute.Failed}
	}
	if ctx.Err() != nil {
		return exchangeResult{result: unknown{code: apcode.AnswerTimeout, detail: "no answer in time"}, outcome: aproute.Failed}
	}
	return exchangeResult{result: unknown{code: apcode.OutcomeUnknown, detail: err.Error()}, outcome: aproute.Failed}
}

// readAnswer reads the answer whole when it is small.
func readAnswer(ctx context.Context, response *http.Response) exchangeResult {
	header := response.Header
	dropHopByHop(header)
	result := answer{status: response.StatusCode, header: header}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	result.body = body
	if err != nil {
		_ = response.Body.Close()
		return cutShort(ctx, err)
	}
	if len(body) == maxBufferedBytes {
		result.rest = response.Body
		result.end = func(error) { _ = response.Body.Close() }
		return exchangeResult{result: answered{answer: result}, outcome: aproute.Succeeded}
	}
	_ = response.Body.Close()
	result.trailer = response.Trailer
	outcome := aproute.Succeeded
	if response.StatusCode >= 500 {
		outcome = aproute.Failed
	}
	return exchangeResult{result: answered{answer: result}, outcome: outcome}
}

func cutShort(ctx context.Context, err error) exchangeResult {
	code := apcode.AnswerCutShort
	if ctx.Err() != nil {
		code = apcode.AnswerTimeout
	}
	return exchangeResult{result: unknown{code: code, detail: err.Error()}, outcome: aproute.Failed}
}

func statusText(status int) string { return strconv.Itoa(status) }
