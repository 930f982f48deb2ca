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
	// HeaderRequestID names a request; a caller that asks again uses the same.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotent is true or false and overrides the service's IdempotentMethods.
	HeaderIdempotent = "X-Idempotent"
	// HeaderTimeout shortens the service's Deadline, as in 1.5s.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderCaller names the caller for fairness; the IP number stands in when it is absent.
	HeaderCaller = "X-Caller"
	// HeaderNotRun is set by a backend server that did not run a request.
	HeaderNotRun = "X-Not-Run"
	// HeaderCode carries the result code of an answer that comes from the entry.
	HeaderCode = "X-Auburnport-Code"
	// HeaderRefusedNotRun is true when the request was refused and not run.
	HeaderRefusedNotRun = "X-Auburnport-Not-Run"
)

const maxRequestIDBytes = 256

// request is a caller's request that has been read whole.
type request struct {
	id string
	// named tells that the caller gave the id.
	named      bool
	caller     string
	idempotent bool
	method     string
	uri        string
	host       string
	header     http.Header
	body       []byte
	deadline   time.Time
	settings   apsettings.Resolved
}

// readRequest reads and checks a request; a refusal tells what is wrong with it.
func readRequest(w http.ResponseWriter, r *http.Request, settings apsettings.Resolved, now time.Time) (*request, *refusal) {
	if r.Method == http.MethodConnect || r.URL.Host != "" || r.Header.Get("Upgrade") != "" {
		return nil, &refusal{code: apcode.BadRequest, detail: "CONNECT, absolute targets and upgrades are not forwarded"}
	}
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(HeaderRequestID)
	if len(id) > maxRequestIDBytes || len(r.Header.Values(HeaderRequestID)) > 1 {
		return nil, &refusal{code: apcode.BadRequest, detail: "X-Request-Id is too long or stands twice"}
	}
	request := &request{
		id:       id,
		named:    id != "",
		caller:   callerOf(r),
		method:   r.Method,
		uri:      r.URL.RequestURI(),
		host:     r.Host,
		header:   forwardedHeader(r),
		settings: settings,
	}
	if !request.named {
		request.id = rand.Text()
	}
	request.header.Set(HeaderRequestID, request.id)
	if bad := request.readLimits(r, now); bad != nil {
		return nil, bad
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(settings.MaxBody)))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	request.body = body
	return request, nil
}

// readLimits reads the headers that change how the request is handled.
func (q *request) readLimits(r *http.Request, now time.Time) *refusal {
	q.idempotent = slices.Contains(q.settings.IdempotentMethods, r.Method)
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return &refusal{code: apcode.BadRequest, detail: "X-Idempotent is neither true nor false"}
		}
		q.idempotent = value
	}
	timeout := q.settings.Deadline
	if text := r.Header.Get(HeaderTimeout); text != "" {
		value, err := time.ParseDuration(text)
		if err != nil || value <= 0 {
			return &refusal{code: apcode.BadRequest, detail: "X-Request-Timeout is not a duration such as 1.5s"}
		}
		timeout = min(timeout, value)
	}
	q.deadline = now.Add(timeout)
	return nil
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &refusal{code: apcode.BodyTooLarge, detail: "the body is over " + strconv.FormatInt(large.Limit, 10) + " bytes"}
	}
	return &refusal{code: apcode.BadRequest, detail: "the body could not be read"}
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

// hopByHop returns the headers that belong to one connection only.
func hopByHop() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// forwardedHeader returns the headers that are passed on to a backend server.
func forwardedHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	dropHopByHop(header)
	header.Del(HeaderIdempotent)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Add("X-Forwarded-For", host)
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "")
	}
	return header
}

func dropHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop() {
		header.Del(name)
	}
}
