package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/platform/headers"
)

// Figures of engines.
const (
	promptPerMS   = 14                    // prompt tokens that are read in a millisecond
	copyPerToken  = 55 * time.Microsecond // 262,144 bytes over 38,000 Mbit/s
	eventInterval = 60 * time.Millisecond
)

// span is a time in which an engine worked on a request.
type span struct {
	engine, id string
	continued  bool      // from memory
	from, to   time.Time // to is zero while it works
}

// engines finds engines by their addresses.
type engines struct {
	record *record
	mu     sync.Mutex
	spans  []*span            // guarded by mu
	byAddr map[string]*engine // guarded by mu
	all    []*engine          // guarded by mu
}

func newEngines(r *record) *engines { return &engines{record: r, byAddr: make(map[string]*engine)} }

// generation is a run at an engine, or the memory of one.
type generation struct {
	owner  string // ID of the request whose memory it is
	tokens int    // in memory at its begin
	events int    // made, guarded by the engine's mu
	moving bool   // guarded by the engine's mu; a call to move it is in progress
	lost   bool   // guarded by the engine's mu; its answer is to be lost, it goes on without a caller
	stop   chan struct{}
}

// engine is a stand-in of a model server. It is safe for concurrent use.
type engine struct {
	id, zone, address string
	born              int64
	set               *engines
	listener          net.Listener
	server            *http.Server
	// failing makes it reset failingShare of its requests before it does anything for them.
	failing atomic.Bool
	// hanging makes it never answer hangingShare of its requests, for which it does nothing.
	hanging atomic.Bool
	// doubles is how many answers to calls for copies may still be written a second time.
	doubles atomic.Int32
	answers atomic.Int32 // given since the last reset of the count

	reading sync.Mutex // held while the engine reads a prompt, one after the other

	mu     sync.Mutex
	got    map[string]bool        // guarded by mu; IDs of the requests that it began
	runs   map[string]*generation // guarded by mu; by request ID
	copies map[string]*generation // guarded by mu; by address of the source and handle
	conns  map[net.Conn]bool      // guarded by mu
}

// start serves an engine.
func (s *engines) start(id, zone string, listener net.Listener) *engine {
	e := &engine{id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), set: s, listener: listener,
		got: make(map[string]bool), runs: make(map[string]*generation), copies: make(map[string]*generation), conns: make(map[net.Conn]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /corianderhitch/kv-move", e.serveMove)
	mux.HandleFunc("DELETE /corianderhitch/kv-handle/{id}", e.serveRelease)
	mux.HandleFunc("GET /corianderhitch/report", e.serveReport)
	mux.HandleFunc("/", e.serveStream)
	e.server = &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connOf(r).beginAnswer()
		if e.failing.Load() && rand.Float64() < failingShare {
			e.set.record.add("engine %s resets a request: %s %s", e.id, r.Method, r.URL.Path)
			reset(connOf(r).Conn)
			return
		}
		if e.hanging.Load() && rand.Float64() < hangingShare {
			e.set.record.add("engine %s does not answer a request: %s %s", e.id, r.Method, r.URL.Path)
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
			<-r.Context().Done()
			return
		}
		e.answers.Add(1)
		mux.ServeHTTP(w, r)
	})}
	s.mu.Lock()
	s.byAddr[e.address] = e
	s.all = append(s.all, e)
	s.mu.Unlock()
	go func() { _ = e.server.Serve(&engineListener{listener, e}) }()
	return e
}

func (s *engines) at(address string) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddr[address]
}

// begin records that an engine begins to work on a request.
func (s *engines) begin(e *engine, id string, continued bool) *span {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &span{engine: e.id, id: id, continued: continued, from: time.Now()}
	s.spans = append(s.spans, p)
	return p
}

func (s *engines) end(p *span) {
	s.mu.Lock()
	p.to = time.Now()
	s.mu.Unlock()
	s.record.add("engine %s worked on %s for %v", p.engine, p.id, p.to.Sub(p.from).Round(time.Millisecond))
}

// resetCounts begins to count the answers of all engines anew.
func (s *engines) resetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		e.answers.Store(0)
	}
}

func (s *engines) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		_ = e.server.Close()
	}
}

// crash ends the engine: all its connections are reset.
func (e *engine) crash() {
	e.set.record.add("engine %s crashes", e.id)
	e.set.mu.Lock()
	if e.set.byAddr[e.address] == e {
		delete(e.set.byAddr, e.address)
	}
	e.set.mu.Unlock()
	_ = e.listener.Close()
	e.mu.Lock()
	conns := e.conns
	e.conns = make(map[net.Conn]bool)
	e.mu.Unlock()
	for c := range conns {
		reset(c)
	}
	_ = e.server.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serveStream starts or continues a run.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	if r.Header.Get(headers.Target) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	in, out := tokenUsage(r)
	run := &generation{owner: id, tokens: in, stop: make(chan struct{})}
	if from := r.Header.Get(headers.ContinueFrom); from != "" {
		kept := e.take(from)
		e.set.record.add("engine %s is asked to continue %s from %s, the memory of %s", e.id, id, from, ownerOf(kept))
		if kept == nil {
			w.Header().Set(headers.NotExecuted, "1")
			w.Header().Set(headers.RequestID, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		run.owner = kept.owner
		run.events, _ = strconv.Atoi(r.Header.Get(headers.LastEvent))
	} else {
		e.set.record.add("engine %s gets %s", e.id, id)
	}
	e.mu.Lock()
	e.runs[id], e.got[id] = run, true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[id] == run {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	if r.Header.Get(headers.ContinueFrom) == "" {
		e.reading.Lock()
		time.Sleep(time.Duration(in/promptPerMS) * time.Millisecond)
		e.reading.Unlock()
	}
	e.stream(w, r, run, id, out/streamStride)
}

func ownerOf(g *generation) string {
	if g == nil {
		return "none"
	}
	return g.owner
}

// stream writes the events of a run. The head is sent with the first one.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, run *generation, id string, events int) {
	flush := http.NewResponseController(w).Flush
	w.Header().Set(headers.RequestID, id)
	w.Header().Set(headers.Signature, "signed by "+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	span := e.set.begin(e, id, r.Header.Get(headers.ContinueFrom) != "")
	defer e.set.end(span)
	gone := r.Context().Done()
	for {
		select {
		case <-run.stop:
			panic(http.ErrAbortHandler) // closed without its end
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-time.After(eventInterval):
		}
		n, lost := e.produce(run, events)
		switch {
		case n < 0:
			panic(http.ErrAbortHandler)
		case n == 0 && gone == nil:
			panic(http.ErrAbortHandler)
		case n == 0:
			return
		case lost && gone != nil:
			e.set.record.add("engine %s resets the connection of %s and goes on with it", e.id, id)
			gone = nil
			reset(connOf(r).Conn)
		}
		if gone == nil {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, run.owner); err != nil || flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// produce makes the next event of a run and returns its number, 0 if there are no more and -1 if the run
// was stopped. lost reports whether the run's answer is lost.
func (e *engine) produce(run *generation, events int) (n int, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-run.stop:
		return -1, false
	default:
	}
	if run.events >= events {
		return 0, run.lost
	}
	run.events++
	return run.events, run.lost
}

// loseAnswers makes the engine lose the answers of n runs whose ID begins with prefix.
func (e *engine) loseAnswers(n int, prefix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, run := range e.runs {
		if n > 0 && strings.HasPrefix(id, prefix) {
			run.lost = true
			n--
		}
	}
}

func tokenUsage(r *http.Request) (in, out int) {
	a, b, _ := strings.Cut(r.Header.Get(headers.TokenUsage), ",")
	in, _ = strconv.Atoi(strings.TrimSpace(a))
	out, _ = strconv.Atoi(strings.TrimSpace(b))
	return in, out
}

// take removes and returns the memory from which a request continues, nil if there is none.
func (e *engine) take(from string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.copies[from]
	delete(e.copies, from)
	return kept
}

// handleOf returns the handle of a run's copy: a later one to the same engine replaces the earlier one.
func handleOf(id string, dest *engine) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+" "+dest.id)
	return fmt.Sprintf("%016x", h.Sum64())
}

// serveMove copies the memory of a run.
func (e *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run, status := e.beginMove(call.ID, call.Last)
	if run == nil {
		e.set.record.add("engine %s answers the move of %s (last %v): %d", e.id, call.ID, call.Last, status)
		w.WriteHeader(status)
		return
	}
	time.Sleep(time.Duration(e.tokensToCopy(run, call.ID, call.To)) * copyPerToken)
	status, handle, events := e.copyTo(run, call.ID, call.To, call.Last)
	e.set.record.add("engine %s answers the move of %s (last %v): %d, handle %s", e.id, call.ID, call.Last, status, handle)
	if status == http.StatusOK && !call.Last && e.doubles.Add(-1) >= 0 {
		connOf(r).doubleAnswer()
		e.set.record.add("engine %s will write the answer for %s once more, before the next answer on that connection", e.id, call.ID)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if handle != "" {
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "createdRev": events})
	}
}

// tokensToCopy returns how many tokens of a run its destination lacks.
func (e *engine) tokensToCopy(run *generation, id, to string) int {
	e.mu.Lock()
	tokens := run.tokens + run.events*streamStride
	e.mu.Unlock()
	dest := e.set.at(to)
	if dest == nil {
		return tokens
	}
	dest.mu.Lock()
	defer dest.mu.Unlock()
	if kept := dest.copies[e.address+"/"+handleOf(id, dest)]; kept != nil {
		tokens -= kept.tokens + kept.events*streamStride
	}
	return max(0, tokens)
}

// beginMove returns the run to move, and otherwise the status of the answer.
func (e *engine) beginMove(id string, last bool) (*generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.runs[id]
	switch {
	case run == nil:
		return nil, http.StatusNotFound
	case run.moving:
		return nil, http.StatusConflict
	}
	run.moving = true
	if last {
		delete(e.runs, id)
		close(run.stop)
	}
	return run, 0
}

// copyTo stores the copy at its destination, and what a stopped run leaves also here.
func (e *engine) copyTo(run *generation, id, to string, last bool) (status int, handle string, events int) {
	dest := e.set.at(to)
	e.mu.Lock()
	run.moving = false
	kept := &generation{owner: run.owner, tokens: run.tokens, events: run.events}
	if dest != nil {
		handle = handleOf(id, dest)
	}
	if last {
		if handle == "" {
			handle = handleOf(id, e)
		}
		e.copies[e.address+"/"+handle] = kept
	}
	e.mu.Unlock()
	if dest == nil {
		return http.StatusServiceUnavailable, handle, kept.events
	}
	if dest != e {
		key := e.address + "/" + handle
		dest.mu.Lock()
		dest.copies[key] = kept
		dest.mu.Unlock()
	}
	return http.StatusOK, handle, kept.events
}

// serveRelease frees memory at both ends.
func (e *engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	key := e.address + "/" + r.PathValue("id")
	e.set.mu.Lock()
	all := append([]*engine(nil), e.set.all...)
	e.set.mu.Unlock()
	for _, other := range all {
		other.take(key)
	}
	w.WriteHeader(http.StatusOK)
}

// serveReport answers a question for the engine's load.
func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	used, running := 0, len(e.runs)
	for _, run := range e.runs {
		used += run.tokens + run.events*streamStride
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "busy": false, "sequence": 0, "queued": 0, "running": running, "kvUsed": used, "kvTotal": memoryTokens, "handles": 0, "state": "ready"})
}

// began reports whether the engine has begun a request.
func (e *engine) began(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.got[id]
}

// running returns how many runs whose ID begins with prefix the engine executes.
func (e *engine) running(prefix string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for id := range e.runs {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}
