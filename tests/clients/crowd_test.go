package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"corianderhitch/platform/headers"
)

const (
	// crowdTime is how long a crowd is at work before the ordinary request.
	crowdTime = 4 * time.Second
	// returnDelay is after how long a client whose connection was closed comes back.
	returnDelay = 200 * time.Millisecond
)

// client is one connection of a hostile client.
type client struct {
	conn   net.Conn
	failed bool // a write failed
}

// write writes text unless an earlier write failed.
func (c *client) write(text string) {
	if c.failed {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	_, err := io.WriteString(c.conn, text)
	c.failed = err != nil
}

// status reads the head of an answer and returns its status, 0 if none came.
func (c *client) status() int {
	_ = c.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// awaitClose reads until the host closes the connection or an answer of a kept connection has come.
func (c *client) awaitClose() {
	_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.Copy(io.Discard, c.conn)
}

// head returns the head of a request with a body of the given length, chunked if that is negative. lines are
// further header lines, each with its line end.
func head(id, path, lines string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s%s\r\n\r\n",
		path, id, requestTimeout.Milliseconds(), apiKey, lines, framing)
}

// startCrowd runs n clients until the test ends. A client whose connection was closed comes back. It
// returns when the crowd has been at work for crowdTime.
func startCrowd(t *testing.T, h *host, n int, act func(i int, id string, c *client)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				conn, err := net.DialTimeout("tcp", h.address, time.Second)
				if err == nil {
					leave := context.AfterFunc(ctx, func() { _ = conn.Close() })
					act(i, fmt.Sprintf("crowd-%d-%d", i, round), &client{conn: conn})
					leave()
					_ = conn.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(returnDelay):
				}
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	time.Sleep(crowdTime)
}

// maxHeadBytes is the size that the configuration allows for the head of a request, less what
// head adds to the lines.
const maxHeadBytes = 16384 - 300

// fill returns lines up to maxHeadBytes, at most most of them.
func fill(most int, line func(i int) string) string {
	var b strings.Builder
	for i := range most {
		l := line(i)
		if b.Len()+len(l) > maxHeadBytes {
			break
		}
		b.WriteString(l)
	}
	return b.String()
}

// name returns the i-th name of a header line, as short as it can be.
func name(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	text := ""
	for i++; i > 0; i /= len(letters) {
		text += string(letters[i%len(letters)])
	}
	return text
}

// oddHeads are the header lines of requests of legal size that cost the most memory.
var oddHeads = []string{
	fill(1<<20, func(i int) string { return name(i) + ":\r\n" }),
	fill(1<<20, func(int) string { return "a:\r\n" }),
	fill(1<<20, func(i int) string { return name(i) + ":x\r\n" }),
	fill(1<<20, func(i int) string { return "!#$%&'*+-." + name(i) + ": \t y\r\n" }),
	fill(900, func(i int) string { return "x-ab-cd-" + name(i) + ": z\r\n" }),
	headers.PromptPrefix + ": " + strings.Repeat("a:1,", maxHeadBytes/4-10) + "b:1\r\n" + headers.TokenUsage + ": 800,160\r\n",
}
