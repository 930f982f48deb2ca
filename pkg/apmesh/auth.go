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

	// maxProofAge bounds the difference between two entries' clocks plus the time on the way.
	maxProofAge = 30 * time.Second
)

// anyEntry is the addressee of a connection to a seed, whose name is not known yet.
const anyEntry apfleet.EntryName = ""

// proof shows that a connection comes from a holder of the shared key.
type proof struct {
	Version  string
	From, To apfleet.EntryName
	// Time is in nanoseconds since the Unix epoch.
	Time  string
	Nonce string
	MAC   string
}

func newProof(key []byte, from, to apfleet.EntryName, now time.Time) proof {
	p := proof{Version: Version, From: from, To: to, Time: strconv.FormatInt(now.UnixNano(), 10), Nonce: rand.Text()}
	p.MAC = p.sign(key, "dial")
	return p
}

func (p proof) sign(key []byte, direction string) string {
	mac := hmac.New(sha256.New, key)
	fields := []string{direction, p.Version, string(p.From), string(p.To), p.Time, p.Nonce}
	_, _ = mac.Write([]byte(strings.Join(fields, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

func (p proof) set(header http.Header) {
	header.Set(headerVersion, p.Version)
	header.Set(headerFrom, string(p.From))
	header.Set(headerTo, string(p.To))
	header.Set(headerTime, p.Time)
	header.Set(headerNonce, p.Nonce)
	header.Set(headerProof, p.MAC)
}

func (p proof) setReply(key []byte, header http.Header) {
	header.Set(headerReply, p.sign(key, "reply"))
}

// verifyReply checks that the other end holds the key too. Errors carry Unauthorized.
func (p proof) verifyReply(key []byte, header http.Header) error {
	if !hmac.Equal([]byte(header.Get(headerReply)), []byte(p.sign(key, "reply"))) {
		return apcode.Errorf(apcode.Unauthorized, "entry %s does not hold the key", p.To)
	}
	return nil
}

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
		return p, apcode.Errorf(apcode.VersionMismatch, "version %q, not %q", p.Version, Version)
	}
	return p, nil
}

// verify checks a proof. Errors carry Unauthorized.
func (p proof) verify(key []byte, self apfleet.EntryName, now time.Time, nonces *nonceCache) error {
	if !hmac.Equal([]byte(p.MAC), []byte(p.sign(key, "dial"))) {
		return apcode.Errorf(apcode.Unauthorized, "wrong key")
	}
	if p.To != self && p.To != anyEntry {
		return apcode.Errorf(apcode.Unauthorized, "meant for %s, not %s", p.To, self)
	}
	nanoseconds, err := strconv.ParseInt(p.Time, 10, 64)
	if err != nil || now.Sub(time.Unix(0, nanoseconds)).Abs() > maxProofAge {
		return apcode.Errorf(apcode.Unauthorized, "time %q is too far from now", p.Time)
	}
	if !nonces.add(p.Nonce, now) {
		return apcode.Errorf(apcode.Unauthorized, "used before")
	}
	return nil
}

// nonceCache remembers the proofs that were used while they would still be accepted.
type nonceCache struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func newNonceCache() *nonceCache { return &nonceCache{seen: make(map[string]time.Time)} }

// add reports whether the nonce is new.
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
