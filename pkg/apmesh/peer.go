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
	// heartbeatCall is the call number of every heartbeat; other calls have higher ones.
	heartbeatCall = 1

	dialTimeout   = time.Second
	writeTimeout  = time.Second
	callTimeout   = 2 * time.Second
	minRedial     = 50 * time.Millisecond
	maxRedial     = 2 * time.Second
	maxFrameBytes = 8 << 20
)

// peer is the outgoing connection to one entry. Replies come back on the same connection.
type peer struct {
	node         *Node
	registration apfleet.Registration
	queue        chan []byte
	beats        chan []byte
	ended        chan struct{}
	once         sync.Once

	mu sync.Mutex
	// connected tells that a connection stands.
	connected bool
	nextCall  uint64
	waiting   map[uint64]chan Message
}

func newPeer(n *Node, registration apfleet.Registration) *peer {
	return &peer{
		node:         n,
		registration: registration,
		queue:        make(chan []byte, n.options.SendQueue),
		beats:        make(chan []byte, 1),
		ended:        make(chan struct{}),
		nextCall:     heartbeatCall,
		waiting:      make(map[uint64]chan Message),
	}
}

func (p *peer) stop() { p.once.Do(func() { close(p.ended) }) }

// run dials with backoff until the peer is stopped.
func (p *peer) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, p.stop)
	defer stop()
	delay := minRedial
	for {
		started := time.Now()
		err := p.session(ctx)
		select {
		case <-p.ended:
			return nil
		default:
		}
		if time.Since(started) > maxRedial {
			delay = minRedial
		}
		p.node.options.Logger.WithError(err).WithField("Peer", p.registration.Name).WithField("Event", "MeshDisconnected").Debug()
		p.node.count("Mesh.Disconnects", 1)
		if !p.pause(delay/2 + rand.N(delay/2)) {
			return nil
		}
		delay = min(2*delay, maxRedial)
	}
}

func (p *peer) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ended:
		return false
	}
}

// session dials and serves one connection until it fails, goes silent or the peer is stopped.
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
	p.failWaiting()
	return err
}

func (p *peer) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	proof := newProof(p.node.options.Key, p.node.self.Name, p.registration.Name, time.Now())
	header := make(http.Header)
	proof.set(header)
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

func (p *peer) writeLoop(ctx context.Context, conn *websocket.Conn) error {
	for {
		var data []byte
		select {
		case data = <-p.beats:
		default:
			select {
			case data = <-p.beats:
			case data = <-p.queue:
			case <-p.ended:
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

// readLoop takes replies. A connection on which nothing arrives for SuspectAfter has gone silent:
// heartbeats are confirmed several times within that time.
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
			p.node.acked(p.registration.Name)
			continue
		}
		p.deliver(frame.Call, message)
	}
}

func (p *peer) deliver(call uint64, message Message) {
	p.mu.Lock()
	waiter, ok := p.waiting[call]
	delete(p.waiting, call)
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

// failWaiting ends the calls whose reply can no longer come.
func (p *peer) failWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for call, waiter := range p.waiting {
		waiter <- Failure{Code: apcode.ReplyLost, Detail: "connection lost"}
		delete(p.waiting, call)
	}
}

func (p *peer) sendHeartbeat(data []byte) {
	select {
	case <-p.beats:
	default:
	}
	select {
	case p.beats <- data:
	default:
	}
}

func (p *peer) send(message Message) error { return p.enqueue(EncodeFrame(message, 0, false)) }

func (p *peer) enqueue(data []byte) error {
	select {
	case p.queue <- data:
		return nil
	default:
		p.node.count("Mesh.Dropped", 1)
		return apcode.Errorf(apcode.SendQueueFull, "to %s", p.registration.Name)
	}
}

// call sends a message and waits for the reply. Without a connection it fails at once, so that no calls pile
// up that nobody waits for any more when the peer comes back.
func (p *peer) call(ctx context.Context, message Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	waiter := make(chan Message, 1)
	p.mu.Lock()
	if !p.connected {
		p.mu.Unlock()
		return nil, apcode.Errorf(apcode.PeerUnreachable, "no connection to %s", p.registration.Name)
	}
	p.nextCall++
	call := p.nextCall
	p.waiting[call] = waiter
	p.mu.Unlock()
	defer p.forget(call)
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
	case <-p.ended:
		return nil, apcode.Errorf(apcode.ReplyLost, "%s has left", p.registration.Name)
	}
}

func (p *peer) forget(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, call)
}
