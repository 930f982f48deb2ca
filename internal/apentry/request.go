package apentry

import (
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apsettings"
)

// Headers between callers, entries and backend servers.
const (
	// HeaderRequestID is the id of a request; a caller that repeats the request sends the same id.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotent is true or false and overrides the service's IdempotentMethods.
	HeaderIdempotent = "X-Idempotent"
	// HeaderTimeout is a duration such as 1.5s that shortens the service's Deadline.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderCaller names the caller, by which requests are queued fairly; the default is the IP address.
	HeaderCaller = "X-Caller"
	// HeaderNotRun is set to true by a backend server that did not run a request.
	HeaderNotRun = "X-Not-Run"
	// HeaderCode is the result code of a response that the entry itself generated.
	HeaderCode = "X-Auburnport-Code"
	// HeaderRefusedNotRun is true when the request was refused and not run.
	HeaderRefusedNotRun = "X-Auburnport-Not-Run"
)

const maxRequestIDBytes = 256

// callerRequest is a caller's request whose body has been read completely.
type callerRequest struct {
	id string
	// callerSetID is true if the caller sent the id, false if the entry generated it.
	callerSetID bool
	caller      string
	idempotent  bool
	method      string
	uri         string
	host        string
	header      http.Header
	body        []byte
	deadline    time.Time
	settings    apsettings.Resolved
}

// readRequest reads and validates a request. It returns a refusal if the request is invalid.
func readRequest(w http.ResponseWriter, r *http.Request, settings apsettings.Resolved, now time.Time) (*callerRequest, *refusal) {
	if r.Method == http.MethodConnect || r.URL.Host != "" || r.Header.Get("Upgrade") != "" {
		return nil, &refusal{code: apcode.BadRequest, detail: "CONNECT requests, absolute request targets and protocol upgrades are not forwarded"}
	}
	// A request with both Content-Length and Transfer-Encoding may try to smuggle a second one. Closing
	// the connection keeps the bytes that follow from being read as a request. net/http removes
	// Content-Length when Transfer-Encoding is set, so the connection is closed after every such request.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(HeaderRequestID)
	if len(id) > maxRequestIDBytes || len(r.Header.Values(HeaderRequestID)) > 1 {
		return nil, &refusal{code: apcode.BadRequest, detail: "X-Request-Id is longer than 256 bytes or is given more than once"}
	}
	req := &callerRequest{
		id:          id,
		callerSetID: id != "",
		caller:      callerOf(r),
		method:      r.Method,
		uri:         r.URL.RequestURI(),
		host:        r.Host,
		header:      forwardedHeader(r),
		settings:    settings,
	}
	if !req.callerSetID {
		req.id = rand.Text()
	}
	req.header.Set(HeaderRequestID, req.id)
	if rejected := req.readOverrides(r, now); rejected != nil {
		return nil, rejected
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(settings.MaxBody)))
	if err != nil {
		return nil, bodyReadRefusal(err)
	}
	req.body = body
	return req, nil
}

// readOverrides reads the headers by which the request overrides settings of the service.
func (req *callerRequest) readOverrides(r *http.Request, now time.Time) *refusal {
	req.idempotent = slices.Contains(req.settings.IdempotentMethods, r.Method)
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return &refusal{code: apcode.BadRequest, detail: "X-Idempotent is neither true nor false"}
		}
		req.idempotent = value
	}
	timeout := req.settings.Deadline
	if text := r.Header.Get(HeaderTimeout); text != "" {
		value, err := time.ParseDuration(text)
		if err != nil || value <= 0 {
			return &refusal{code: apcode.BadRequest, detail: "X-Request-Timeout is not a duration such as 1.5s"}
		}
		timeout = min(timeout, value)
	}
	req.deadline = now.Add(timeout)
	return nil
}

func bodyReadRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{code: apcode.BodyTooLarge, detail: "the request body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return &refusal{code: apcode.BadRequest, detail: "the request body could not be read"}
}

func callerOf(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// hopByHopHeaders returns the headers that apply to a single connection and must not be forwarded.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// forwardedHeader returns the headers that are forwarded to a backend server.
func forwardedHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del(HeaderIdempotent)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", host)
	}
	// An empty value keeps net/http from adding its own User-Agent.
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "")
	}
	return header
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that the Connection header lists.
func removeHopByHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders() {
		header.Del(name)
	}
}
