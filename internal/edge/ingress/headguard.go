package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/memquota"
)

const (
	// DefaultMaxHeaderLines bounds the header lines of a request. The shortest line has 3 bytes, so that
	// 16,384 bytes hold no more lines.
	DefaultMaxHeaderLines = 5462
	// freeHeaderLines of a head are not charged while it arrives: ordinary heads cost nothing then.
	freeHeaderLines = 64
	// partialLineCost is what a header line costs while the head is incomplete: an entry of a map, a slice
	// and two strings, measured as 118 to 130 bytes, and as much for the map that is being replaced by a larger one.
	partialLineCost = 256
	// headRejectTime bounds the time for reading what a client still sends after its head was rejected. A
	// connection that is closed before may lose the rejection.
	headRejectTime = 500 * time.Millisecond
)

// errHeadRejected ends the service of a connection whose request was rejected before its head was complete.
var errHeadRejected = errors.New("request rejected before its head was complete")

// HeadGuard bounds what the incomplete heads of requests cost.
type HeadGuard struct {
	MaxLines int // header lines of a request; 0 for DefaultMaxHeaderLines
	Memory   *memquota.Budget
	Wire     edge.Wire
	// Rejected is called with the reason of each rejection.
	Rejected func(reason string)
}

func (g *HeadGuard) maxLines() int {
	if g == nil || g.MaxLines <= 0 {
		return DefaultMaxHeaderLines
	}
	return g.MaxLines
}

// headCharge is what the incomplete head of a connection's request holds. It is used by the connection's
// readers, of which there is one at a time.
type headCharge struct {
	scan    headScan
	charged int // header lines
}

// add scans what was read and returns the reason for which the request is to be rejected, "" for none.
func (g *HeadGuard) add(c *headCharge, p []byte) string {
	c.scan.add(p)
	lines := c.scan.headerLines()
	if lines > g.maxLines() {
		return edge.ReasonHeaderLines
	}
	if lines -= freeHeaderLines; lines > c.charged {
		if !g.Memory.TryCharge(int64(lines-c.charged) * partialLineCost) {
			return edge.ReasonNoMemory
		}
		c.charged = lines
	}
	return ""
}

// end gives back what the head held. over states that no head begins before the next call of begin.
func (g *HeadGuard) end(c *headCharge) {
	if c.charged > 0 {
		g.Memory.Charge(-int64(c.charged) * partialLineCost)
		c.charged = 0
	}
	c.scan.over = true
}

// begin states that the next bytes are a head.
func (c *headCharge) begin() { c.scan = headScan{} }

// reject answers a request whose head is incomplete. The caller closes the connection.
func (g *HeadGuard) reject(conn net.Conn, reason string) {
	if g.Rejected != nil {
		g.Rejected(reason)
	}
	status, body := http.StatusRequestHeaderFieldsTooLarge, reason+"\n"
	h := http.Header{"Connection": {"close"}, "Content-Type": {"text/plain; charset=utf-8"}, "Content-Length": {strconv.Itoa(len(body))}}
	if reason == edge.ReasonNoMemory {
		status = http.StatusServiceUnavailable
		g.Wire.SetRetryAfter(h, memoryRetryAfter())
	}
	var answer bytes.Buffer
	_, _ = fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&answer)
	answer.WriteString("\r\n" + body)
	_ = conn.SetDeadline(time.Now().Add(headRejectTime))
	_, _ = conn.Write(answer.Bytes())
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, onlyReader{conn})
}

// onlyReader hides the other methods of a connection, so that io.Copy uses a buffer of io.Discard.
type onlyReader struct{ io.Reader }
