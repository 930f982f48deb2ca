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

// echo serves lines back.
func echo(t *testing.T) netip.AddrPort {
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
	conn  net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, proxy *apsoak.Proxy) *client {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn: conn, lines: bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c.conn, "ping\n")
	assert.NilError(t, err)
}

// receive returns whether a line came within a time.
func (c *client) receive(wait time.Duration) (bool, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := c.lines.ReadString('\n')
	return line == "ping\n", err
}

const (
	long  = 10 * time.Second
	short = 100 * time.Millisecond
)

func newProxy(t *testing.T) *apsoak.Proxy {
	t.Helper()
	group := &errgroup.Group{}
	proxy, err := apsoak.NewProxy(group, echo(t))
	assert.NilError(t, err)
	t.Cleanup(func() {
		proxy.End()
		assert.NilError(t, group.Wait())
	})
	return proxy
}

// What a link holds arrives when it heals, whichever direction was held.
func TestProxyHoldsUntilItHeals(t *testing.T) {
	for _, link := range []apsoak.Link{apsoak.LinkCut, apsoak.LinkDeaf, apsoak.LinkMute} {
		proxy := newProxy(t)
		c := dial(t, proxy)
		c.send(t)
		came, _ := c.receive(long)
		assert.Assert(t, came)
		proxy.Set(link)
		c.send(t)
		came, _ = c.receive(short)
		assert.Assert(t, !came, "%s", link)
		proxy.Set(apsoak.LinkOpen)
		came, _ = c.receive(long)
		assert.Assert(t, came, "%s", link)
	}
}

// A silenced connection stays so for good, while new ones pass.
func TestProxySilencesOpenConnections(t *testing.T) {
	proxy := newProxy(t)
	old := dial(t, proxy)
	old.send(t)
	came, _ := old.receive(long)
	assert.Assert(t, came)
	proxy.Set(apsoak.LinkSilenced)
	proxy.Set(apsoak.LinkOpen)
	old.send(t)
	came, err := old.receive(short)
	var timeout net.Error
	assert.Assert(t, !came && errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	fresh := dial(t, proxy)
	fresh.send(t)
	came, _ = fresh.receive(long)
	assert.Assert(t, came)
}

func TestProxyResetsConnections(t *testing.T) {
	proxy := newProxy(t)
	c := dial(t, proxy)
	c.send(t)
	came, _ := c.receive(long)
	assert.Assert(t, came)
	proxy.Set(apsoak.LinkReset)
	came, err := c.receive(long)
	assert.Assert(t, !came && err != nil)
	fresh := dial(t, proxy)
	fresh.send(t)
	came, _ = fresh.receive(long)
	assert.Assert(t, came)
}
