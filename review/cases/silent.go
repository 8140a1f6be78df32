package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/relay"
)

const (
	silentHosts  = 6
	applyWithin  = 2 * time.Second // configApplyMs
	silenceTime  = 5 * time.Second // of the store for two hosts; up to 9 s in the site file
	calmTime     = 5 * time.Second // longer than contactMs
	silentRounds = 8
	probeTime    = 3200 * time.Millisecond // from the acknowledgement on
	probePause   = 40 * time.Millisecond
)

// storeProxy is the way of one host to the store. While it is silent, nothing goes through, and new
// connections are accepted but not served.
type storeProxy struct {
	listener net.Listener
	store    string
	silent   atomic.Bool

	mu    sync.Mutex
	conns []net.Conn // guarded by mu
}

func newStoreProxy(store string) (*storeProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: listener, store: store}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *storeProxy) serve(host net.Conn) {
	store, err := net.Dial("tcp", p.store)
	if err != nil {
		_ = host.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, host, store)
	p.mu.Unlock()
	go p.relay(store, host)
	p.relay(host, store)
}

// relay copies from one connection to the other. Bytes that come during a silence are lost, and the
// connection stays silent from then on.
func (p *storeProxy) relay(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if lost = lost || p.silent.Load(); err == nil && lost {
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || !lost {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}

// end ends the silence. What was silent is reset, as by a peer that has no such connection.
func (p *storeProxy) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.conns = nil
	p.silent.Store(false)
}

// silentCase is a run of the case.
type silentCase struct {
	f         *fleet
	ran       runs
	proxies   []*storeProxy   // of the hosts
	following map[string]bool // names of the hosts that follow the store for the others
}

// keys returns the keys of the tenant in a round. One is withdrawn in each.
func keys(round int, withdrawn bool) []string {
	out := []string{"spare-key-of-the-tenant"}
	for i := round; i < silentRounds; i++ {
		if i > round || !withdrawn {
			out = append(out, fmt.Sprintf("%s-%d", firstKey, i))
		}
	}
	return out
}

// start starts the servers and the hosts, each with a way of its own to the store.
func (c *silentCase) start() error {
	if err := c.f.startDesk(&c.ran, 15*time.Millisecond); err != nil {
		return err
	}
	if err := c.f.putConfiguration(deskConfiguration(keys(0, false), []string{secondKey})); err != nil {
		return err
	}
	var named []relay.Host
	for range silentHosts {
		proxy, err := newStoreProxy(c.f.address)
		if err != nil {
			return err
		}
		c.f.storeAddress = proxy.listener.Addr().String()
		h, err := c.f.startHost()
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, proxy)
		named = append(named, relay.Host{Name: h.name, CPUs: 0.4, Mbps: 1000})
	}
	time.Sleep(calmTime)
	for _, hub := range relay.ChooseHubs(named) {
		c.following[hub.Name] = true
	}
	c.f.rec.line("the hosts that follow the store for the others: %v", c.following)
	return nil
}

// setSilent makes the store fall silent for the hosts that follow it, or answer them again.
func (c *silentCase) setSilent(silent bool) {
	for i, h := range c.f.hosts {
		switch {
		case !c.following[h.name]:
		case silent:
			c.proxies[i].silent.Store(true)
			c.f.rec.line("platform: the store does not answer %s any more", h.name)
		default:
			c.proxies[i].end()
			c.f.rec.line("platform: the store answers %s again", h.name)
		}
	}
}

// silentStore withdraws a key while the store doesn't answer two of six hosts, those that follow it
// for the others, and sends requests with the key to the other four.
func silentStore(f *fleet, trouble bool) ([]string, error) {
	c := &silentCase{f: f, following: make(map[string]bool)}
	if err := c.start(); err != nil {
		return nil, err
	}
	var breaks []string
	for round := range silentRounds {
		if trouble {
			c.setSilent(true)
		}
		if err := f.putConfiguration(deskConfiguration(keys(round, true), []string{secondKey})); err != nil {
			return nil, err
		}
		breaks = append(breaks, f.probeWithdrawn(&c.ran, round, c.following)...)
		time.Sleep(silenceTime - probeTime)
		if trouble {
			c.setSilent(false)
		}
		time.Sleep(calmTime + rand.N(time.Second)) // the hosts confirm the configuration about once a second
	}
	return breaks, nil
}

// probeWithdrawn sends requests with the key that was withdrawn just now to the hosts that the store
// serves all the time, and returns which ran although they were sent too late.
func (f *fleet) probeWithdrawn(ran *runs, round int, disturbed map[string]bool) []string {
	acknowledged := time.Now()
	key := fmt.Sprintf("%s-%d", firstKey, round)
	var mu sync.Mutex
	var breaks []string
	var wait sync.WaitGroup
	for i := 0; time.Since(acknowledged) < probeTime; i++ {
		for _, h := range f.hosts {
			if disturbed[h.name] {
				continue
			}
			wait.Go(func() {
				id := fmt.Sprintf("probe-%d-%d-%s", round, i, h.name)
				sentAfter := time.Since(acknowledged)
				sendHold(f, h, id, key)
				if n := ran.of(id); n > 0 && sentAfter > applyWithin {
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("CONFIG: %s ran with the withdrawn key, sent %d ms after the acknowledgement", id, sentAfter.Milliseconds()))
					mu.Unlock()
				}
			})
		}
		time.Sleep(probePause)
	}
	wait.Wait()
	return breaks
}
