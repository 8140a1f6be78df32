package drill

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// connection is a caller's connection to a host.
type connection struct {
	net.Conn
	number   int
	host     *host
	reader   *bufio.Reader
	requests int // sent so far
	opened   time.Time
	idle     time.Time     // since when
	lastRead time.Time     // when the last byte arrived
	pause    time.Duration // between reads, of a slow reader
}

// connectTimeout is how long callers wait for a connection.
const connectTimeout = time.Second

// slowReaderBuffer is the receive buffer of slow readers.
const slowReaderBuffer = 4 << 10

var connectionNumber atomic.Int64

func dial(h *host, address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, number: int(connectionNumber.Add(1)), host: h, opened: time.Now()}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// Read implements io.Reader.
func (c *connection) Read(p []byte) (int, error) {
	if c.pause > 0 {
		time.Sleep(c.pause)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead = time.Now()
	}
	return n, err
}

// readSlowly makes the caller read slowly from now on.
func (c *connection) readSlowly(pause time.Duration) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReaderBuffer)
	}
	c.pause = pause
}

// isClosed reports whether the host has closed the idle connection.
func (c *connection) isClosed() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		var p [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), p[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = peekErr != syscall.EAGAIN
	})
	return closed || err != nil
}
