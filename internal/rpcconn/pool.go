// Package rpcconn carries net/rpc calls between the processes of the system: a
// client pool with one connection per peer, deadlines and reconnection, and a server
// whose Stop closes all connections.
package rpcconn

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Sentinel errors of a Pool. Test with errors.Is.
var (
	// ErrNotSent means that the call was not sent, so the peer has not executed it.
	ErrNotSent = eris.New("rpc: peer is not reachable and the call was not sent; try another host")
	// ErrBroken means that the connection broke or the deadline passed after the
	// call was sent, so the peer may have executed it.
	ErrBroken = eris.New("rpc: no answer from the peer; the call may have been executed")
)

// RemoteError is an error that the method returned at the peer.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "rpc: peer answered: " + e.Message }

// Dialer opens a connection to ip:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// dialTimeout bounds the wait for a connection, so that a call to an unreachable host
// fails over well within a second.
const dialTimeout = 500 * time.Millisecond

// TCP dials without TLS.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Pool holds one client connection per peer. It is safe for concurrent use.
type Pool struct {
	dial Dialer

	mu      sync.Mutex
	clients map[string]*rpc.Client // guarded by mu
	closed  bool                   // guarded by mu
}

// NewPool returns an empty pool that connects with dial.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, clients: make(map[string]*rpc.Client)}
}

// Call runs a method on the peer and waits for its reply or the end of ctx. It returns
// ErrNotSent, ErrBroken or a *RemoteError. After ErrBroken, reply may still be written
// to and must not be read.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// net/rpc may still write to reply later; the caller must not use it.
		return eris.Wrap(ErrBroken, ctx.Err().Error())
	case done := <-call.Done:
		return p.translateError(address, client, done.Error)
	}
}

// Close closes all connections. Later calls return ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}

// Disconnect closes the connection to a peer, for example after calls that timed out.
// The next call connects again.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	client := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// translateError turns an error of net/rpc into one of this package, and removes a
// client whose connection failed.
func (p *Pool) translateError(address string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &RemoteError{Message: string(remote)}
	}
	p.removeClient(address, client)
	if errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrap(ErrNotSent, address)
	}
	return eris.Wrapf(ErrBroken, "%s: %v", address, err)
}

// client returns the client for a peer, and connects if there is none.
func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client, closed := p.clients[address], p.closed
	p.mu.Unlock()
	if closed {
		return nil, eris.Wrap(ErrNotSent, "pool is closed")
	}
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
	}
	return p.storeUnlessPresent(address, rpc.NewClient(conn))
}

// storeUnlessPresent stores a new client and returns it. If a concurrent call has stored
// one, it closes the new client and returns the other one.
func (p *Pool) storeUnlessPresent(address string, fresh *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = fresh.Close()
		return nil, eris.Wrap(ErrNotSent, "pool is closed")
	}
	if other := p.clients[address]; other != nil {
		_ = fresh.Close()
		return other, nil
	}
	p.clients[address] = fresh
	return fresh, nil
}

func (p *Pool) removeClient(address string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = client.Close()
}
