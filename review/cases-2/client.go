package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"corianderhitch/platform/headers"
)

// retryPause is how long a caller waits after a request without a complete answer.
const retryPause = 300 * time.Millisecond

// client is a caller with one connection that it keeps for many requests.
type client struct {
	record  *record
	address string
	conn    net.Conn
	reader  *bufio.Reader
	served  int // requests that were answered on the connection
}

// answer is what a caller got.
type answer struct {
	kept    bool // the connection had served a request before
	status  int  // 0 if there was no answer
	events  int
	foreign string // an event of another request, "" if there was none
	err     error  // why the answer is incomplete
}

// request describes a stream that a caller asks for.
type request struct {
	id, route string
	in, out   int // tokens
	deadline  time.Duration
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer until ctx ends, which closes the connection.
func (c *client) send(ctx context.Context, q request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	a := answer{kept: c.served > 0}
	conn := c.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	body := "prompt " + q.id
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m\r\n%s: %d,%d\r\n%s: %s:%d\r\n%s: %d\r\n%s: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		q.route, callersHost, headers.RequestID, q.id, headers.Model, headers.TokenUsage, q.in, q.out, headers.PromptPrefix, q.id, q.in,
		headers.Deadline, q.deadline.Milliseconds(), headers.Credentials, apiKey, len(body), body)
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.close()
		a.err = err
		return a
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		a.err = err
		return a
	}
	a.status = response.StatusCode
	a.events, a.foreign, a.err = readEvents(response.Body, q.id)
	if a.err != nil || response.Close {
		c.close()
	}
	c.served++
	return a
}

// readEvents counts the events of a stream and returns the first that belongs to another request.
func readEvents(body io.Reader, id string) (events int, foreign string, err error) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events++
			if foreign == "" && !strings.HasSuffix(strings.TrimSpace(data), " of "+id) {
				foreign = strings.TrimSpace(data)
			}
		}
		if errors.Is(err, io.EOF) {
			return events, foreign, nil
		}
		if err != nil {
			return events, foreign, err
		}
	}
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, %d events, kept connection %v", a.status, a.events, a.kept)
	if a.foreign != "" {
		text += ", an event of another request: " + a.foreign
	}
	if a.err != nil {
		text += ", incomplete: " + a.err.Error()
	}
	return text
}

// crowd is a number of callers that send one request after the other.
type crowd struct {
	wait   sync.WaitGroup
	cancel context.CancelFunc

	mu      sync.Mutex
	answers map[string]answer // guarded by mu; by request ID
}

// startCrowd starts n callers of each host.
func startCrowd(f *fleet, n int, pause time.Duration, q request) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	crowd := &crowd{cancel: cancel, answers: make(map[string]answer)}
	for _, h := range f.hosts {
		for k := range n {
			crowd.wait.Go(func() {
				c := &client{record: f.record, address: h.caller()}
				defer c.close()
				for i := 0; ctx.Err() == nil; i++ {
					r := q
					r.id = fmt.Sprintf("%s-%s-%d-%d", q.route, h.name, k, i)
					a := c.send(ctx, r)
					if ctx.Err() == nil {
						crowd.note(f.record, h, r.id, a)
					}
					rest := pause
					if a.err != nil {
						rest = retryPause
					}
					select {
					case <-ctx.Done():
					case <-time.After(rest):
					}
				}
			})
		}
	}
	return crowd
}

func (c *crowd) note(r *record, h *hostProcess, id string, a answer) {
	r.add("%s by way of %s: %v", id, h.name, a)
	c.mu.Lock()
	c.answers[id] = a
	c.mu.Unlock()
}

func (c *crowd) stop() {
	c.cancel()
	c.wait.Wait()
}

// startStreams sends one long request each on n connections of each host.
func startStreams(f *fleet, n int, q request) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	crowd := &crowd{cancel: cancel, answers: make(map[string]answer)}
	for _, h := range f.hosts {
		for k := range n {
			crowd.wait.Go(func() {
				c := &client{record: f.record, address: h.caller()}
				defer c.close()
				r := q
				r.id = fmt.Sprintf("%s-%s-%d", q.id, h.name, k)
				if a := c.send(ctx, r); ctx.Err() == nil || a.foreign != "" {
					crowd.note(f.record, h, r.id, a)
				}
			})
		}
	}
	return crowd
}
