package aprelay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 200 * time.Millisecond
	// maxIdleConns is the number of unused connections kept to one peer, idleTimeout how long the peer keeps one.
	maxIdleConns = 4
	idleTimeout  = 30 * time.Second
	// maxFrameBytes bounds a message: the store splits long replies into pages of about 1 MB.
	maxFrameBytes = 8 << 20
)

// connPool holds connections to peers. A connection carries one call at a time.
type connPool struct {
	http *http.Client
	mu   sync.Mutex
	idle map[netip.AddrPort][]*websocket.Conn
}

func newConnPool() *connPool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &connPool{
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		idle: make(map[netip.AddrPort][]*websocket.Conn),
	}
}

// call sends a request through one peer. Without an answer the error is StoreUnavailable if the request was not sent, or
// has no effect, and otherwise StoreUnknown.
func (p *connPool) call(ctx context.Context, peer netip.AddrPort, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+peerTimeout)
	defer cancel()
	conn, err := p.take(ctx, peer)
	if err != nil {
		return outcome{err: apcode.Wrapf(apcode.StoreUnavailable, err, "connect to entry at %s", peer)}
	}
	answer, err := exchange(ctx, conn, r)
	if err != nil {
		_ = conn.CloseNow()
		code := apcode.StoreUnavailable
		if r.Operation == opCommit {
			code = apcode.StoreUnknown
		}
		return outcome{err: apcode.Wrapf(code, err, "call through entry at %s", peer)}
	}
	p.put(peer, conn)
	if answer.Code != apcode.OK {
		return outcome{answer: answer, err: apcode.Errorf(answer.Code, "through entry at %s: %s", peer, answer.Detail)}
	}
	return outcome{answer: answer}
}

// exchange sends a request and reads its reply.
func exchange(ctx context.Context, conn *websocket.Conn, r request) (answer reply, err error) {
	if err := conn.Write(ctx, websocket.MessageBinary, apfleet.Encode(r)); err != nil {
		return answer, err
	}
	_, data, err := conn.Read(ctx)
	if err != nil {
		return answer, err
	}
	return answer, apfleet.Decode(data, &answer)
}

// take returns an unused connection to a peer, or opens one.
func (p *connPool) take(ctx context.Context, peer netip.AddrPort) (*websocket.Conn, error) {
	p.mu.Lock()
	if n := len(p.idle[peer]); n > 0 {
		conn := p.idle[peer][n-1]
		p.idle[peer] = p.idle[peer][:n-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	conn, _, err := websocket.Dial(ctx, "ws://"+peer.String()+Path, &websocket.DialOptions{HTTPClient: p.http})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

// put keeps a connection for the next call.
func (p *connPool) put(peer netip.AddrPort, conn *websocket.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[peer]) >= maxIdleConns {
		_ = conn.CloseNow()
		return
	}
	p.idle[peer] = append(p.idle[peer], conn)
}
