package apentry

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
)

// reply is what the caller is sent: a backendResponse or a refusal.
type reply interface{ reply() }

// backendResponse is the response of a backend server. If it is too large to buffer, body holds its
// start and remaining the rest.
type backendResponse struct {
	status    int
	header    http.Header
	body      []byte
	trailer   http.Header
	remaining io.Reader
	// closeRemaining must be called once if remaining is set, with the error that stopped the reading of
	// it, or nil if it was read to its end.
	closeRemaining func(err error)
}

// refusal is an error response that the entry itself generates.
type refusal struct {
	code       apcode.Code
	detail     string
	retryAfter time.Duration
}

func (backendResponse) reply() {}
func (refusal) reply()         {}

// recordedResponse returns the recorded response of an earlier run of the same request.
func recordedResponse(recorded apclaim.Answer) backendResponse {
	header := make(http.Header)
	for _, field := range recorded.Header {
		header.Add(field.Name, field.Value)
	}
	return backendResponse{status: recorded.Status, header: header, body: recorded.Body}
}

// claimAnswer returns the response in the form in which the owners of its claim record it.
func (b backendResponse) claimAnswer() apclaim.Answer {
	recorded := apclaim.Answer{Status: b.status, Body: b.body}
	for name, values := range b.header {
		for _, value := range values {
			recorded.Header = append(recorded.Header, apclaim.HeaderField{Name: name, Value: value})
		}
	}
	return recorded
}

func (e *Entry) writeReply(w http.ResponseWriter, r *http.Request, result reply) {
	switch v := result.(type) {
	case backendResponse:
		e.writeResponse(w, v)
	case refusal:
		e.writeRefusal(w, r, v)
	}
}

// writeResponse forwards a response to the caller. If the remaining body breaks off, it aborts the caller's
// connection, so that the truncated response does not look complete.
func (e *Entry) writeResponse(w http.ResponseWriter, response backendResponse) {
	header := w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if response.remaining == nil {
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
		for name, values := range response.trailer {
			header[http.TrailerPrefix+name] = values
			header.Del("Content-Length")
		}
	}
	w.WriteHeader(response.status)
	_, err := w.Write(response.body)
	if response.remaining == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, response.remaining)
	}
	response.closeRemaining(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) writeRefusal(w http.ResponseWriter, r *http.Request, refused refusal) {
	description := apcode.Describe(refused.code)
	header := w.Header()
	header.Set(HeaderCode, strconv.Itoa(int(refused.code)))
	header.Set(HeaderRefusedNotRun, strconv.FormatBool(description.NotRun))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if description.Status == http.StatusServiceUnavailable {
		seconds := math.Ceil(max(refused.retryAfter, time.Second).Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if e.leaving.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(description.Status)
	_, _ = fmt.Fprintf(w, "%d %s: %s\n%s\n", refused.code, description.Name, refused.detail, description.Action)
	e.logRefusal(r, refused, description)
}

func (e *Entry) logRefusal(r *http.Request, refused refusal, description apcode.Description) {
	if !e.options.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	e.options.Logger.WithFields(logrus.Fields{
		"Event": "Refuse", "RequestID": r.Header.Get(HeaderRequestID), "Path": r.URL.Path, "Code": uint16(refused.code),
		"Reason": description.Name, "NotRun": description.NotRun, "Detail": refused.detail,
	}).Info()
}
