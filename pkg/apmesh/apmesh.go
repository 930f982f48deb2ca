// Package apmesh connects the entries of a deployment with each other. It detects failed entries by
// heartbeats, replicates documents and carries calls between entries. Messages are CBOR over WebSocket.
package apmesh

import (
	"context"

	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// Mesh gives an entry access to the other entries.
type Mesh interface {
	// Members returns the alive and suspect entries, including this one.
	Members() []Member
	// Publish applies a document and sends it to every peer.
	Publish(doc apstore.Document)
	// Document returns the newest known document of a key.
	Document(key apfleet.Key) (apstore.Document, bool)
	// Call sends a message to a member and waits for its reply.
	// Errors: PeerUnreachable and SendQueueFull (not sent), ReplyLost (the peer may have handled the
	// message), or the code of the peer's Failure.
	Call(ctx context.Context, to apfleet.EntryName, message Message) (Message, error)
	// Send sends a message without waiting for a reply. Errors: PeerUnreachable, SendQueueFull.
	Send(to apfleet.EntryName, message Message) error
}

// Member is an entry with its state and its latest report.
type Member struct {
	apfleet.Registration
	State  MemberState
	Report Report
}

// MemberState is the state of another entry as this entry sees it.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota
	// MemberSuspect members missed heartbeats or acks for SuspectAfter; they still count as members.
	MemberSuspect
	// MemberDead members were heard by no entry for DeadAfter; they no longer count as members.
	MemberDead
	// MemberLeft members announced that they leave.
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

// Handler handles the messages that the mesh does not handle itself.
type Handler interface {
	// HandleMessage returns the reply to a call. The reply to a message sent with Send is dropped.
	HandleMessage(ctx context.Context, from apfleet.EntryName, message Message) (Message, error)
}

// Observer is notified of document changes.
type Observer interface {
	// DocumentApplied is called after a document was added or has replaced one with a lower revision.
	DocumentApplied(doc apstore.Document)
}
