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

// outcome is what a caller is told: answer or refusal.
type outcome interface{ outcome() }

// answer is a backend server's answer. The part that does not fit in body follows in rest.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	rest    io.Reader
	// end is called after rest has been read or given up.
	end func(err error)
}

// refusal is an answer of the entry itself.
type refusal struct {
	code       apcode.Code
	detail     string
	retryAfter time.Duration
}

func (answer) outcome()  {}
func (refusal) outcome() {}

// replay returns the answer of an earlier run.
func replay(kept apclaim.Answer) answer {
	header := make(http.Header)
	for _, field := range kept.Header {
		header.Add(field.Name, field.Value)
	}
	return answer{status: kept.Status, header: header, body: kept.Body}
}

// kept returns the form in which an answer is kept at the owners of its claim.
func (a answer) kept() apclaim.Answer {
	kept := apclaim.Answer{Status: a.status, Body: a.body}
	for name, values := range a.header {
		for _, value := range values {
			kept.Header = append(kept.Header, apclaim.HeaderField{Name: name, Value: value})
		}
	}
	return kept
}

func (e *Entry) write(w http.ResponseWriter, r *http.Request, result outcome) {
	switch o := result.(type) {
	case answer:
		e.writeAnswer(w, o)
	case refusal:
		e.writeRefusal(w, r, o)
	}
}

// writeAnswer passes an answer on. When the rest of it is cut short, the caller's connection is
// aborted, so that the answer does not look whole.
func (e *Entry) writeAnswer(w http.ResponseWriter, a answer) {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if a.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
		for name, values := range a.trailer {
			header[http.TrailerPrefix+name] = values
			header.Del("Content-Length")
		}
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	a.end(err)
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
