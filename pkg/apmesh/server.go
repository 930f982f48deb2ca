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

// ServeHTTP authenticates a peer, accepts its WebSocket connection and replies to its messages.
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
	proof.setReplyHeader(n.options.Key, w.Header())
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrameBytes)
	n.serve(r.Context(), conn, proof.From)
}

// serve handles the frames of one connection in the order of arrival until the connection fails or nothing
// arrives for DeadAfter.
func (n *Node) serve(ctx context.Context, conn *websocket.Conn, from apfleet.EntryName) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.accepted[conn] = cancel
	n.mu.Unlock()
	defer n.removeAccepted(conn)
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
		reply := n.handleMessage(ctx, from, message, err)
		if frame.Call == 0 || frame.Reply {
			continue
		}
		if err := n.writeReply(ctx, conn, EncodeFrame(reply, frame.Call, true)); err != nil {
			return
		}
	}
}

func (n *Node) removeAccepted(conn *websocket.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, conn)
}

// cancelAccepted ends the connections opened by peers.
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

// handleMessage handles one message and returns the reply. With an err from decoding, the reply is a Failure.
func (n *Node) handleMessage(ctx context.Context, from apfleet.EntryName, message Message, err error) Message {
	if err != nil {
		return Failure{Code: apcode.Of(err), Detail: err.Error()}
	}
	switch m := message.(type) {
	case Heartbeat:
		n.handleHeartbeat(m)
		return Ack{}
	case Documents:
		n.applyDocuments(m)
		return Ack{}
	case Revisions:
		return Documents{Rows: n.documents.newerThan(m.Rows)}
	case Left:
		n.handleLeft(m)
	default:
	}
	reply, err := n.handler.HandleMessage(ctx, from, message)
	if err != nil {
		return Failure{Code: apcode.Of(err), Detail: err.Error()}
	}
	return reply
}

func (n *Node) applyDocuments(message Documents) {
	for _, row := range message.Rows {
		n.applyDocument(apstore.Document(row))
	}
}

func (n *Node) handleLeft(m Left) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.RecordLeft(time.Now(), m.Member.Name, m.Member.Incarnation)
}

// handleHeartbeat records a heartbeat. When the sender's document digest differs from this entry's, it
// requests a pull from the sender.
func (n *Node) handleHeartbeat(heartbeat Heartbeat) {
	n.mu.Lock()
	n.membership.RecordHeartbeat(time.Now(), heartbeat)
	n.mu.Unlock()
	if heartbeat.Digest != n.documents.currentDigest() {
		n.requestPull(heartbeat.From.Name)
	}
}

// requestPull asks pullLoop to pull from a peer. It drops the request when another one is already queued; a
// later heartbeat repeats it.
func (n *Node) requestPull(from apfleet.EntryName) {
	select {
	case n.pullRequests <- from:
	default:
	}
}

// pullLoop runs the requested pulls, one at a time.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		select {
		case from := <-n.pullRequests:
			n.pull(ctx, from)
		case <-ctx.Done():
			return nil
		}
	}
}

// pull fetches and applies the documents of which a peer has newer revisions.
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
		n.applyDocuments(documents)
	}
}
