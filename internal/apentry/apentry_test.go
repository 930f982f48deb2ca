package apentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburnport/internal/apentry"
	"auburnport/pkg/apclaim"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/aproute"
	"auburnport/pkg/apsettings"
)

// exchange is what a scripted instance does with the nth request that it reads.
type exchange func(conn net.Conn, request *http.Request, n int) (keep bool)

// instance is a backend server that records requests and answers by script.
type instance struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func startInstance(t *testing.T, act exchange) *instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	i := &instance{listener: listener}
	var wait sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		wait.Wait()
	})
	wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wait.Go(func() { i.serve(conn, act) })
		}
	})
	return i
}

func (i *instance) serve(conn net.Conn, act exchange) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		i.mu.Lock()
		i.requests = append(i.requests, request)
		i.bodies = append(i.bodies, string(body))
		n := len(i.requests)
		i.mu.Unlock()
		if !act(conn, request, n) {
			return
		}
	}
}

func (i *instance) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.requests)
}

func (i *instance) route(id string) aproute.Instance {
	return aproute.Instance{ID: apfleet.VMID(id), Address: i.listener.Addr().(*net.TCPAddr).AddrPort()}
}

// respond writes a whole answer.
func respond(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

func answerOK(conn net.Conn, _ *http.Request, _ int) bool { return respond(conn, 200, "", "whole") }

// grants is a claimer that grants everything and counts what became of the grants.
type grants struct {
	mu                  sync.Mutex
	completed, released int
}

func (g *grants) Claim(context.Context, apentry.ClaimRequest) apentry.ClaimResult {
	return apentry.Claimed{Grant: g}
}

func (g *grants) Complete(apclaim.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completed++
}

func (g *grants) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released++
}

type fixture struct {
	entry  *apentry.Entry
	server *httptest.Server
	grants *grants
}

func startEntry(t *testing.T, change func(*apsettings.Resolved), instances ...aproute.Instance) *fixture {
	t.Helper()
	f := &fixture{grants: &grants{}}
	f.entry = apentry.New(f.grants)
	settings := apsettings.Defaults()
	settings.IdempotentMethods = []string{http.MethodGet}
	settings.ConnectionFresh = 200 * time.Millisecond
	if change != nil {
		change(&settings)
	}
	f.entry.SetFleet(apentry.Fleet{Members: 1, Services: []apentry.Service{{Name: "search", Settings: settings, Instances: instances}}})
	f.server = httptest.NewServer(f.entry)
	t.Cleanup(func() {
		f.server.Close()
		assert.NilError(t, f.entry.Wait())
	})
	return f
}

// send sends a request and returns the status, the header and the body.
func (f *fixture) send(t *testing.T, method, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, f.server.URL+"/search/item", strings.NewReader(body))
	assert.NilError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.server.Client().Do(request)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response, string(data)
}

func TestNonIdempotentIsNotResentOnReusedConnection(t *testing.T) {
	dieOnSecond := func(conn net.Conn, _ *http.Request, n int) bool {
		return n == 1 && respond(conn, 200, "", "first")
	}
	cases := []struct {
		name, method, body string
		header             map[string]string
	}{
		{"IdempotencyKey", http.MethodPost, "x", map[string]string{"Idempotency-Key": "k"}},
		{"XIdempotencyKey", http.MethodPost, "", map[string]string{"X-Idempotency-Key": "k"}},
		{"EmptyBody", http.MethodPost, "", nil},
		{"GetMarkedNonIdempotent", http.MethodGet, "", map[string]string{apentry.HeaderIdempotent: "false"}},
		{"DeleteEmptyBody", http.MethodDelete, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := startInstance(t, dieOnSecond)
			f := startEntry(t, nil, i.route("vm-1"))
			header := map[string]string{apentry.HeaderRequestID: "first"}
			for name, value := range c.header {
				header[name] = value
			}
			response, body := f.send(t, c.method, c.body, header)
			assert.Equal(t, response.StatusCode, 200)
			assert.Equal(t, body, "first")
			header[apentry.HeaderRequestID] = "second"
			response, _ = f.send(t, c.method, c.body, header)
			assert.Equal(t, response.Header.Get(apentry.HeaderCode), "1030")
			assert.Equal(t, response.Header.Get(apentry.HeaderRefusedNotRun), "false")
			assert.Equal(t, i.count(), 2)
			assert.Equal(t, f.grants.completed, 1)
			assert.Equal(t, f.grants.released, 0)
		})
	}
}

func TestIdempotentIsRetriedOnAnotherInstance(t *testing.T) {
	dying := startInstance(t, func(net.Conn, *http.Request, int) bool { return false })
	whole := startInstance(t, answerOK)
	f := startEntry(t, nil, dying.route("vm-1"), whole.route("vm-2"))
	for range 6 {
		response, body := f.send(t, http.MethodGet, "", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "whole")
	}
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	cut := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		return false
	})
	f := startEntry(t, nil, cut.route("vm-1"))
	response, _ := f.send(t, http.MethodPost, "x", nil)
	assert.Equal(t, response.StatusCode, 502)
	assert.Equal(t, response.Header.Get(apentry.HeaderCode), "1032")
	assert.Equal(t, cut.count(), 1)
}

func TestLargeCutAnswerAbortsTheConnection(t *testing.T) {
	const declared = 3 << 20
	cut := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", declared)
		_, _ = conn.Write(make([]byte, declared/2))
		return false
	})
	f := startEntry(t, nil, cut.route("vm-1"))
	response, err := f.server.Client().Post(f.server.URL+"/search/item", "text/plain", strings.NewReader("x"))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "a cut answer was read to its end")
}

func TestRefusedAsNotRunDidNotRun(t *testing.T) {
	refusing := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		return respond(conn, 503, "X-Not-Run: true\r\n", "busy")
	})
	f := startEntry(t, func(s *apsettings.Resolved) { s.MaxAttempts = 2 }, refusing.route("vm-1"))
	response, _ := f.send(t, http.MethodPost, "x", map[string]string{apentry.HeaderRequestID: "a"})
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get(apentry.HeaderRefusedNotRun), "true")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, f.grants.released, 1)
}

func TestUnreachableInstanceMeansNotRun(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := gone.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, gone.Close())
	f := startEntry(t, nil, aproute.Instance{ID: "vm-1", Address: address})
	response, _ := f.send(t, http.MethodPost, "x", map[string]string{apentry.HeaderRequestID: "a"})
	assert.Equal(t, response.Header.Get(apentry.HeaderCode), "1017")
	assert.Equal(t, f.grants.released, 1)
}

func TestSilentConnectionCostsIdempotentABoundedDelayOnly(t *testing.T) {
	release := make(chan struct{})
	silent := startInstance(t, func(net.Conn, *http.Request, int) bool {
		<-release
		return false
	})
	whole := startInstance(t, answerOK)
	f := startEntry(t, func(s *apsettings.Resolved) {
		s.AttemptTimeout = 50 * time.Millisecond
		s.Linger = 50 * time.Millisecond
	}, silent.route("vm-1"), whole.route("vm-2"))
	t.Cleanup(func() { close(release) })
	for range 4 {
		response, body := f.send(t, http.MethodGet, "", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "whole")
	}
}

func TestSlotIsHeldUntilTheInstanceHasEnded(t *testing.T) {
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	slow := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		<-release
		return respond(conn, 200, "", "late")
	})
	t.Cleanup(finish)
	f := startEntry(t, func(s *apsettings.Resolved) {
		s.Deadline = 50 * time.Millisecond
		s.Linger = time.Minute
	}, slow.route("vm-1"))
	response, _ := f.send(t, http.MethodPost, "x", map[string]string{apentry.HeaderRequestID: "a"})
	assert.Equal(t, response.Header.Get(apentry.HeaderCode), "1031")
	assert.Equal(t, f.entry.InFlightTo("vm-1"), 1)
	finish()
	assert.NilError(t, f.entry.Wait())
	assert.Equal(t, f.entry.InFlightTo("vm-1"), 0)
	assert.Equal(t, f.grants.completed, 1)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	i := startInstance(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		return respond(conn, 200, "Connection: X-Back\r\nX-Back: 1\r\nX-Kept: 1\r\n", "whole")
	})
	f := startEntry(t, nil, i.route("vm-1"))
	response, _ := f.send(t, http.MethodGet, "", map[string]string{"Connection": "X-Secret", "X-Secret": "1", "X-Kept": "1", "Te": "trailers"})
	assert.Equal(t, response.Header.Get("X-Back"), "")
	assert.Equal(t, response.Header.Get("X-Kept"), "1")
	got := i.requests[0].Header
	assert.Equal(t, got.Get("X-Secret"), "")
	assert.Equal(t, got.Get("Te"), "")
	assert.Equal(t, got.Get("X-Kept"), "1")
}

func TestBadRequestsAreRefusedWithACode(t *testing.T) {
	i := startInstance(t, answerOK)
	f := startEntry(t, func(s *apsettings.Resolved) { s.MaxBody = 16 }, i.route("vm-1"))
	cases := []struct {
		name, raw, want string
	}{
		{"UnknownService", "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", "1001"},
		{"Connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "1001"},
		{"AbsoluteTarget", "GET http://b/search HTTP/1.1\r\nHost: b\r\n\r\n", "1002"},
		{"Upgrade", "GET /search HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "1002"},
		{"BodyTooLarge", "POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: 17\r\n\r\n12345678901234567", "1003"},
		{"BadIdempotent", "GET /search HTTP/1.1\r\nHost: a\r\nX-Idempotent: perhaps\r\n\r\n", "1002"},
		{"BadTimeout", "GET /search HTTP/1.1\r\nHost: a\r\nX-Request-Timeout: soon\r\n\r\n", "1002"},
		{"TwoRequestIDs", "GET /search HTTP/1.1\r\nHost: a\r\nX-Request-Id: a\r\nX-Request-Id: b\r\n\r\n", "1002"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := f.raw(t, c.raw)
			assert.Equal(t, response.Header.Get(apentry.HeaderCode), c.want)
			assert.Equal(t, response.Header.Get(apentry.HeaderRefusedNotRun), "true")
		})
	}
	assert.Equal(t, i.count(), 0)
}

// TestBothLengthsCannotSmuggle sends a request with both lengths: it is forwarded with one length, and
// the caller's connection is closed, so that what follows is not taken for another request.
func TestBothLengthsCannotSmuggle(t *testing.T) {
	i := startInstance(t, answerOK)
	f := startEntry(t, nil, i.route("vm-1"))
	response := f.raw(t, "POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /search/smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.Equal(t, response.StatusCode, 200)
	assert.Assert(t, response.Close)
	assert.Equal(t, i.count(), 1)
	assert.Equal(t, i.bodies[0], "abc")
	assert.Equal(t, i.requests[0].ContentLength, int64(3))
	differing := f.raw(t, "POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
	assert.Equal(t, differing.StatusCode, 400)
	assert.Equal(t, i.count(), 1)
}

// raw sends bytes and reads one answer.
func (f *fixture) raw(t *testing.T, text string) *http.Response {
	t.Helper()
	address := netip.MustParseAddrPort(f.server.Listener.Addr().String())
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, _ = io.ReadAll(response.Body)
	return response
}

func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	leaving := startInstance(t, answerOK)
	staying := startInstance(t, answerOK)
	gone := leaving.route("vm-1")
	gone.Leaving = true
	f := startEntry(t, nil, gone, staying.route("vm-2"))
	for range 20 {
		response, _ := f.send(t, http.MethodGet, "", nil)
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Equal(t, leaving.count(), 0)
	f.entry.Leave()
	response, _ := f.send(t, http.MethodGet, "", nil)
	assert.Equal(t, response.Header.Get(apentry.HeaderCode), "1013")
}
