package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// engineListener accepts the connections of an engine.
type engineListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (l *engineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	e := l.engine
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	return &engineConn{Conn: c, engine: e}, nil
}

// engineConn is a connection of an engine, which can write an answer a second time.
type engineConn struct {
	net.Conn
	engine *engine

	mu     sync.Mutex
	answer bytes.Buffer // guarded by mu; of the current request
	again  bool         // guarded by mu; it is to be written once more
}

// Write implements net.Conn.
func (c *engineConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.answer.Len() < 4<<10 {
		c.answer.Write(p)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *engineConn) Close() error {
	c.engine.mu.Lock()
	delete(c.engine.conns, c.Conn)
	c.engine.mu.Unlock()
	return c.Conn.Close()
}

// beginAnswer states that another request was read. The earlier answer is written again if that is due.
func (c *engineConn) beginAnswer() {
	c.mu.Lock()
	again, earlier := c.again, bytes.Clone(c.answer.Bytes())
	c.again = false
	c.answer.Reset()
	c.mu.Unlock()
	if again {
		c.engine.set.record.add("engine %s writes an earlier answer once more", c.engine.id)
		_, _ = c.Conn.Write(earlier)
	}
}

// doubleAnswer makes the current answer be written once more where the next one is expected.
func (c *engineConn) doubleAnswer() {
	c.mu.Lock()
	c.again = true
	c.mu.Unlock()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *engineConn { return r.Context().Value(connKey{}).(*engineConn) }
