package apsoak_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"auburnport/internal/apsoak"
)

// serveEcho starts a server that sends back what it receives, and returns its address.
func serveEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	group := &errgroup.Group{}
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has ended.
			}
			group.Go(func() error {
				_, _ = io.Copy(conn, conn)
				return conn.Close()
			})
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, proxy *apsoak.Proxy) *client {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c.conn, "ping\n")
	assert.NilError(t, err)
}

// receive reports whether a line was received within a time.
func (c *client) receive(wait time.Duration) (bool, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := c.reader.ReadString('\n')
	return line == "ping\n", err
}

const (
	longWait  = 10 * time.Second
	shortWait = 100 * time.Millisecond
)

func newProxy(t *testing.T) *apsoak.Proxy {
	t.Helper()
	group := &errgroup.Group{}
	proxy, err := apsoak.NewProxy(group, serveEcho(t))
	assert.NilError(t, err)
	t.Cleanup(func() {
		proxy.Close()
		assert.NilError(t, group.Wait())
	})
	return proxy
}

// Data that a link holds, in either direction or both, is delivered when the link is opened again.
func TestProxyDeliversHeldDataAfterReopening(t *testing.T) {
	for _, link := range []apsoak.LinkState{apsoak.LinkHoldBoth, apsoak.LinkHoldResponses, apsoak.LinkHoldRequests} {
		proxy := newProxy(t)
		c := dial(t, proxy)
		c.send(t)
		received, _ := c.receive(longWait)
		assert.Assert(t, received)
		proxy.SetLink(link)
		c.send(t)
		received, _ = c.receive(shortWait)
		assert.Assert(t, !received, "%s", link)
		proxy.SetLink(apsoak.LinkOpen)
		received, _ = c.receive(longWait)
		assert.Assert(t, received, "%s", link)
	}
}

// A stalled connection stays stalled after the link is opened again, while new connections work.
func TestProxyStallsOpenConnections(t *testing.T) {
	proxy := newProxy(t)
	old := dial(t, proxy)
	old.send(t)
	received, _ := old.receive(longWait)
	assert.Assert(t, received)
	proxy.SetLink(apsoak.LinkStallOpen)
	proxy.SetLink(apsoak.LinkOpen)
	old.send(t)
	received, err := old.receive(shortWait)
	var timeout net.Error
	assert.Assert(t, !received && errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	fresh := dial(t, proxy)
	fresh.send(t)
	received, _ = fresh.receive(longWait)
	assert.Assert(t, received)
}

func TestProxyResetsConnections(t *testing.T) {
	proxy := newProxy(t)
	c := dial(t, proxy)
	c.send(t)
	received, _ := c.receive(longWait)
	assert.Assert(t, received)
	proxy.SetLink(apsoak.LinkReset)
	received, err := c.receive(longWait)
	assert.Assert(t, !received && err != nil)
	fresh := dial(t, proxy)
	fresh.send(t)
	received, _ = fresh.receive(longWait)
	assert.Assert(t, received)
}

// Guards against a run that never ends: a worker that starts while the run ends gets a proxy, whose goroutine must end
// as well.
func TestProxyAddedAfterClosingEnds(t *testing.T) {
	group := &errgroup.Group{}
	proxies := apsoak.NewProxySet(group)
	_, err := proxies.Add(serveEcho(t))
	assert.NilError(t, err)
	proxies.Close()
	address, err := proxies.Add(serveEcho(t))
	assert.NilError(t, err)
	ended := make(chan error, 1)
	waiting := &errgroup.Group{}
	waiting.Go(func() error {
		ended <- group.Wait()
		return nil
	})
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(longWait):
		t.Fatal("a proxy is still running")
	}
	_, err = net.Dial("tcp", address.String())
	assert.Assert(t, err != nil, "the proxy accepts connections after the set was closed")
}
