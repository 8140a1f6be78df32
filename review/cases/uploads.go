package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyBytes     = 4194304     // limits.maxBodyBytes
	uploadTime    = time.Second // of one body; all of a burst together take 0.8 of the host's link
	uploadClients = 24
	draftClients  = 6
	deskWork      = 110 * time.Millisecond // of one request at the desk
	maxUnanswered = 3                      // requests that were passed on and not answered, which LOST allows
	uploadWait    = 10 * time.Second       // deadline of an upload
	memoryCheck   = 5 * time.Millisecond
)

// memoryGuard is the platform's memory limit of one process: it kills a process that exceeds it.
type memoryGuard struct {
	most   atomic.Int64 // bytes
	killed atomic.Bool
	done   chan struct{}
}

func (f *fleet) guardMemory(h *host) *memoryGuard {
	g := &memoryGuard{done: make(chan struct{})}
	go func() {
		for {
			select {
			case <-g.done:
				return
			case <-time.After(memoryCheck):
			}
			bytes := residentBytes(h.pid())
			g.most.Store(max(g.most.Load(), bytes))
			if bytes > hostMemoryMB<<20 {
				g.killed.Store(true)
				f.rec.line("platform: %s uses %d MB, more than its %d MB, and is killed", h.name, bytes>>20, hostMemoryMB)
				h.kill()
				return
			}
		}
	}()
	return g
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(status))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// upload is a client's connection that has been used for a request before.
type upload struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openUpload(h *host, id string) (*upload, error) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	u := &upload{conn: conn, reader: bufio.NewReader(conn)}
	if status, err := u.send(id, nil, 0); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("first request %s: status %d, %v", id, status, err)
	}
	return u, nil
}

// send sends a request whose body takes so long, and returns the status of a complete answer.
func (u *upload) send(id string, body []byte, took time.Duration) (int, error) {
	return u.sendTo(holdRoute, "", id, body, took)
}

func (u *upload) sendTo(route, headers, id string, body []byte, took time.Duration) (int, error) {
	wait := uploadWait
	if route == draftRoute {
		wait = draftWait
	}
	_ = u.conn.SetDeadline(time.Now().Add(wait))
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		route, siteHost, id, wait.Milliseconds(), firstKey, headers, len(body))
	if _, err := io.WriteString(u.conn, head); err != nil {
		return 0, err
	}
	const pieces = 64
	for i := range pieces {
		if _, err := u.conn.Write(body[len(body)*i/pieces : len(body)*(i+1)/pieces]); err != nil {
			return 0, err
		}
		time.Sleep(took / pieces)
	}
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// uploadCase is a run of the case.
type uploadCase struct {
	f    *fleet
	host *host
	ran  runs
	body []byte
	// unanswered counts the requests that had been passed on and got no answer, unread those that
	// got none before.
	unanswered, unread atomic.Int64
}

// upload sends a request with a large body.
func (c *uploadCase) upload(i int, u *upload) {
	id := fmt.Sprintf("upload-%d", i)
	status, err := u.sendTo(holdRoute, "", id, c.body, uploadTime)
	c.note(id, status, err)
}

// draft sends a request for a stream.
func (c *uploadCase) draft(i int, u *upload) {
	id := fmt.Sprintf("draft-%d", i)
	status, err := u.sendTo(draftRoute, "Model: m\r\nToken-Usage: 800,160\r\nPrompt-Prefix: 5c1e07a2:80,"+id+":720\r\n", id, []byte("prompt"), 0)
	c.note(id, status, err)
}

// note records how a request ended; status is 0 if no head of an answer came.
func (c *uploadCase) note(id string, status int, err error) {
	reached := c.ran.of(id)
	c.f.rec.line("client: %s: status %d, error %v, reached a server %d times", id, status, err, reached)
	switch {
	case status != 0:
	case reached > 0:
		c.unanswered.Add(1)
	default:
		c.unread.Add(1)
	}
}

// open opens connections and sends a first request on each.
func (c *uploadCase) open(n int, name string) ([]*upload, error) {
	var out []*upload
	for i := range n {
		u, err := openUpload(c.host, fmt.Sprintf("first-%s-%d", name, i))
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

// start starts the servers and the host.
func (c *uploadCase) start() error {
	if err := c.f.startDesk(&c.ran, deskWork); err != nil {
		return err
	}
	if err := c.f.startEngines(&c.ran); err != nil {
		return err
	}
	configuration := deskConfiguration([]string{firstKey}, []string{secondKey})
	configuration["routes"].([]any)[0].(map[string]any)["timeoutMs"] = uploadWait.Milliseconds()
	addDrafts(configuration)
	if err := c.f.putConfiguration(configuration); err != nil {
		return err
	}
	h, err := c.f.startHost()
	c.host = h
	return err
}

// largeUploads sends requests with the largest body that the configuration allows, all at once
// with the disruption, one after the other without it, and a few streams.
func largeUploads(f *fleet, trouble bool) ([]string, error) {
	c := &uploadCase{f: f, body: bytes.Repeat([]byte("x"), bodyBytes)}
	if err := c.start(); err != nil {
		return nil, err
	}
	guard := f.guardMemory(c.host)
	var wait sync.WaitGroup
	var drafts []*upload
	if trouble {
		clients, err := c.open(uploadClients, "upload")
		if err == nil {
			drafts, err = c.open(draftClients, "draft")
		}
		if err != nil {
			return nil, err
		}
		for i, u := range clients {
			wait.Go(func() { c.upload(i, u) })
		}
		time.Sleep(uploadTime / 4)
	} else {
		for i := range uploadClients {
			clients, err := c.open(1, fmt.Sprintf("upload-%d", i))
			if err != nil {
				return nil, err
			}
			c.upload(i, clients[0])
		}
		var err error
		if drafts, err = c.open(draftClients, "draft"); err != nil {
			return nil, err
		}
	}
	for i, u := range drafts {
		wait.Go(func() { c.draft(i, u) })
	}
	wait.Wait()
	close(guard.done)
	f.rec.line("most memory of %s: %d MB, killed for it: %t; requests that had been passed on and got no answer: %d; requests that got none before: %d",
		c.host.name, guard.most.Load()>>20, guard.killed.Load(), c.unanswered.Load(), c.unread.Load())
	if n := c.unanswered.Load(); n > maxUnanswered {
		return []string{fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound servers and got no answer", n)}, nil
	}
	return nil, nil
}
