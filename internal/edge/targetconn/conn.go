package targetconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/bootclock"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineWrite is the largest request that is written before the response is
	// read: it fits into the smallest socket buffers.
	maxInlineWrite = 8 << 10
)

// Conn is one connection to one incarnation of a target. It serves one request
// at a time.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	head     *headReader // source of reader
	key      string      // under which the pool keeps the connection
	openedAt bootclock.Instant
	usedAt   bootclock.Instant // 0 before the first use
	served   bool              // the target has answered a request
	done     bool              // one of the answers was not that the request conflicts with what the target does
	changed  bool              // one of the answers was neither such a conflict nor the success of a GET request
	// failed are the hashes of the IDs of requests that were answered with a failure, which the target may write
	// again. Callers choose the IDs, which may have 16 KB.
	failed      []uint64
	idleTimeout time.Duration // how long the target keeps the connection open when idle
}

func newConn(c net.Conn, key string) *Conn {
	head := &headReader{conn: c}
	return &Conn{Conn: c, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, key: key, openedAt: bootclock.Now(), idleTimeout: defaultIdleTimeout}
}

var errHeadTooLarge = errors.New("response heads exceed 64 KiB")

// headReader reads from a connection. While a head is read, it fails once the heads of the
// request have used up their bytes.
type headReader struct {
	conn    net.Conn
	reading bool // a head is read
	left    int  // bytes left for heads of the current request
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.reading {
		return h.conn.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// maxFailedIDs bounds Conn.failed.
const maxFailedIDs = 8

// mayAnswerAgain reports whether an answer to the request may still come from an earlier send of it on
// this connection.
func (c *Conn) mayAnswerAgain(requestID string) bool {
	return len(c.failed) > 0 && slices.Contains(c.failed, xxhash.Sum64String(requestID))
}

// noteAnswer records the answer to a request. It reports whether the connection may serve another one.
func (c *Conn) noteAnswer(req *Request, statedID string, status int) bool {
	isQuestion := req.Method == http.MethodGet && status == http.StatusOK
	c.served, c.done = true, c.done || status != http.StatusConflict
	c.changed = c.changed || status != http.StatusConflict && !isQuestion
	if req.ID == "" {
		return true
	}
	if status >= http.StatusBadRequest {
		c.failed = append(c.failed, xxhash.Sum64String(req.ID))
	}
	return statedID != "" && len(c.failed) < maxFailedIDs
}

// fresh reports whether the connection has not been used before.
func (c *Conn) fresh() bool { return c.usedAt == 0 }

// endReadsAfter makes the reads of the connection fail after d, unless stop is called before.
// stop reports whether it was; otherwise the connection cannot be read any more.
func (c *Conn) endReadsAfter(d time.Duration) (stop func() bool) {
	return time.AfterFunc(d, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }).Stop
}

// healthy reports whether an idle connection is still open and has received no
// unexpected bytes.
func (c *Conn) healthy() bool {
	return c.reader.Buffered() == 0 && bootclock.Since(c.usedAt) <= c.idleTimeout && c.open()
}

// open reports whether the peer has neither closed the connection nor sent anything.
func (c *Conn) open() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
