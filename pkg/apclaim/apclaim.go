// Package apclaim makes requests run at most once across entries: the id of a non-idempotent
// request is claimed at a majority of the three entries that own it by rendezvous hash. It has no
// sockets and no clock of its own.
package apclaim

import (
	"time"

	"auburnport/pkg/apcode"
)

// Claims is the table of an owner.
type Claims interface {
	// Claim grants an id once within the window.
	Claim(now time.Time, request Request) Verdict
	// Complete records the answer of a granted request.
	Complete(now time.Time, id ID, token Token, answer Answer)
	// Release forgets a granted request that did not run.
	Release(id ID, token Token)
}

// ID is a request id within its service.
type ID string

// Token names one claimant, so that it may repeat its own request.
type Token string

// Request asks for an id.
type Request struct {
	// ID is never empty.
	ID ID `cbor:"ID"`
	// Token is never empty.
	Token Token `cbor:"Token"`
	// Window is how long the id is remembered; it is positive.
	Window time.Duration `cbor:"Window"`
}

// Check returns BadMessage when a field is missing or out of range.
func (r Request) Check() error {
	if r.ID == "" || r.Token == "" || r.Window <= 0 {
		return apcode.Errorf(apcode.BadMessage, "claim without an id, a token or a window")
	}
	return nil
}

// HeaderField is one header of an answer.
type HeaderField struct {
	Name  string `cbor:"Name"`
	Value string `cbor:"Value"`
}

// Answer is what a caller was answered.
type Answer struct {
	Status int           `cbor:"Status"`
	Header []HeaderField `cbor:"Header"`
	// Body is empty when the answer is too large to keep; Kept is false then.
	Body []byte `cbor:"Body"`
	Kept bool   `cbor:"Kept"`
}

// Verdict is an owner's reply to a claim: Granted, InFlight, Answered or Spent.
type Verdict interface{ verdict() }

// Granted gives the id to the claimant.
type Granted struct{}

// InFlight tells that another claimant holds the id and its answer is not known.
type InFlight struct{}

// Answered gives the answer that was given before.
type Answered struct{ Answer Answer }

// Spent tells that the request ran before and its answer is not kept.
type Spent struct{}

func (Granted) verdict()  {}
func (InFlight) verdict() {}
func (Answered) verdict() {}
func (Spent) verdict()    {}

// Record is a row of an owner's table, also as it is handed over.
type Record struct {
	ID     ID     `cbor:"ID"`
	Token  Token  `cbor:"Token"`
	Done   bool   `cbor:"Done"`
	Answer Answer `cbor:"Answer"`
	// Expires is when the row is forgotten.
	Expires time.Time `cbor:"Expires"`
}

// Table implements Claims in memory. The zero value is not usable; use New.
type Table struct {
	options Options
	rows    map[ID]*Record
	// order holds the ids by time of insertion for expiry.
	order     []ID
	keptBytes int
}

// New returns an empty table.
func New(opts ...Option) *Table {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Table{options: options, rows: make(map[ID]*Record)}
}

// Len returns the number of remembered ids.
func (t *Table) Len() int { return len(t.rows) }

// Claim implements Claims.
func (t *Table) Claim(now time.Time, request Request) Verdict {
	t.expire(now)
	found, ok := t.rows[request.ID]
	if !ok {
		t.insert(Record{ID: request.ID, Token: request.Token, Expires: now.Add(request.Window)})
		return Granted{}
	}
	switch {
	case found.Done && found.Answer.Kept:
		return Answered{Answer: found.Answer}
	case found.Done:
		return Spent{}
	case found.Token == request.Token:
		return Granted{}
	default:
		return InFlight{}
	}
}

// Complete implements Claims.
func (t *Table) Complete(now time.Time, id ID, token Token, answer Answer) {
	t.expire(now)
	found, ok := t.rows[id]
	if !ok || found.Token != token || found.Done {
		return
	}
	found.Done = true
	found.Answer = t.keep(answer)
}

// keep drops the body of an answer that does not fit.
func (t *Table) keep(answer Answer) Answer {
	if len(answer.Body) > t.options.MaxAnswerBytes || t.keptBytes+len(answer.Body) > t.options.MaxKeptBytes {
		return Answer{Status: answer.Status}
	}
	t.keptBytes += len(answer.Body)
	answer.Kept = true
	return answer
}

// Release implements Claims.
func (t *Table) Release(id ID, token Token) {
	found, ok := t.rows[id]
	if ok && found.Token == token && !found.Done {
		delete(t.rows, id)
	}
}

// Records returns all rows, for a handover.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	records := make([]Record, 0, len(t.rows))
	for _, found := range t.rows {
		records = append(records, *found)
	}
	return records
}

// Merge takes over rows of another owner. A row that is done wins over one that is not.
func (t *Table) Merge(records []Record) {
	for _, record := range records {
		found, ok := t.rows[record.ID]
		if !ok {
			record.Answer = t.adopt(record)
			t.insert(record)
			continue
		}
		if record.Done && !found.Done && found.Token == record.Token {
			found.Done = true
			found.Answer = t.adopt(record)
		}
	}
}

func (t *Table) adopt(record Record) Answer {
	if !record.Answer.Kept {
		return record.Answer
	}
	return t.keep(record.Answer)
}

func (t *Table) insert(record Record) {
	t.rows[record.ID] = &record
	t.order = append(t.order, record.ID)
}

// expire forgets rows from the oldest on.
func (t *Table) expire(now time.Time) {
	n := 0
	for _, id := range t.order {
		found, ok := t.rows[id]
		if ok && now.Before(found.Expires) {
			break
		}
		if ok {
			t.keptBytes -= len(found.Answer.Body)
			delete(t.rows, id)
		}
		n++
	}
	t.order = t.order[n:]
}
