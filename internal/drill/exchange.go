package drill

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"corianderhitch/internal/drill/record"
)

// exchange is one request and its response on a connection.
type exchange struct {
	call   *call
	conn   *connection
	result *record.Request
}

// run sends the request and reads the response. It reports whether the connection can be
// used again.
func (e *exchange) run() bool {
	_ = e.conn.SetDeadline(e.until())
	e.result.Sent = time.Now()
	writeErr := e.write()
	if writeErr == nil {
		e.result.SentWhole = time.Now()
	}
	if e.call.slowReader > 0 {
		e.conn.readSlowly(e.call.slowReader)
	}
	reusable, err := e.read()
	e.conn.pause = 0
	if err != nil {
		e.result.Error = err.Error()
		e.result.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	return reusable && writeErr == nil
}

// until returns when the caller stops waiting for the next byte.
func (e *exchange) until() time.Time {
	until := e.call.deadline()
	if e.call.leaveAfter > 0 {
		until = earlier(until, e.call.began.Add(e.call.leaveAfter))
	}
	if e.call.kind.Kind == record.Streaming {
		until = earlier(until, time.Now().Add(e.call.patience()))
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// patience returns the gap between events after which callers abandon a stream.
func (c *call) patience() time.Duration {
	const least, ofObjective, ofGap = 2 * time.Second, 4, 8
	return max(least, ofObjective*c.kind.Objective, ofGap*c.kind.GapObjective)
}

// write sends the request.
func (e *exchange) write() error {
	c := e.call
	p := c.client.traffic.fleet.platform
	request := c.request
	request.ID, request.Deadline = e.result.ID, time.Until(c.deadline())
	header := p.RequestHeader(&request)
	host, _ := p.Address(c.kind.Name)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.kind.Method, c.path, host)
	_ = header.Write(&head)
	body := c.body
	if c.kind.Method != http.MethodGet {
		if c.chunked {
			head.WriteString("Transfer-Encoding: chunked\r\n")
			body = chunk(body)
		} else {
			fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
		}
	}
	head.WriteString("\r\n")
	if c.slowBody == 0 || len(body) == 0 {
		_, err := e.conn.Write(append(head.Bytes(), body...))
		return err
	}
	if _, err := e.conn.Write(head.Bytes()); err != nil {
		return err
	}
	time.Sleep(c.slowBody / 2)
	if _, err := e.conn.Write(body[:len(body)/2]); err != nil {
		return err
	}
	time.Sleep(c.slowBody / 2)
	_, err := e.conn.Write(body[len(body)/2:])
	return err
}

// chunk encodes a body in two chunks.
func chunk(body []byte) []byte {
	var out bytes.Buffer
	for _, part := range [][]byte{body[:len(body)/2], body[len(body)/2:]} {
		if len(part) > 0 {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		}
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

// read reads the response. It reports whether the connection can be used again.
func (e *exchange) read() (reusable bool, err error) {
	response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.call.kind.Method})
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	r := e.result
	r.HeadAt, r.Status = time.Now(), response.StatusCode
	r.Signed = e.call.client.traffic.fleet.platform.Signed(response.Header)
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if e.call.kind.Kind == record.Streaming && response.StatusCode == http.StatusOK {
		err = e.readEvents(response.Body)
		r.Complete = err == nil && r.Events == r.Expected
	} else {
		_, err = io.Copy(io.Discard, response.Body)
		r.Complete = err == nil
	}
	return err == nil && !response.Close, err
}

// readEvents counts the events of a stream.
func (e *exchange) readEvents(body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		_ = e.conn.SetReadDeadline(e.until())
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		text, found := strings.CutPrefix(line, "id: ")
		if !found {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || n != e.result.Events+1 {
			return fmt.Errorf("event %q follows event %d", strings.TrimSpace(text), e.result.Events)
		}
		e.result.Events = n
	}
}
