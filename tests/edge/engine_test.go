package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventEvery is the time between two events of the stand-in engines.
const eventEvery = 5 * time.Millisecond

// engineServer is a stand-in of a model engine: it streams numbered events and
// moves the memory of runs to other stand-ins.
type engineServer struct {
	*httptest.Server
	id   string
	all  *engineSet
	busy chan struct{} // closed when the first run begins

	mu       sync.Mutex
	runs     map[string]*engineRun // guarded by mu; by request id
	starts   []string              // guarded by mu; request ids that began here anew
	resumed  []string              // guarded by mu; request ids that went on here
	canceled []string              // guarded by mu; request ids whose caller left
	copies   map[string]*engineRun // guarded by mu; by handle
	onMove   func(final bool)      // guarded by mu; called before a move answers
	hangs    bool                  // guarded by mu; takes requests and never answers
	once     sync.Once
}

type engineRun struct {
	id     string
	events int // made so far
	total  int
	stop   chan struct{} // closed by the final copy
}

// engineSet knows the stand-ins by address.
type engineSet struct {
	mu     sync.Mutex
	byAddr map[string]*engineServer
}

func (f *fleet) engine(set *engineSet, id string) *engineServer {
	e := &engineServer{id: id, all: set, busy: make(chan struct{}), runs: map[string]*engineRun{}, copies: map[string]*engineRun{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /corianderhitch/kv-move", e.move)
	mux.HandleFunc("DELETE /corianderhitch/kv-handle/{id}", e.release)
	mux.HandleFunc("GET /corianderhitch/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"state":"ready","running":1}`))
	})
	mux.HandleFunc("/", e.stream)
	e.Server = httptest.NewServer(mux)
	f.t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	set.mu.Lock()
	set.byAddr[e.address()] = e
	set.mu.Unlock()
	f.register(id, engines, e.address(), "ready")
	return e
}

func (e *engineServer) address() string { return e.Listener.Addr().String() }

func (e *engineServer) stream(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	hangs := e.hangs
	e.mu.Unlock()
	if hangs {
		e.note(&e.starts, r.Header.Get("Request-Id"))
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection after that only
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	run, from := e.begin(r)
	if run == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(run)
	w.Header().Set("Request-Id", run.id)
	w.Header().Set("Response-Signature", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := from + 1; n <= run.total; n++ {
		select {
		case <-run.stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			e.note(&e.canceled, run.id)
			panic(http.ErrAbortHandler)
		case <-time.After(eventEvery):
		}
		if !e.made(run, n) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, run.id); err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := control.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// made counts an event unless the run was stopped for its final copy.
func (e *engineServer) made(run *engineRun, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-run.stop:
		return false
	default:
		run.events = n
		return true
	}
}

func (e *engineServer) begin(r *http.Request) (*engineRun, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Request-Id")
	_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	run := &engineRun{id: id, total: tokens / 4, stop: make(chan struct{})}
	from := 0
	if copyFrom := r.Header.Get("Kv-From"); copyFrom != "" {
		_, handle, _ := strings.Cut(copyFrom, "/")
		if c := e.copies[handle]; c == nil || c.id != id {
			return nil, 0
		}
		delete(e.copies, handle)
		from, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.resumed = append(e.resumed, id)
	} else {
		e.starts = append(e.starts, id)
	}
	run.events = from
	e.runs[id] = run
	e.once.Do(func() { close(e.busy) })
	return run, from
}

func (e *engineServer) end(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[run.id] == run {
		delete(e.runs, run.id)
	}
}

func (e *engineServer) move(w http.ResponseWriter, r *http.Request) {
	var args struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&args); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run, onMove := e.runs[args.ID], e.onMove
	events := 0
	if run != nil {
		if args.Last {
			close(run.stop)
		}
		events = run.events
	}
	e.mu.Unlock()
	if run == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := e.all.copyTo(args.To, &engineRun{id: run.id, events: events, total: run.total})
	if onMove != nil {
		onMove(args.Last)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "createdRev": events})
}

func (s *engineSet) copyTo(address string, run *engineRun) string {
	s.mu.Lock()
	dest := s.byAddr[address]
	s.mu.Unlock()
	handle := "h-" + run.id
	dest.mu.Lock()
	dest.copies[handle] = run
	dest.mu.Unlock()
	return handle
}

func (e *engineServer) release(w http.ResponseWriter, r *http.Request) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	for _, other := range e.all.byAddr {
		other.mu.Lock()
		delete(other.copies, r.PathValue("id"))
		other.mu.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}

func (e *engineServer) note(list *[]string, id string) {
	e.mu.Lock()
	*list = append(*list, id)
	e.mu.Unlock()
}

func (e *engineServer) list(which *[]string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), *which...)
}

func (e *engineServer) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.copies)
}

// crash ends the engine without notice.
func (e *engineServer) crash() {
	_ = e.Listener.Close()
	e.CloseClientConnections()
}

// closedAddress is one where nothing listens.
func closedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func draft(ctx context.Context, h *host, id string, events int) *http.Request {
	r := h.request(ctx, http.MethodPost, "draft", id, []byte("prompt"))
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", fmt.Sprintf("1000,%d", events*4))
	r.Header.Set("Prompt-Prefix", "aa:100,bb:900")
	return r
}

func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s\n\n", n, n, id)
	}
	return b.String()
}
