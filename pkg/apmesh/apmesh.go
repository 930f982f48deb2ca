// Package apmesh connects the entries of a deployment: membership by heartbeats, replication of
// documents, and calls between entries, over WebSocket with CBOR.
package apmesh

import (
	"context"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Mesh is what an entry sees of the other entries.
type Mesh interface {
	// Members returns the entries that count as alive, this one included.
	Members() []Member
	// Publish applies a document and sends it to every peer.
	Publish(doc apstore.Document)
	// Document returns the newest known document of a key.
	Document(key apfleet.Key) (apstore.Document, bool)
	// Call sends a message to a member and waits for its reply.
	// Errors: PeerUnreachable and SendQueueFull (not sent), ReplyLost (sent), or the code that the peer
	// replied.
	Call(ctx context.Context, to apfleet.EntryName, message Message) (Message, error)
	// Send sends a message without waiting for a reply. Errors: PeerUnreachable, SendQueueFull.
	Send(to apfleet.EntryName, message Message) error
}

// Member is an entry with what it last reported.
type Member struct {
	apfleet.Registration
	State  MemberState
	Report Report
}

// MemberState is what this entry holds of another one.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota
	// MemberSuspect members have been silent for a while but still count as members.
	MemberSuspect
	// MemberDead members have been silent to everybody; they no longer count.
	MemberDead
	// MemberLeft members said that they leave.
	MemberLeft
)

// String returns the state's name.
func (s MemberState) String() string {
	names := [...]string{"Alive", "Suspect", "Dead", "Left"}
	if int(s) >= len(names) {
		return "Unknown"
	}
	return names[s]
}

// Handler answers the messages that the mesh does not handle itself.
type Handler interface {
	// HandleMessage returns the reply to a call; the reply to a message that was sent is dropped.
	HandleMessage(ctx context.Context, from apfleet.EntryName, message Message) (Message, error)
}

// Observer is told of changes.
type Observer interface {
	// DocumentApplied is called after a document with a higher revision was applied.
	DocumentApplied(doc apstore.Document)
}
