package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
)

// scriptedEngine is a fake engine whose hooks can break connections. It keeps the
// tokens of each generation, and each token's text names the generation, the engine
// that made it and its offset.
type scriptedEngine struct {
	name   string
	length int
	// beforeToken runs before a token is sent; false breaks the connection.
	beforeToken func(generation string, offset int) bool
	// onRequest is called with every request.
	onRequest func(r *http.Request)
	server    *httptest.Server

	mu          sync.Mutex
	generations map[string][]string // guarded by mu; tokens by generation id
	starts      int                 // guarded by mu
	canceled    []string            // guarded by mu
}

func newEngine(t testing.TB, name string, length int) *scriptedEngine {
	e := &scriptedEngine{name: name, length: length, generations: make(map[string][]string), beforeToken: func(string, int) bool { return true }, onRequest: func(*http.Request) {}}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *scriptedEngine) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.onRequest(r)
	id := strings.TrimPrefix(r.URL.Path, "/v1/generations/")
	switch r.Method {
	case http.MethodDelete:
		e.mu.Lock()
		e.canceled = append(e.canceled, id)
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		e.mu.Lock()
		tokens, known := e.generations[id]
		e.mu.Unlock()
		if !known {
			problem.Write(w, problem.New(problem.KindNotFound, http.StatusNotFound, problem.RanUnknown, "start", "unknown"))
			return
		}
		e.send(w, id, tokens, offset)
	default:
		var request engine.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		e.send(w, request.ID, e.start(request), request.Offset)
	}
}

func (e *scriptedEngine) start(request engine.GenerateRequest) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tokens, known := e.generations[request.ID]; known {
		return tokens
	}
	e.starts++
	tokens := append([]string(nil), request.Prefix...)
	for i := len(tokens); i < e.length; i++ {
		tokens = append(tokens, fmt.Sprintf("%s:%s:%d ", request.ID[:4], e.name, i))
	}
	e.generations[request.ID] = tokens
	return tokens
}

func (e *scriptedEngine) send(w http.ResponseWriter, id string, tokens []string, offset int) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	for i := offset; i < len(tokens); i++ {
		if !e.beforeToken(id, i) {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(engine.Token{Generation: id, Offset: i, Text: tokens[i]})
		fmt.Fprintf(w, "event: token\ndata: %s\n\n", data)
		_ = control.Flush()
	}
	data, _ := json.Marshal(engine.Done{Generation: id, Tokens: len(tokens), Reason: engine.FinishStop})
	fmt.Fprintf(w, "event: done\ndata: %s\n\n", data)
}
