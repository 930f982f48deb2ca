package apmesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	// heartbeatCall is the call number of every heartbeat; other calls have higher numbers.
	heartbeatCall = 1

	dialTimeout    = time.Second
	writeTimeout   = time.Second
	callTimeout    = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	maxFrameBytes  = 8 << 20
)

// peer maintains the outgoing connection to one entry. Replies arrive on the same connection.
type peer struct {
	node         *Node
	registration apfleet.Registration
	sendQueue    chan []byte
	heartbeats   chan []byte
	stopped      chan struct{}
	stopOnce     sync.Once

	mu sync.Mutex
	// connected is true while a connection is open.
	connected bool
	// lastCall is the number of the latest call.
	lastCall     uint64
	pendingCalls map[uint64]chan Message
}

func newPeer(n *Node, registration apfleet.Registration) *peer {
	return &peer{
		node:         n,
		registration: registration,
		sendQueue:    make(chan []byte, n.options.SendQueueLimit),
		heartbeats:   make(chan []byte, 1),
		stopped:      make(chan struct{}),
		lastCall:     heartbeatCall,
		pendingCalls: make(map[uint64]chan Message),
	}
}

func (p *peer) stop() { p.stopOnce.Do(func() { close(p.stopped) }) }

// run dials with backoff until the peer is stopped.
func (p *peer) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, p.stop)
	defer stop()
	delay := minRedialDelay
	for {
		started := time.Now()
		err := p.session(ctx)
		select {
		case <-p.stopped:
			return nil
		default:
		}
		if time.Since(started) > maxRedialDelay {
			delay = minRedialDelay
		}
		p.node.options.Logger.WithError(err).WithField("Peer", p.registration.Name).WithField("Event", "MeshDisconnected").Debug()
		p.node.count("Mesh.Disconnects", 1)
		if !p.sleep(delay/2 + rand.N(delay/2)) {
			return nil
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// sleep waits for d and returns false early when the peer is stopped.
func (p *peer) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.stopped:
		return false
	}
}

// session dials and uses one connection until it fails, nothing arrives on it or the peer is stopped.
func (p *peer) session(ctx context.Context) error {
	conn, err := p.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxFrameBytes)
	p.setConnected(true)
	defer p.setConnected(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.writeLoop(ctx, conn) })
	group.Go(func() error { return p.readLoop(ctx, conn) })
	err = group.Wait()
	p.failPendingCalls()
	return err
}

// dial opens a connection on which both entries have proved that they hold the shared key.
func (p *peer) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	proof := newProof(p.node.options.Key, p.node.self.Name, p.registration.Name, time.Now())
	header := make(http.Header)
	proof.setHeaders(header)
	options := &websocket.DialOptions{HTTPClient: p.node.client, HTTPHeader: header}
	conn, response, err := websocket.Dial(ctx, "ws://"+p.registration.Mesh.String()+Path, options)
	if err != nil {
		return nil, apcode.Wrapf(apcode.PeerUnreachable, err, "dial %s", p.registration.Name)
	}
	if err := proof.verifyReply(p.node.options.Key, response.Header); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return conn, nil
}

// writeLoop sends queued frames, heartbeats first.
func (p *peer) writeLoop(ctx context.Context, conn *websocket.Conn) error {
	for {
		var data []byte
		select {
		case data = <-p.heartbeats:
		default:
			select {
			case data = <-p.heartbeats:
			case data = <-p.sendQueue:
			case <-p.stopped:
				return apcode.Errorf(apcode.PeerUnreachable, "stopped")
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := p.write(ctx, conn, data); err != nil {
			return err
		}
	}
}

func (p *peer) write(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p.node.count("Mesh.FramesSent", 1)
	p.node.count("Mesh.BytesSent", int64(len(data)))
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// readLoop delivers replies. It fails when nothing arrives for SuspectAfter, because the peer acknowledges
// several heartbeats within that time.
func (p *peer) readLoop(ctx context.Context, conn *websocket.Conn) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, p.node.options.SuspectAfter)
		_, data, err := conn.Read(readCtx)
		cancel()
		if err != nil {
			return apcode.Wrapf(apcode.PeerUnreachable, err, "read from %s", p.registration.Name)
		}
		p.node.count("Mesh.BytesReceived", int64(len(data)))
		frame, message, err := DecodeFrame(data)
		if err != nil {
			p.node.count("Mesh.BadFrames", 1)
			continue
		}
		if frame.Call == heartbeatCall {
			p.node.recordAck(p.registration.Name)
			continue
		}
		p.deliverReply(frame.Call, message)
	}
}

// deliverReply passes a reply to its call, unless the call has ended.
func (p *peer) deliverReply(call uint64, message Message) {
	p.mu.Lock()
	waiter, ok := p.pendingCalls[call]
	delete(p.pendingCalls, call)
	p.mu.Unlock()
	if ok {
		waiter <- message
	}
}

func (p *peer) setConnected(connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected = connected
}

// failPendingCalls ends the pending calls with ReplyLost, because replies cannot arrive on another connection.
func (p *peer) failPendingCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for call, waiter := range p.pendingCalls {
		waiter <- Failure{Code: apcode.ReplyLost, Detail: "connection lost"}
		delete(p.pendingCalls, call)
	}
}

// sendHeartbeat queues a heartbeat and replaces an older one that was not sent.
func (p *peer) sendHeartbeat(data []byte) {
	select {
	case <-p.heartbeats:
	default:
	}
	select {
	case p.heartbeats <- data:
	default:
	}
}

// send queues a message that has no reply.
func (p *peer) send(message Message) error { return p.enqueue(EncodeFrame(message, 0, false)) }

// enqueue queues a frame. It fails at once with SendQueueFull when the queue is full.
func (p *peer) enqueue(data []byte) error {
	select {
	case p.sendQueue <- data:
		return nil
	default:
		p.node.count("Mesh.Dropped", 1)
		return apcode.Errorf(apcode.SendQueueFull, "send queue to %s is full", p.registration.Name)
	}
}

// call sends a message and waits for the reply. Without a connection it fails at once: if it queued the
// message, calls whose callers have given up would fill the queue and be sent when the peer reconnects.
func (p *peer) call(ctx context.Context, message Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	waiter := make(chan Message, 1)
	p.mu.Lock()
	if !p.connected {
		p.mu.Unlock()
		return nil, apcode.Errorf(apcode.PeerUnreachable, "no connection to %s", p.registration.Name)
	}
	p.lastCall++
	call := p.lastCall
	p.pendingCalls[call] = waiter
	p.mu.Unlock()
	defer p.removeCall(call)
	if err := p.enqueue(EncodeFrame(message, call, false)); err != nil {
		return nil, err
	}
	select {
	case reply := <-waiter:
		if failure, ok := reply.(Failure); ok {
			return nil, apcode.Errorf(failure.Code, "%s: %s", p.registration.Name, failure.Detail)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, apcode.Errorf(apcode.ReplyLost, "no reply from %s", p.registration.Name)
	case <-p.stopped:
		return nil, apcode.Errorf(apcode.ReplyLost, "%s has left or its connection was stopped", p.registration.Name)
	}
}

func (p *peer) removeCall(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingCalls, call)
}
