package apmesh

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	headerVersion = "Auburnport-Mesh-Version"
	headerFrom    = "Auburnport-Mesh-From"
	headerTo      = "Auburnport-Mesh-To"
	headerTime    = "Auburnport-Mesh-Time"
	headerNonce   = "Auburnport-Mesh-Nonce"
	headerProof   = "Auburnport-Mesh-Proof"
	headerReply   = "Auburnport-Mesh-Reply"

	// maxProofAge is the maximum of clock skew between two entries plus network delay.
	maxProofAge = 30 * time.Second
)

// anyEntry is the recipient's name in a connection to a seed, whose name is not known yet.
const anyEntry apfleet.EntryName = ""

// proof authenticates the entry that opens a connection as a holder of the shared key.
type proof struct {
	Version  string
	From, To apfleet.EntryName
	// Time is in nanoseconds since the Unix epoch.
	Time  string
	Nonce string
	// MAC is the hexadecimal HMAC-SHA256 of the other fields.
	MAC string
}

func newProof(key []byte, from, to apfleet.EntryName, now time.Time) proof {
	p := proof{Version: Version, From: from, To: to, Time: strconv.FormatInt(now.UnixNano(), 10), Nonce: rand.Text()}
	p.MAC = p.sign(key, "dial")
	return p
}

// sign returns the HMAC of the fields. The direction, "dial" or "reply", keeps one side's MAC from being sent
// back as the other side's.
func (p proof) sign(key []byte, direction string) string {
	mac := hmac.New(sha256.New, key)
	fields := []string{direction, p.Version, string(p.From), string(p.To), p.Time, p.Nonce}
	_, _ = mac.Write([]byte(strings.Join(fields, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

func (p proof) setHeaders(header http.Header) {
	header.Set(headerVersion, p.Version)
	header.Set(headerFrom, string(p.From))
	header.Set(headerTo, string(p.To))
	header.Set(headerTime, p.Time)
	header.Set(headerNonce, p.Nonce)
	header.Set(headerProof, p.MAC)
}

// setReplyHeader proves to the entry that opened the connection that this entry holds the shared key too.
func (p proof) setReplyHeader(key []byte, header http.Header) {
	header.Set(headerReply, p.sign(key, "reply"))
}

// verifyReply checks that the accepting entry holds the shared key. Errors carry Unauthorized.
func (p proof) verifyReply(key []byte, header http.Header) error {
	if !hmac.Equal([]byte(header.Get(headerReply)), []byte(p.sign(key, "reply"))) {
		return apcode.Errorf(apcode.Unauthorized, "entry %s did not prove that it holds the shared key", p.To)
	}
	return nil
}

// readProof reads a proof from the headers of a request. Errors carry VersionMismatch.
func readProof(header http.Header) (proof, error) {
	p := proof{
		Version: header.Get(headerVersion),
		From:    apfleet.EntryName(header.Get(headerFrom)),
		To:      apfleet.EntryName(header.Get(headerTo)),
		Time:    header.Get(headerTime),
		Nonce:   header.Get(headerNonce),
		MAC:     header.Get(headerProof),
	}
	if p.Version != Version {
		return p, apcode.Errorf(apcode.VersionMismatch, "peer has mesh protocol version %q, not %q", p.Version, Version)
	}
	return p, nil
}

// verify checks that a proof was made with the shared key for this entry, recently, and is used for the first
// time. Errors carry Unauthorized.
func (p proof) verify(key []byte, self apfleet.EntryName, now time.Time, nonces *nonceCache) error {
	if !hmac.Equal([]byte(p.MAC), []byte(p.sign(key, "dial"))) {
		return apcode.Errorf(apcode.Unauthorized, "wrong key: the MAC does not match")
	}
	if p.To != self && p.To != anyEntry {
		return apcode.Errorf(apcode.Unauthorized, "connection is meant for entry %s, not %s", p.To, self)
	}
	nanoseconds, err := strconv.ParseInt(p.Time, 10, 64)
	if err != nil || now.Sub(time.Unix(0, nanoseconds)).Abs() > maxProofAge {
		return apcode.Errorf(apcode.Unauthorized, "time %q is invalid or too far from this entry's clock", p.Time)
	}
	if !nonces.add(p.Nonce, now) {
		return apcode.Errorf(apcode.Unauthorized, "nonce was used before")
	}
	return nil
}

// nonceCache remembers the nonces of used proofs for as long as the proofs would pass the check of their time.
type nonceCache struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func newNonceCache() *nonceCache { return &nonceCache{seen: make(map[string]time.Time)} }

// add records a nonce and reports whether it is new.
func (c *nonceCache) add(nonce string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old, at := range c.seen {
		if now.Sub(at) > 2*maxProofAge {
			delete(c.seen, old)
		}
	}
	if _, ok := c.seen[nonce]; ok {
		return false
	}
	c.seen[nonce] = now
	return true
}
