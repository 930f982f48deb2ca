package apmesh

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
	"auburnport/pkg/apstore"
)

// ServeHTTP accepts the connection of a peer and answers its messages.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	proof, err := readProof(r.Header)
	if err == nil {
		err = proof.verify(n.options.Key, n.self.Name, time.Now(), n.nonces)
	}
	if err != nil {
		n.count("Mesh.RefusedPeers", 1)
		n.options.Logger.WithError(err).WithField("Event", "PeerRefused").WithField("Address", r.RemoteAddr).Warn()
		http.Error(w, err.Error(), apcode.Describe(apcode.Of(err)).Status)
		return
	}
	proof.setReply(n.options.Key, w.Header())
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrameBytes)
	n.serve(r.Context(), conn, proof.From)
}

// serve answers frames in the order in which they arrive.
func (n *Node) serve(ctx context.Context, conn *websocket.Conn, from apfleet.EntryName) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.accepted[conn] = cancel
	n.mu.Unlock()
	defer n.forget(conn)
	for {
		readCtx, cancelRead := context.WithTimeout(ctx, n.options.DeadAfter)
		_, data, err := conn.Read(readCtx)
		cancelRead()
		if err != nil {
			return
		}
		n.count("Mesh.FramesReceived", 1)
		n.count("Mesh.BytesReceived", int64(len(data)))
		frame, message, err := DecodeFrame(data)
		if err != nil {
			n.count("Mesh.BadFrames", 1)
			n.options.Logger.WithError(err).WithField("Event", "BadFrame").WithField("Peer", from).Warn()
			message = nil
		}
		reply := n.answer(ctx, from, message, err)
		if frame.Call == 0 || frame.Reply {
			continue
		}
		if err := n.writeReply(ctx, conn, EncodeFrame(reply, frame.Call, true)); err != nil {
			return
		}
	}
}

func (n *Node) forget(conn *websocket.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, conn)
}

// cancelAccepted ends the connections that peers opened.
func (n *Node) cancelAccepted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cancel := range n.accepted {
		cancel()
	}
}

func (n *Node) writeReply(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	n.count("Mesh.FramesSent", 1)
	n.count("Mesh.BytesSent", int64(len(data)))
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// answer handles one message and returns the reply.
func (n *Node) answer(ctx context.Context, from apfleet.EntryName, message Message, err error) Message {
	if err != nil {
		return Failure{Code: apcode.Of(err), Detail: err.Error()}
	}
	switch m := message.(type) {
	case Heartbeat:
		n.heard(m)
		return Ack{}
	case Documents:
		n.applyAll(m)
		return Ack{}
	case Revisions:
		return Documents{Rows: n.documents.newerThan(m.Rows)}
	case Left:
		n.left(m)
	default:
	}
	reply, err := n.handler.HandleMessage(ctx, from, message)
	if err != nil {
		return Failure{Code: apcode.Of(err), Detail: err.Error()}
	}
	return reply
}

func (n *Node) applyAll(message Documents) {
	for _, row := range message.Rows {
		n.apply(apstore.Document(row))
	}
}

func (n *Node) left(m Left) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.Left(time.Now(), m.Member.Name, m.Member.Incarnation)
}

// heard records a heartbeat and, when the sender's documents differ, asks for what is newer there.
func (n *Node) heard(beat Heartbeat) {
	n.mu.Lock()
	n.membership.Heard(time.Now(), beat)
	n.mu.Unlock()
	if beat.Digest != n.documents.summary() {
		n.requestPull(beat.From.Name)
	}
}

// requestPull asks the puller for a peer's documents, unless it has enough to do.
func (n *Node) requestPull(from apfleet.EntryName) {
	select {
	case n.pulls <- from:
	default:
	}
}

// pullLoop fetches documents from one peer at a time.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		select {
		case from := <-n.pulls:
			n.pull(ctx, from)
		case <-ctx.Done():
			return nil
		}
	}
}

// pull fetches the documents that are newer at a peer.
func (n *Node) pull(ctx context.Context, from apfleet.EntryName) {
	p, err := n.peer(from)
	if err != nil {
		return
	}
	reply, err := p.call(ctx, Revisions{Rows: n.documents.revisions()})
	if err != nil {
		return
	}
	if documents, ok := reply.(Documents); ok {
		n.applyAll(documents)
	}
}
