package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	cutTime      = 5 * time.Second // between the model server and one of two hosts
	inTouchAfter = 4 * time.Second // longer than contactMs
	streamCount  = 6
	streamPause  = 400 * time.Millisecond // between the starts of two streams
	streamEvents = 300
	streamPace   = 100 * time.Millisecond // between two events, within gapAimMs
)

// cutListener resets the connections of one address while it is cut.
type cutListener struct {
	net.Listener
	cut atomic.Pointer[string] // IP address; nil for none

	mu    sync.Mutex
	conns []*net.TCPConn // guarded by mu
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp := conn.(*net.TCPConn)
		if l.isCut(tcp) {
			reset(tcp)
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, tcp)
		l.mu.Unlock()
		return conn, nil
	}
}

func (l *cutListener) isCut(c *net.TCPConn) bool {
	ip := l.cut.Load()
	return ip != nil && strings.HasPrefix(c.RemoteAddr().String(), *ip+":")
}

// begin begins a cut: open connections of the address are reset, new ones at once.
func (l *cutListener) begin(ip string) {
	l.cut.Store(&ip)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if l.isCut(c) {
			reset(c)
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// longEngine is a model server that streams slowly and has no room for copies, as there is no other one.
type longEngine struct {
	id  string
	f   *fleet
	ran *runs
	// sender is the IP address of the host that sent the latest request.
	sender atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (e *longEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path != "/"+draftRoute+"/x" || r.Header.Get("Expect-Instance") != e.id {
		(&engine{id: e.id, f: e.f, ran: e.ran}).ServeHTTP(w, r)
		return
	}
	e.ran.add(id)
	sender, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.sender.Store(&sender)
	e.f.rec.line("engine %s: runs %s for %s", e.id, id, sender)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(streamPace)
		if r.Context().Err() != nil {
			e.f.rec.line("engine %s: the connection of %s ended after event %d of %d", e.id, id, n-1, streamEvents)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = flush()
	}
	e.f.rec.line("engine %s: %s complete", e.id, id)
}

// stoppedHelper cuts one of three hosts off from the only model server. Streams of its clients go by way
// of another host, which is stopped as planned after the cut has ended.
func stoppedHelper(f *fleet, trouble bool) ([]string, error) {
	c := &uploadCase{f: f}
	if err := f.startDesk(&c.ran, deskWork); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, e := &cutListener{Listener: listener}, &longEngine{id: "i-5be0c3d7", f: f, ran: &c.ran}
	f.serve(link, e)
	if err := f.register(e.id, engineService, listener.Addr().String(), 24); err != nil {
		return nil, err
	}
	configuration := deskConfiguration([]string{firstKey}, []string{secondKey})
	addDrafts(configuration)
	if err := f.putConfiguration(configuration); err != nil {
		return nil, err
	}
	for range 3 {
		if _, err := f.startHost(); err != nil {
			return nil, err
		}
	}
	c.host = f.hosts[0]
	time.Sleep(calmTime) // the hosts know each other
	clients, err := c.open(streamCount, "stream")
	if err != nil {
		return nil, err
	}
	if trouble {
		if err := c.beginCut(link); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	var wait sync.WaitGroup
	for i, u := range clients {
		wait.Go(func() { c.stream(i, u) })
		time.Sleep(streamPause)
	}
	if trouble {
		time.Sleep(cutTime - time.Since(began))
		link.cut.Store(nil)
		f.rec.line("platform: the way between %s and the engine is sound again", c.host.name)
		time.Sleep(inTouchAfter)
		for _, h := range f.hosts[1:] {
			if h.front == *e.sender.Load()+":8740" {
				h.terminate(f.rec)
			}
		}
	}
	wait.Wait()
	f.rec.line("streams that had been passed on and ended without a complete answer: %d", c.unanswered.Load())
	if n := c.unanswered.Load(); n > maxUnanswered {
		return []string{fmt.Sprintf("LOST: %d streams of kept connections at %s, which nothing disturbed for %v, were passed on to a sound server and ended without a complete answer",
			n, c.host.name, inTouchAfter)}, nil
	}
	return nil, nil
}

// beginCut cuts the host off from the engine, and sends it a request by which it notices.
func (c *uploadCase) beginCut(link *cutListener) error {
	link.begin(strings.TrimSuffix(c.host.front, ":8740"))
	c.f.rec.line("platform: %s and the engine are cut off from each other", c.host.name)
	clients, err := c.open(1, "of-cut")
	if err != nil {
		return err
	}
	go func() { // it may be lost in the cut, which is no fault
		status, err := clients[0].sendTo(draftRoute, draftHeaders("noticing"), "noticing", []byte("prompt"), 0)
		c.f.rec.line("client: noticing: status %d, error %v", status, err)
	}()
	time.Sleep(500 * time.Millisecond)
	return nil
}

// stream sends a request for a long stream and notes whether it was complete.
func (c *uploadCase) stream(i int, u *upload) {
	id := fmt.Sprintf("stream-%d", i)
	status, err := u.sendTo(draftRoute, draftHeaders(id), id, []byte("prompt"), 0)
	c.f.rec.line("client: %s: status %d, error %v, ran %d times", id, status, err, c.ran.of(id))
	if (status == 0 || err != nil) && c.ran.of(id) > 0 {
		c.unanswered.Add(1)
	}
}

func draftHeaders(id string) string {
	return fmt.Sprintf("Model: m\r\nToken-Usage: 800,%d\r\nPrompt-Prefix: 5c1e07a2:80,%s:720\r\n", 4*streamEvents, id)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, in the background.
func (h *host) terminate(rec *record) {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	rec.line("platform: SIGTERM to %s", h.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, syscall.ESRCH) {
		rec.line("platform: %v", err)
	}
	go func() {
		select {
		case <-exited:
			rec.line("platform: %s has ended", h.name)
		case <-time.After(graceTime):
			rec.line("platform: SIGKILL to %s", h.name)
			h.kill()
		}
	}()
}
