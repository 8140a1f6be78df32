package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// runLog holds where requests ran, by their IDs. It is safe for concurrent use.
type runLog struct {
	mu       sync.Mutex
	runs     map[string][]string // guarded by mu
	rejected int                 // guarded by mu
}

func (l *runLog) begin(id, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], target)
}

func (l *runLog) reject() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
}

// fickleTarget rejects some requests, and runs others but loses their answers. On kept connections it
// writes earlier answers once more.
type fickleTarget struct {
	id       string
	runs     *runLog
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand // guarded by mu
}

func startFickleTarget(t *testing.T, id string, runs *runLog, seed uint64, n int) *fickleTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &fickleTarget{id: id, runs: runs, listener: listener, random: rand.New(rand.NewPCG(seed, uint64(100+n)))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

// draw returns a number below n.
func (f *fickleTarget) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fickleTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the request is incomplete
		}
		answer, goesOn := f.answer(r, last)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !goesOn {
			if f.draw(2) == 0 {
				standin.Reset(conn)
			}
			return
		}
		last = answer
	}
}

// answer runs or rejects a request. It returns what is written, and whether the connection is kept.
func (f *fickleTarget) answer(r *http.Request, last string) (text string, goesOn bool) {
	id := r.Header.Get(headers.RequestID)
	notRun := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, headers.RequestID, id, headers.NotExecuted)
	}
	stale := ""
	if f.draw(5) == 0 {
		stale = last
	}
	if r.Header.Get(headers.Target) != f.id {
		return stale + notRun(http.StatusMisdirectedRequest), true
	}
	if f.draw(4) == 0 {
		f.runs.reject()
		return stale + notRun([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[f.draw(3)]), true
	}
	f.runs.begin(id, f.id)
	time.Sleep(time.Duration(f.draw(60)) * time.Millisecond)
	whole := runAnswer(id, r.Header.Get(headers.TokenUsage) != "")
	switch f.draw(16) {
	case 0:
		return stale, false
	case 1:
		return stale + whole[:f.draw(len(whole))], false
	case 2:
		return strings.Replace(whole, "200 OK", "500 E", 1), true
	case 3:
		return strings.Replace(whole, headers.Signature, "X-Unsigned", 1), true
	case 4:
		return "nonsense\r\n\r\n" + whole, false
	}
	return stale + whole, true
}

// runAnswer returns the answer to a call, or the stream of a generation.
func runAnswer(id string, stream bool) string {
	contentType, body := "text/plain", "done"
	if stream {
		contentType, body = "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", headers.RequestID, id, headers.Signature, contentType, len(body), body)
}

// sorted returns the IDs of all requests that ran.
func (l *runLog) sorted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// of returns the targets at which a request ran.
func (l *runLog) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}
