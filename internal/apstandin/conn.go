package apstandin

import (
	"net"
	"sync/atomic"
)

// trackingListener registers the connections of a backend server, so that they can be made unresponsive.
type trackingListener struct {
	net.Listener
	backend *backend
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, backend: l.backend, closed: make(chan struct{})}
	l.backend.mu.Lock()
	l.backend.conns[c] = struct{}{}
	open := len(l.backend.conns)
	l.backend.mu.Unlock()
	l.backend.recorder.observeConnections(open)
	return c, nil
}

// conn is a connection that can be made unresponsive. While silent is set, Read blocks until the
// connection is closed, and Write discards its data but reports success.
type conn struct {
	net.Conn
	backend     *backend
	silent      atomic.Bool
	closeCalled atomic.Bool
	closed      chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closeCalled.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	close(c.closed)
	c.backend.mu.Lock()
	delete(c.backend.conns, c)
	c.backend.mu.Unlock()
	return c.Conn.Close()
}
