package apsoak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apstore"
)

// LinkState is how a proxy treats the data that it forwards.
type LinkState uint8

// States of a link.
const (
	// LinkOpen forwards everything at once.
	LinkOpen LinkState = iota
	// LinkDelayed holds each chunk for linkDelay.
	LinkDelayed
	// LinkHoldBoth holds the data in both directions, LinkHoldResponses the data from the server, and
	// LinkHoldRequests the data from the client. Held data is delivered when the link is opened again.
	LinkHoldBoth
	LinkHoldResponses
	LinkHoldRequests
	// LinkReset resets the open connections once. LinkStallOpen forwards nothing more on the open connections,
	// even after the state changes. Both treat new connections as LinkOpen does.
	LinkReset
	LinkStallOpen
)

const (
	linkDelay = 80 * time.Millisecond
	// holdPollInterval is how often it is checked whether a held chunk may be forwarded.
	holdPollInterval = 10 * time.Millisecond
	chunkBytes       = 16 << 10
	dialTimeout      = 2 * time.Second
)

// String returns the name of the state.
func (l LinkState) String() string {
	return [...]string{"Open", "Delayed", "Cut", "Deaf", "Mute", "Reset", "Silenced"}[l]
}

// Proxy forwards connections to one address and can disturb them as the LinkState says.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    *errgroup.Group

	mu     sync.Mutex
	link   LinkState
	conns  map[*connPair]bool
	closed bool
}

// connPair is one connection through a proxy: one to the client and one to the server.
type connPair struct {
	client, server net.Conn
	stalled        bool
}

// NewProxy starts a proxy that listens on loopback and forwards to the target. Errors: BadAddress.
func NewProxy(group *errgroup.Group, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadAddress, err, "proxy")
	}
	p := &Proxy{listener: listener, target: target, group: group, conns: make(map[*connPair]bool)}
	group.Go(func() error {
		p.accept()
		return nil
	})
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	pair := &connPair{client: client, server: server}
	p.mu.Lock()
	p.conns[pair] = true
	closed := p.closed
	p.mu.Unlock()
	if !closed {
		directions := &errgroup.Group{}
		directions.Go(func() error { p.forward(pair, client, server, LinkHoldRequests); return nil })
		directions.Go(func() error { p.forward(pair, server, client, LinkHoldResponses); return nil })
		_ = directions.Wait()
	}
	pair.close()
	p.mu.Lock()
	delete(p.conns, pair)
	p.mu.Unlock()
}

// forward copies one direction of a connection. In blockingState, data in this direction is held.
func (p *Proxy) forward(pair *connPair, from io.Reader, to net.Conn, blockingState LinkState) {
	defer pair.close()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if !p.waitToForward(pair, blockingState) {
				return
			}
			if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until a chunk may be forwarded, and reports false if the proxy was closed.
func (p *Proxy) waitToForward(pair *connPair, blockingState LinkState) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, stalled, closed := p.link, pair.stalled, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case stalled || link == LinkHoldBoth || link == blockingState:
			time.Sleep(holdPollInterval)
		case link == LinkDelayed && !delayed:
			delayed = true
			time.Sleep(linkDelay)
		default:
			return true
		}
	}
}

// SetLink sets the state of the link.
func (p *Proxy) SetLink(link LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	for pair := range p.conns {
		switch link {
		case LinkReset:
			reset(pair.client)
			reset(pair.server)
		case LinkStallOpen:
			pair.stalled = true
		default:
		}
	}
}

// Close closes the listener and every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for pair := range p.conns {
		pair.close()
	}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// ProxySet holds the proxies in front of the workers, of which new ones are started during a run.
type ProxySet struct {
	group     *errgroup.Group
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*Proxy
	// closed means that a proxy which is added is closed at once.
	closed bool
}

// NewProxySet returns an empty set whose proxies run in the group.
func NewProxySet(group *errgroup.Group) *ProxySet {
	return &ProxySet{group: group, byAddress: make(map[netip.AddrPort]*Proxy)}
}

// Add starts a proxy in front of an address and returns the proxy's address. After Close the proxy refuses all
// connections, so that a worker which starts while the run ends leaves nothing behind. Errors: BadAddress.
func (p *ProxySet) Add(target netip.AddrPort) (netip.AddrPort, error) {
	proxy, err := NewProxy(p.group, target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress[proxy.Address()] = proxy
	if p.closed {
		proxy.Close()
	}
	return proxy.Address(), nil
}

// setLink sets the link state of the proxy with an address, if there is one.
func (p *ProxySet) setLink(address netip.AddrPort, link LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if proxy := p.byAddress[address]; proxy != nil {
		proxy.SetLink(link)
	}
}

// openAll opens every link.
func (p *ProxySet) openAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byAddress {
		proxy.SetLink(LinkOpen)
	}
}

// Close closes every proxy.
func (p *ProxySet) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, proxy := range p.byAddress {
		proxy.Close()
	}
}

// pause waits for a time, and reports false if ctx has ended before.
func pause(ctx context.Context, d time.Duration) bool { return apstore.Sleep(ctx, d) }
