package apmesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburnport/pkg/apclaim"
	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Message is a message between entries.
type Message interface {
	apfleet.Checker
	kind() Kind
}

// Kind identifies the type of a message on the wire.
type Kind uint8

// Kinds of messages. The numbers of removed kinds are never reused.
const (
	KindHeartbeat Kind = iota + 1
	KindAck
	KindDocuments
	KindRevisions
	KindClaim
	KindVerdict
	KindComplete
	KindRelease
	KindHandover
	KindFailure
	KindLeft
)

// ServiceDemand is the demand for a service at one entry.
type ServiceDemand struct {
	_ struct{} `cbor:",toarray"`

	Service apfleet.ServiceName `cbor:"Service"`
	// Demand is the number of requests in flight or waiting.
	Demand int `cbor:"Demand"`
	// RequestsReceived is the number of requests received since the entry started, without retries.
	RequestsReceived uint64 `cbor:"Arrived"`
	// ServiceTime is the moving average of the duration of successful attempts.
	ServiceTime time.Duration `cbor:"ServiceTime"`
}

// InstanceLoad is one entry's load on an instance.
type InstanceLoad struct {
	_ struct{} `cbor:",toarray"`

	VM       apfleet.VMID `cbor:"VM"`
	InFlight int          `cbor:"InFlight"`
}

// DrainReport confirms that an entry applies a disruption of a VM: it sends no new requests to the VM.
type DrainReport struct {
	_ struct{} `cbor:",toarray"`

	VM apfleet.VMID `cbor:"VM"`
	// Operation is the operation number of the disruption.
	Operation uint64 `cbor:"Operation"`
	// InFlight is the number of the entry's requests in flight to the VM.
	InFlight int `cbor:"InFlight"`
}

// Report is the status of an entry, sent in each heartbeat.
type Report struct {
	Leaving bool            `cbor:"Leaving,omitempty"`
	Demands []ServiceDemand `cbor:"Demands,omitempty"`
	Loads   []InstanceLoad  `cbor:"Loads,omitempty"`
	Drains  []DrainReport   `cbor:"Drains,omitempty"`
	// SettingsRevision is the revision of the settings in force.
	SettingsRevision apstore.Revision `cbor:"Settings"`
	// HoldsControlLease is true when the entry holds the control lease.
	HoldsControlLease bool `cbor:"Holder,omitempty"`
	// UnreachableVMs lists the VMs to which the entry cannot connect.
	UnreachableVMs []apfleet.VMID `cbor:"Down,omitempty"`
}

// Heartbeat shows that its sender is alive, and carries its report and what it knows of other entries.
type Heartbeat struct {
	From apfleet.Registration `cbor:"From"`
	// Heard lists the members that the sender has heard recently; only some heartbeats carry it.
	Heard []apfleet.EntryName `cbor:"Heard,omitempty"`
	// Peers lists the registrations of members; only few heartbeats carry it.
	Peers []apfleet.Registration `cbor:"Peers,omitempty"`
	// Digest is a hash of the keys and revisions of the sender's documents.
	Digest uint64 `cbor:"Digest"`
	Report Report `cbor:"Report"`
}

// Ack is the reply to a message that was handled and has no other reply, such as a heartbeat.
type Ack struct{}

// DocumentRow is a document on the wire.
type DocumentRow struct {
	Key      apfleet.Key      `cbor:"Key"`
	Revision apstore.Revision `cbor:"Revision"`
	Body     []byte           `cbor:"Body"`
}

// Documents carries documents, either published or in reply to Revisions.
type Documents struct {
	Rows []DocumentRow `cbor:"Rows"`
}

// KeyRevision is the revision of a key.
type KeyRevision struct {
	Key      apfleet.Key      `cbor:"Key"`
	Revision apstore.Revision `cbor:"Revision"`
}

// Revisions lists the revisions of the sender's documents. The reply carries the documents of which the
// receiver has newer revisions.
type Revisions struct {
	Rows []KeyRevision `cbor:"Rows"`
}

// Claim asks an owner to grant a request id.
type Claim struct {
	Request apclaim.Request `cbor:"Request"`
	// Owner is the entry that is asked, with its incarnation.
	Owner apfleet.Member `cbor:"Owner"`
	// Sequence is the sequence number of the claimant's registry.
	Sequence uint64 `cbor:"Sequence"`
}

// VerdictKind identifies the verdict on a claim on the wire.
type VerdictKind uint8

// Kinds of verdict. Claimants rely on VerdictSpent being greater than VerdictInFlight.
const (
	VerdictGranted VerdictKind = iota + 1
	VerdictInFlight
	VerdictAnswered
	VerdictSpent
)

// Verdict is the reply to a Claim.
type Verdict struct {
	Kind   VerdictKind    `cbor:"Kind"`
	Answer apclaim.Answer `cbor:"Answer"`
}

// Complete records the answer of a claimed request.
type Complete struct {
	ID     apclaim.ID     `cbor:"ID"`
	Token  apclaim.Token  `cbor:"Token"`
	Answer apclaim.Answer `cbor:"Answer"`
}

// Release removes the claim of a request that did not run.
type Release struct {
	ID    apclaim.ID    `cbor:"ID"`
	Token apclaim.Token `cbor:"Token"`
	// Round is the last round that is released.
	Round apclaim.Round `cbor:"Round,omitempty"`
}

// Handover transfers claims to an entry that owns them next.
type Handover struct {
	Records []apclaim.Record `cbor:"Rows"`
}

// Failure is the reply to a message that failed.
type Failure struct {
	Code   apcode.Code `cbor:"Code"`
	Detail string      `cbor:"Detail"`
}

// Left announces that a member leaves.
type Left struct {
	Member apfleet.Member `cbor:"Member"`
}

func (Heartbeat) kind() Kind { return KindHeartbeat }
func (Ack) kind() Kind       { return KindAck }
func (Documents) kind() Kind { return KindDocuments }
func (Revisions) kind() Kind { return KindRevisions }
func (Claim) kind() Kind     { return KindClaim }
func (Verdict) kind() Kind   { return KindVerdict }
func (Complete) kind() Kind  { return KindComplete }
func (Release) kind() Kind   { return KindRelease }
func (Handover) kind() Kind  { return KindHandover }
func (Failure) kind() Kind   { return KindFailure }
func (Left) kind() Kind      { return KindLeft }

// Check returns BadMessage for a sender or a peer without a name or a valid mesh address.
func (m Heartbeat) Check() error {
	if m.From.Name == "" || !m.From.Mesh.IsValid() {
		return apcode.Errorf(apcode.BadMessage, "heartbeat has no sender name or no valid mesh address")
	}
	return apfleet.Registry{Entries: m.Peers}.Check()
}

// Check accepts every Ack.
func (Ack) Check() error { return nil }

// Check returns BadMessage for a row without a key or a revision.
func (m Documents) Check() error {
	for _, row := range m.Rows {
		if row.Key == "" || row.Revision == 0 {
			return apcode.Errorf(apcode.BadMessage, "document has no key or no revision")
		}
	}
	return nil
}

// Check accepts every Revisions.
func (Revisions) Check() error { return nil }

// Check returns BadMessage when the request is not valid.
func (m Claim) Check() error { return m.Request.Check() }

// Check returns BadMessage for an unknown kind of verdict.
func (m Verdict) Check() error {
	if m.Kind < VerdictGranted || m.Kind > VerdictSpent {
		return apcode.Errorf(apcode.BadMessage, "unknown verdict kind %d", m.Kind)
	}
	return nil
}

// Check returns BadMessage when the id or the token is missing.
func (m Complete) Check() error { return checkClaimKey(m.ID, m.Token) }

// Check returns BadMessage when the id or the token is missing.
func (m Release) Check() error { return checkClaimKey(m.ID, m.Token) }

// Check returns BadMessage for a claim without an id or a token.
func (m Handover) Check() error {
	for _, record := range m.Records {
		if err := checkClaimKey(record.ID, record.Token); err != nil {
			return err
		}
	}
	return nil
}

// Check accepts every Failure.
func (Failure) Check() error { return nil }

// Check returns BadMessage when the member has no name.
func (m Left) Check() error {
	if m.Member.Name == "" {
		return apcode.Errorf(apcode.BadMessage, "leaving member has no name")
	}
	return nil
}

func checkClaimKey(id apclaim.ID, token apclaim.Token) error {
	if id == "" || token == "" {
		return apcode.Errorf(apcode.BadMessage, "claim has no id or no token")
	}
	return nil
}

// Frame is one WebSocket message: a message of the mesh with its kind and call number.
type Frame struct {
	Kind Kind `cbor:"K"`
	// Call matches a reply to its call; it is 0 for a message that expects no reply.
	Call  uint64 `cbor:"C,omitempty"`
	Reply bool   `cbor:"R,omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:"B"`
}

// Check returns BadMessage for a reply without a call number.
func (f Frame) Check() error {
	if f.Reply && f.Call == 0 {
		return apcode.Errorf(apcode.BadMessage, "reply has no call number")
	}
	return nil
}

// EncodeFrame returns the wire form of a message.
func EncodeFrame(message Message, call uint64, reply bool) []byte {
	return apfleet.Encode(Frame{Kind: message.kind(), Call: call, Reply: reply, Body: apfleet.Encode(message)})
}

// DecodeFrame decodes a frame and its message. Errors carry BadMessage.
func DecodeFrame(data []byte) (Frame, Message, error) {
	var frame Frame
	if err := apfleet.Decode(data, &frame); err != nil {
		return frame, nil, err
	}
	message, err := decodeBody(frame)
	return frame, message, err
}

func decodeBody(frame Frame) (Message, error) {
	switch frame.Kind {
	case KindHeartbeat:
		return decodeAs[Heartbeat](frame.Body)
	case KindAck:
		return decodeAs[Ack](frame.Body)
	case KindDocuments:
		return decodeAs[Documents](frame.Body)
	case KindRevisions:
		return decodeAs[Revisions](frame.Body)
	case KindClaim:
		return decodeAs[Claim](frame.Body)
	case KindVerdict:
		return decodeAs[Verdict](frame.Body)
	case KindComplete:
		return decodeAs[Complete](frame.Body)
	case KindRelease:
		return decodeAs[Release](frame.Body)
	case KindHandover:
		return decodeAs[Handover](frame.Body)
	case KindFailure:
		return decodeAs[Failure](frame.Body)
	case KindLeft:
		return decodeAs[Left](frame.Body)
	default:
		return nil, apcode.Errorf(apcode.BadMessage, "unknown message kind %d", frame.Kind)
	}
}

func decodeAs[T Message](body []byte) (Message, error) {
	var message T
	if err := apfleet.Decode(body, &message); err != nil {
		return nil, err
	}
	return message, nil
}
