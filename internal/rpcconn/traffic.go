package rpcconn

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the connections that it wraps. It is safe for
// concurrent use.
type Traffic struct {
	in  atomic.Int64 // bytes
	out atomic.Int64 // bytes
}

// In returns the number of bytes read so far.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the number of bytes written so far.
func (t *Traffic) Out() int64 { return t.out.Load() }

// Dialer returns a Dialer whose connections are counted.
func (t *Traffic) Dialer(dial Dialer) Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// SetLinger sets how a close of a connection over TCP treats unsent data, as net.TCPConn does.
func (c *countedConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}
