// Package apclaim ensures that a non-idempotent request runs at most once across entries. Before the
// request runs, its id is claimed at a majority of the three entries that own the id by rendezvous
// hashing. The package opens no connections and reads no clock: callers pass in the current time.
package apclaim

import (
	"slices"
	"time"

	"auburnport/pkg/apcode"
)

// ClaimStore holds the claims on the ids that one entry owns.
type ClaimStore interface {
	// Claim grants an id to at most one token while the claim is remembered, which is at least for the window.
	Claim(now time.Time, request Request) Verdict
	// Complete records the answer to a granted request.
	Complete(now time.Time, id ID, token Token, answer Answer)
	// Release removes the claim of a granted request that did not run, unless it was granted in a later round. A claim of
	// the same or an earlier round that is read after its release is not granted.
	Release(now time.Time, id ID, token Token, round Round)
}

// ID is a request id, qualified with the name of its service.
type ID string

// Token identifies one claimant, so that it can repeat its own claim.
type Token string

// Round is the number of a round of a claim, in which its claimant asks the owners once. The first round has number 1.
// The number is 0 if the claimant or an owner that handed the claim over is of an earlier build, which has no numbers.
type Round uint64

// Request claims an id.
type Request struct {
	// ID is never empty.
	ID ID `cbor:"ID"`
	// Token is never empty, and the same in all rounds of a claim.
	Token Token `cbor:"Token"`
	Round Round `cbor:"Round,omitempty"`
	// Window is the minimum time for which the claim is remembered; it is positive.
	Window time.Duration `cbor:"Window"`
}

// Check returns BadMessage when a field is missing or out of range.
func (r Request) Check() error {
	if r.ID == "" || r.Token == "" || r.Window <= 0 {
		return apcode.Errorf(apcode.BadMessage, "claim has no id, no token or no positive window")
	}
	return nil
}

// HeaderField is one HTTP header field of an answer.
type HeaderField struct {
	Name  string `cbor:"Name"`
	Value string `cbor:"Value"`
}

// Answer is the response to a request.
type Answer struct {
	Status int           `cbor:"Status"`
	Header []HeaderField `cbor:"Header"`
	Body   []byte        `cbor:"Body"`
	// Kept is false when the answer was too large to keep; then only Status is known.
	Kept bool `cbor:"Kept"`
}

// Verdict is an owner's reply to a claim: Granted, InFlight, Answered, Spent or Released.
type Verdict interface{ verdict() }

// Granted means that the claimant holds the id.
type Granted struct{}

// InFlight means that another claimant holds the id and that no answer is known yet.
type InFlight struct{}

// Answered means that the request has run, and carries its answer.
type Answered struct{ Answer Answer }

// Spent means that the request has run and that its answer was not kept.
type Spent struct{}

// Released means that the claimant has already released this round of its claim.
type Released struct{}

func (Granted) verdict()  {}
func (InFlight) verdict() {}
func (Answered) verdict() {}
func (Spent) verdict()    {}
func (Released) verdict() {}

// Record is one claim in a Table, and the unit of a handover between owners.
type Record struct {
	ID    ID    `cbor:"ID"`
	Token Token `cbor:"Token"`
	// Round is the highest round in which the claim was granted.
	Round  Round  `cbor:"Round,omitempty"`
	Done   bool   `cbor:"Done"`
	Answer Answer `cbor:"Answer"`
	// Expires is when the claim may be removed.
	Expires time.Time `cbor:"Expires"`
}

// Table implements ClaimStore in memory. The zero value is not usable; use New.
type Table struct {
	options Options
	// records holds the claims on each id. Only a handover adds a second one to an id.
	records map[ID][]*Record
	// insertionOrder lists the claims, oldest insertion first, for expiry.
	insertionOrder []claimKey
	releases       map[claimKey]*releaseNote
	// releaseOrder lists the keys of releases, oldest insertion first, for expiry.
	releaseOrder []claimKey
	// keptBytes is the total size of the bodies of kept answers.
	keptBytes int
}

// claimKey identifies the claim of one claimant.
type claimKey struct {
	id    ID
	token Token
}

// releaseNote notes the last round of a claim that was released.
type releaseNote struct {
	round Round
	// expires is when the note may be removed.
	expires time.Time
}

// New returns an empty table.
func New(opts ...Option) *Table {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	return &Table{options: options, records: make(map[ID][]*Record), releases: make(map[claimKey]*releaseNote)}
}

// Len returns the number of ids that are claimed.
func (t *Table) Len() int { return len(t.records) }

// Claim implements ClaimStore.
func (t *Table) Claim(now time.Time, request Request) Verdict {
	t.expire(now)
	var own *Record
	othersHold := false
	for _, existing := range t.records[request.ID] {
		switch {
		case existing.Done && existing.Answer.Kept:
			return Answered{Answer: existing.Answer}
		case existing.Done:
			return Spent{}
		case existing.Token == request.Token:
			own = existing
		default:
			othersHold = true
		}
	}
	switch {
	case othersHold:
		return InFlight{}
	case t.isReleased(request.ID, request.Token, request.Round):
		return Released{}
	case own != nil:
		own.Round = max(own.Round, request.Round)
		return Granted{}
	default:
		t.insert(Record{ID: request.ID, Token: request.Token, Round: request.Round, Expires: now.Add(request.Window)})
		return Granted{}
	}
}

// Complete implements ClaimStore.
func (t *Table) Complete(now time.Time, id ID, token Token, answer Answer) {
	t.expire(now)
	existing, ok := t.find(claimKey{id: id, token: token})
	if !ok || existing.Done {
		return
	}
	existing.Done = true
	existing.Answer = t.retain(answer)
}

// retain returns the answer as it is kept: complete within the limits of Options, else its status only.
func (t *Table) retain(answer Answer) Answer {
	if len(answer.Body) > t.options.MaxAnswerBytes || t.keptBytes+len(answer.Body) > t.options.MaxKeptBytes {
		return Answer{Status: answer.Status}
	}
	t.keptBytes += len(answer.Body)
	answer.Kept = true
	return answer
}

// Release implements ClaimStore.
func (t *Table) Release(now time.Time, id ID, token Token, round Round) {
	t.expire(now)
	t.noteRelease(now, id, token, round)
	existing, ok := t.find(claimKey{id: id, token: token})
	if ok && existing.Round <= round && !existing.Done {
		t.remove(existing)
	}
}

// noteRelease notes a release for claims that are read after it. Rounds without a number can't be told from each other, so
// their releases are not noted.
func (t *Table) noteRelease(now time.Time, id ID, token Token, round Round) {
	if round == 0 {
		return
	}
	key := claimKey{id: id, token: token}
	note, ok := t.releases[key]
	if !ok {
		note = new(releaseNote)
		t.releases[key] = note
		t.releaseOrder = append(t.releaseOrder, key)
	}
	note.round = max(note.round, round)
	note.expires = now.Add(t.options.ReleaseWindow)
}

// isReleased reports whether a round of a claim is known to be released.
func (t *Table) isReleased(id ID, token Token, round Round) bool {
	note, ok := t.releases[claimKey{id: id, token: token}]
	return ok && round <= note.round
}

// Records returns all claims, for a handover.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	records := make([]Record, 0, len(t.records))
	for _, claims := range t.records {
		for _, existing := range claims {
			records = append(records, *existing)
		}
	}
	return records
}

// Merge adds the claims of another owner, except for those that are known to be released. A claim that exists already
// takes over the higher round and the answer. One of another token is added beside those that exist, because this owner
// can't tell which of them runs.
func (t *Table) Merge(records []Record) {
	for _, record := range records {
		if !record.Done && t.isReleased(record.ID, record.Token, record.Round) {
			continue
		}
		existing, ok := t.find(claimKey{id: record.ID, token: record.Token})
		if !ok {
			record.Answer = t.retainMerged(record)
			t.insert(record)
			continue
		}
		existing.Round = max(existing.Round, record.Round)
		if record.Done && !existing.Done {
			existing.Done = true
			existing.Answer = t.retainMerged(record)
		}
	}
}

// retainMerged applies retain to an answer that the other owner kept.
func (t *Table) retainMerged(record Record) Answer {
	if !record.Answer.Kept {
		return record.Answer
	}
	return t.retain(record.Answer)
}

// find returns the claim of a token on an id.
func (t *Table) find(key claimKey) (*Record, bool) {
	claims := t.records[key.id]
	i := slices.IndexFunc(claims, func(r *Record) bool { return r.Token == key.token })
	if i < 0 {
		return nil, false
	}
	return claims[i], true
}

func (t *Table) insert(record Record) {
	t.records[record.ID] = append(t.records[record.ID], &record)
	t.insertionOrder = append(t.insertionOrder, claimKey{id: record.ID, token: record.Token})
}

func (t *Table) remove(record *Record) {
	claims := slices.DeleteFunc(t.records[record.ID], func(r *Record) bool { return r == record })
	if len(claims) == 0 {
		delete(t.records, record.ID)
		return
	}
	t.records[record.ID] = claims
}

// expire removes expired claims and notes of releases in insertion order, up to the first one that has not expired. A
// claim may stay longer behind one with a longer window, and a note behind one that was renewed.
func (t *Table) expire(now time.Time) {
	t.expireClaims(now)
	expired := 0
	for _, key := range t.releaseOrder {
		if now.Before(t.releases[key].expires) {
			break
		}
		delete(t.releases, key)
		expired++
	}
	t.releaseOrder = t.releaseOrder[expired:]
}

func (t *Table) expireClaims(now time.Time) {
	expired := 0
	for _, key := range t.insertionOrder {
		existing, ok := t.find(key)
		if ok && now.Before(existing.Expires) {
			break
		}
		if ok {
			t.keptBytes -= len(existing.Answer.Body)
			t.remove(existing)
		}
		expired++
	}
	t.insertionOrder = t.insertionOrder[expired:]
}
