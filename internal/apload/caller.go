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
	maxAsks      = 4
	askAgainWait = 200 * time.Millisecond
	bodyBytes    = 64
)

// call is a request before it is sent.
type call struct {
	id         string
	service    apfleet.ServiceName
	caller     string
	idempotent bool
	body       []byte
	// entries holds the entry that each ask takes.
	entries [maxAsks]int
}

func (l *Load) newCall(random *rand.Rand, index, sequence int) call {
	c := call{
		id:         fmt.Sprintf("%d-%d-%d", l.options.Seed, index, sequence),
		service:    l.options.Services[index],
		caller:     fmt.Sprintf("caller-%d", random.IntN(max(l.options.Callers, 1))),
		idempotent: random.Float64() >= l.options.NonIdempotent,
		body:       make([]byte, bodyBytes),
	}
	for i := range c.body {
		c.body[i] = byte(random.UintN(256))
	}
	for i := range c.entries {
		c.entries[i] = random.IntN(len(l.options.Entries))
	}
	return c
}

// ask is one exchange of a caller with an entry.
type ask struct {
	attempt string
	// code is OK for a backend server's answer; unknown tells that the connection failed.
	code    apcode.Code
	unknown bool
	notRun  bool
	status  int
	vm      apfleet.VMID
	// broken says what is wrong with an answer that looks whole.
	broken string
}

// record is a request with all its asks.
type record struct {
	call    call
	asks    []ask
	elapsed time.Duration
	// refusedAfter is the time until the first refusal.
	refusedAfter time.Duration
}

// perform sends a request, and asks again with the same id while its outcome is unknown.
func (l *Load) perform(ctx context.Context, c call) {
	r := &record{call: c}
	started := time.Now()
	for n := range maxAsks {
		a := l.ask(ctx, c, n)
		r.asks = append(r.asks, a)
		if a.notRun && r.refusedAfter == 0 {
			r.refusedAfter = time.Since(started)
		}
		if !again(a) {
			break
		}
		time.Sleep(askAgainWait)
	}
	r.elapsed = time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	l.result.add(r)
}

// again reports whether the caller asks once more with the same id.
func again(a ask) bool {
	switch a.code {
	case apcode.ClaimInFlight, apcode.OutcomeUnknown, apcode.AnswerTimeout, apcode.AnswerCutShort, apcode.Leaving, apcode.ClaimUnavailable:
		return true
	default:
		return a.unknown
	}
}

func (l *Load) ask(ctx context.Context, c call, n int) ask {
	a := ask{attempt: strconv.Itoa(n)}
	address := l.options.Entries[c.entries[n]]
	method := http.MethodPost
	if c.idempotent {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+"/"+string(c.service)+"/item", bytes.NewReader(c.body))
	if err != nil {
		a.broken = err.Error()
		return a
	}
	request.Header.Set(apentry.HeaderRequestID, c.id)
	request.Header.Set(apentry.HeaderCaller, c.caller)
	request.Header.Set(apentry.HeaderIdempotent, strconv.FormatBool(c.idempotent))
	request.Header.Set(apstandin.HeaderAttempt, a.attempt)
	response, err := l.client.Do(request)
	if err != nil {
		a.unknown = true
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.unknown = true
		return a
	}
	a.read(c, response, data)
	return a
}

// read checks an answer that looks whole.
func (a *ask) read(c call, response *http.Response, data []byte) {
	a.status = response.StatusCode
	if text := response.Header.Get(apentry.HeaderCode); text != "" {
		number, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			a.broken = "code " + text
		}
		a.code = apcode.Code(number)
		a.notRun = response.Header.Get(apentry.HeaderRefusedNotRun) == "true"
		return
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	var answer apstandin.Response
	switch err := json.Unmarshal(data, &answer); {
	case err != nil:
		a.broken = "the answer is not whole"
	case answer.RequestID != c.id:
		a.broken = "the answer belongs to " + answer.RequestID
	case answer.BodyChecksum != crc32.ChecksumIEEE(c.body):
		a.broken = "the backend server saw another body"
	default:
		a.vm = answer.VM
	}
}
