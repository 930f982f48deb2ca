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

// Kind numbers the types of messages on the wire.
type Kind uint8

// Kinds of messages. Numbers are never used again.
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
	// Demand counts requests in flight and waiting.
	Demand int `cbor:"Demand"`
	// Arrived counts all requests since the entry started.
	Arrived uint64 `cbor:"Arrived"`
	// ServiceTime is the moving average of the time that an instance takes for a request.
	ServiceTime time.Duration `cbor:"ServiceTime"`
}

// InstanceLoad is one entry's load on an instance.
type InstanceLoad struct {
	_ struct{} `cbor:",toarray"`

	VM       apfleet.VMID `cbor:"VM"`
	InFlight int          `cbor:"InFlight"`
}

// DrainReport tells that an entry obeys a disruption.
type DrainReport struct {
	_ struct{} `cbor:",toarray"`

	VM apfleet.VMID `cbor:"VM"`
	// Operation is that of the disruption which the entry obeys.
	Operation uint64 `cbor:"Operation"`
	InFlight  int    `cbor:"InFlight"`
}

// Report is what an entry tells of itself in each heartbeat.
type Report struct {
	Leaving bool            `cbor:"Leaving,omitempty"`
	Demands []ServiceDemand `cbor:"Demands,omitempty"`
	Loads   []InstanceLoad  `cbor:"Loads,omitempty"`
	Drains  []DrainReport   `cbor:"Drains,omitempty"`
	// Settings is the revision of the settings in force.
	Settings apstore.Revision `cbor:"Settings"`
	// Holder tells that the entry holds the control lease.
	Holder bool `cbor:"Holder,omitempty"`
	// Down holds the VMs to which the entry cannot connect.
	Down []apfleet.VMID `cbor:"Down,omitempty"`
}

// Heartbeat tells that its sender is alive, and what it knows.
type Heartbeat struct {
	From apfleet.Registration `cbor:"From"`
	// Heard holds the members that the sender has heard lately; it stands in some heartbeats only.
	Heard []apfleet.EntryName `cbor:"Heard,omitempty"`
	// Peers holds the addresses of members; they stand in few heartbeats.
	Peers []apfleet.Registration `cbor:"Peers,omitempty"`
	// Digest summarises the revisions of the sender's documents.
	Digest uint64 `cbor:"Digest"`
	Report Report `cbor:"Report"`
}

// Ack confirms a heartbeat.
type Ack struct{}

// DocumentRow is a document on the wire.
type DocumentRow struct {
	Key      apfleet.Key      `cbor:"Key"`
	Revision apstore.Revision `cbor:"Revision"`
	Body     []byte           `cbor:"Body"`
}

// Documents carries documents.
type Documents struct {
	Rows []DocumentRow `cbor:"Rows"`
}

// KeyRevision is the revision of a key.
type KeyRevision struct {
	Key      apfleet.Key      `cbor:"Key"`
	Revision apstore.Revision `cbor:"Revision"`
}

// Revisions lists the revisions of the sender's documents; the reply carries those that are newer
// at the receiver.
type Revisions struct {
	Rows []KeyRevision `cbor:"Rows"`
}

// Claim asks an owner for a request id.
type Claim struct {
	Request apclaim.Request `cbor:"Request"`
	// Owner is the run of the entry that is asked.
	Owner apfleet.Member `cbor:"Owner"`
	// Sequence is that of the claimant's registry.
	Sequence uint64 `cbor:"Sequence"`
}

// VerdictKind numbers the verdicts on a claim.
type VerdictKind uint8

// Kinds of verdict.
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

// Release forgets a claim whose request did not run.
type Release struct {
	ID    apclaim.ID    `cbor:"ID"`
	Token apclaim.Token `cbor:"Token"`
}

// Handover gives rows to their next owner.
type Handover struct {
	Rows []apclaim.Record `cbor:"Rows"`
}

// Failure is the reply to a message that failed.
type Failure struct {
	Code   apcode.Code `cbor:"Code"`
	Detail string      `cbor:"Detail"`
}

// Left tells that the sender leaves.
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

// Check returns BadMessage when the sender is not named.
func (m Heartbeat) Check() error {
	if m.From.Name == "" || !m.From.Mesh.IsValid() {
		return apcode.Errorf(apcode.BadMessage, "heartbeat without a name or an address")
	}
	return apfleet.Registry{Entries: m.Peers}.Check()
}

// Check accepts every Ack.
func (Ack) Check() error { return nil }

// Check returns BadMessage for a row without a key or a revision.
func (m Documents) Check() error {
	for _, row := range m.Rows {
		if row.Key == "" || row.Revision == 0 {
			return apcode.Errorf(apcode.BadMessage, "document without a key or a revision")
		}
	}
	return nil
}

// Check accepts every Revisions.
func (Revisions) Check() error { return nil }

// Check checks the request.
func (m Claim) Check() error { return m.Request.Check() }

// Check returns BadMessage for an unknown verdict.
func (m Verdict) Check() error {
	if m.Kind < VerdictGranted || m.Kind > VerdictSpent {
		return apcode.Errorf(apcode.BadMessage, "unknown verdict %d", m.Kind)
	}
	return nil
}

// Check returns BadMessage when the claim is not named.
func (m Complete) Check() error { return checkClaimName(m.ID, m.Token) }

// Check returns BadMessage when the claim is not named.
func (m Release) Check() error { return checkClaimName(m.ID, m.Token) }

// Check returns BadMessage for a row that is not named.
func (m Handover) Check() error {
	for _, row := range m.Rows {
		if err := checkClaimName(row.ID, row.Token); err != nil {
			return err
		}
	}
	return nil
}

// Check accepts every Failure.
func (Failure) Check() error { return nil }

// Check returns BadMessage when the member is not named.
func (m Left) Check() error {
	if m.Member.Name == "" {
		return apcode.Errorf(apcode.BadMessage, "member without a name")
	}
	return nil
}

func checkClaimName(id apclaim.ID, token apclaim.Token) error {
	if id == "" || token == "" {
		return apcode.Errorf(apcode.BadMessage, "claim without an id or a token")
	}
	return nil
}

// Frame is the unit on the wire.
type Frame struct {
	Kind Kind `cbor:"K"`
	// Call is 0 for a message without a reply.
	Call  uint64          `cbor:"C,omitempty"`
	Reply bool            `cbor:"R,omitempty"`
	Body  cbor.RawMessage `cbor:"B"`
}

// Check returns BadMessage for a reply to no call.
func (f Frame) Check() error {
	if f.Reply && f.Call == 0 {
		return apcode.Errorf(apcode.BadMessage, "reply to no call")
	}
	return nil
}

// EncodeFrame returns the wire form of a message.
func EncodeFrame(message Message, call uint64, reply bool) []byte {
	return apfleet.Encode(Frame{Kind: message.kind(), Call: call, Reply: reply, Body: apfleet.Encode(message)})
}

// DecodeFrame reads a frame and its message. Errors carry BadMessage.
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
		return nil, apcode.Errorf(apcode.BadMessage, "unknown kind %d", frame.Kind)
	}
}

func decodeAs[T Message](body []byte) (Message, error) {
	var message T
	if err := apfleet.Decode(body, &message); err != nil {
		return nil, err
	}
	return message, nil
}
