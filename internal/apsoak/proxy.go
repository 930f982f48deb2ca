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

// Link is how a proxy treats what passes.
type Link uint8

// States of a link.
const (
	// LinkOpen passes everything.
	LinkOpen Link = iota
	// LinkDelayed holds each chunk for linkDelay.
	LinkDelayed
	// LinkCut holds both directions, LinkDeaf what the server says, LinkMute what the client says. What is
	// held arrives when the link heals.
	LinkCut
	LinkDeaf
	LinkMute
	// LinkReset resets all connections once, LinkSilenced holds those that are open for good; new ones
	// pass.
	LinkReset
	LinkSilenced
)

const (
	linkDelay = 80 * time.Millisecond
	// holdStep is how often a held chunk looks whether it may pass.
	holdStep   = 10 * time.Millisecond
	chunkBytes = 16 << 10
	dialTime   = 2 * time.Second
)

// String returns the name.
func (l Link) String() string {
	return [...]string{"Open", "Delayed", "Cut", "Deaf", "Mute", "Reset", "Silenced"}[l]
}

// Proxy passes connections on to one address, through a link that may be harmed.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    *errgroup.Group

	mu    sync.Mutex
	link  Link
	conns map[*pair]bool
	ended bool
}

// pair is one connection through a proxy.
type pair struct {
	client, server net.Conn
	silenced       bool
}

// NewProxy listens on loopback in front of an address. Errors: BadAddress.
func NewProxy(group *errgroup.Group, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, apcode.Wrapf(apcode.BadAddress, err, "proxy")
	}
	p := &Proxy{listener: listener, target: target, group: group, conns: make(map[*pair]bool)}
	group.Go(func() error {
		p.accept()
		return nil
	})
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// accept serves until the listener is closed.
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
	server, err := net.DialTimeout("tcp", p.target.String(), dialTime)
	if err != nil {
		reset(client)
		return
	}
	one := &pair{client: client, server: server}
	p.mu.Lock()
	p.conns[one] = true
	ended := p.ended
	p.mu.Unlock()
	if !ended {
		both := &errgroup.Group{}
		both.Go(func() error { p.pump(one, client, server, LinkMute); return nil })
		both.Go(func() error { p.pump(one, server, client, LinkDeaf); return nil })
		_ = both.Wait()
	}
	one.close()
	p.mu.Lock()
	delete(p.conns, one)
	p.mu.Unlock()
}

// pump passes one direction on, which a link in the state held stops.
func (p *Proxy) pump(one *pair, from io.Reader, to net.Conn, held Link) {
	defer one.close()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if !p.pass(one, held) {
				return
			}
			if _, werr := to.Write(chunk[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until a chunk may go on, and reports false when the proxy has ended.
func (p *Proxy) pass(one *pair, held Link) bool {
	delayed := false
	for {
		p.mu.Lock()
		link, silenced, ended := p.link, one.silenced, p.ended
		p.mu.Unlock()
		switch {
		case ended:
			return false
		case silenced || link == LinkCut || link == held:
			time.Sleep(holdStep)
		case link == LinkDelayed && !delayed:
			delayed = true
			time.Sleep(linkDelay)
		default:
			return true
		}
	}
}

// Set changes the state of the link.
func (p *Proxy) Set(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	for one := range p.conns {
		switch link {
		case LinkReset:
			reset(one.client)
			reset(one.server)
		case LinkSilenced:
			one.silenced = true
		default:
		}
	}
}

// End closes the listener and every connection.
func (p *Proxy) End() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for one := range p.conns {
		one.close()
	}
}

func (o *pair) close() {
	_ = o.client.Close()
	_ = o.server.Close()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// proxies stand in front of workers, which come and go.
type proxies struct {
	group *errgroup.Group
	mu    sync.Mutex
	all   map[netip.AddrPort]*Proxy
}

func newProxies(group *errgroup.Group) *proxies {
	return &proxies{group: group, all: make(map[netip.AddrPort]*Proxy)}
}

// add puts a proxy in front of an address.
func (p *proxies) add(target netip.AddrPort) (netip.AddrPort, error) {
	one, err := NewProxy(p.group, target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[one.Address()] = one
	return one.Address(), nil
}

// set changes the link behind an address.
func (p *proxies) set(address netip.AddrPort, link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.all[address]; one != nil {
		one.Set(link)
	}
}

// heal opens every link.
func (p *proxies) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.all {
		one.Set(LinkOpen)
	}
}

func (p *proxies) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.all {
		one.End()
	}
}

func pause(ctx context.Context, d time.Duration) bool { return apstore.Pause(ctx, d) }
