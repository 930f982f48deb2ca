package apload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"auburnport/internal/apentry"
	"auburnport/internal/apstandin"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	maxAttempts      = 4
	retryDelay       = 200 * time.Millisecond
	requestBodyBytes = 64
)

// requestSpec holds what a request consists of in all its attempts.
type requestSpec struct {
	id         string
	service    apfleet.ServiceName
	caller     string
	idempotent bool
	body       []byte
	// entries holds the index of the entry for each attempt.
	entries [maxAttempts]int
}

func (l *Load) newRequestSpec(random *rand.Rand, serviceIndex, sequence int) requestSpec {
	spec := requestSpec{
		id:         fmt.Sprintf("%d-%d-%d", l.options.Seed, serviceIndex, sequence),
		service:    l.options.Services[serviceIndex],
		caller:     fmt.Sprintf("caller-%d", random.IntN(max(l.options.Callers, 1))),
		idempotent: random.Float64() >= l.options.NonIdempotentShare,
		body:       make([]byte, requestBodyBytes),
	}
	for i := range spec.body {
		spec.body[i] = byte(random.UintN(256))
	}
	for i := range spec.entries {
		spec.entries[i] = random.IntN(len(l.options.Entries))
	}
	return spec
}

// attempt is the outcome of sending a request to an entry once.
type attempt struct {
	number string
	// code is OK when the response comes from a backend server.
	code apcode.Code
	// transportFailed is set when no complete response was received.
	transportFailed bool
	notRun          bool
	status          int
	vm              apfleet.VMID
	// invalidReason says why a complete response is wrong; it is empty when the response is right.
	invalidReason string
}

// requestRecord is a request with all its attempts.
type requestRecord struct {
	spec     requestSpec
	attempts []attempt
	elapsed  time.Duration
	// refusedAfter is the time from the first attempt to the first refusal.
	refusedAfter time.Duration
}

// sendWithRetries sends a request, and retries it with the same ID while its outcome is unknown.
func (l *Load) sendWithRetries(ctx context.Context, spec requestSpec) {
	r := &requestRecord{spec: spec}
	started := time.Now()
	for n := range maxAttempts {
		a := l.send(ctx, spec, n)
		r.attempts = append(r.attempts, a)
		if a.notRun && r.refusedAfter == 0 {
			r.refusedAfter = time.Since(started)
		}
		if !shouldRetry(a) {
			break
		}
		time.Sleep(retryDelay)
	}
	r.elapsed = time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.stats.add(r)
}

// shouldRetry reports whether the outcome of an attempt is unknown or temporary, so that the caller
// sends the request again with the same ID.
func shouldRetry(a attempt) bool {
	switch a.code {
	case apcode.ClaimInFlight, apcode.OutcomeUnknown, apcode.AnswerTimeout, apcode.AnswerCutShort, apcode.Leaving, apcode.ClaimUnavailable:
		return true
	default:
		return a.transportFailed
	}
}

func (l *Load) send(ctx context.Context, spec requestSpec, n int) attempt {
	a := attempt{number: strconv.Itoa(n)}
	address := l.options.Entries[spec.entries[n]]
	method := http.MethodPost
	if spec.idempotent {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+"/"+string(spec.service)+"/item", bytes.NewReader(spec.body))
	if err != nil {
		a.invalidReason = err.Error()
		return a
	}
	request.Header.Set(apentry.HeaderRequestID, spec.id)
	request.Header.Set(apentry.HeaderCaller, spec.caller)
	request.Header.Set(apentry.HeaderIdempotent, strconv.FormatBool(spec.idempotent))
	request.Header.Set(apstandin.HeaderAttempt, a.number)
	response, err := l.client.Do(request)
	if err != nil {
		a.transportFailed = true
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.transportFailed = true
		return a
	}
	a.parseResponse(spec, response, data)
	return a
}

// parseResponse records a complete response and checks that it belongs to the request.
func (a *attempt) parseResponse(spec requestSpec, response *http.Response, data []byte) {
	a.status = response.StatusCode
	if text := response.Header.Get(apentry.HeaderCode); text != "" {
		number, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			a.invalidReason = "invalid result code " + text
		}
		a.code = apcode.Code(number)
		a.notRun = response.Header.Get(apentry.HeaderRefusedNotRun) == "true"
		return
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	var body apstandin.Response
	switch err := json.Unmarshal(data, &body); {
	case err != nil:
		a.invalidReason = "the response body is not complete, valid JSON"
	case body.RequestID != spec.id:
		a.invalidReason = "the response belongs to request " + body.RequestID
	case body.BodyChecksum != crc32.ChecksumIEEE(spec.body):
		a.invalidReason = "the backend server received a different request body"
	default:
		a.vm = body.VM
	}
}
