package targetconn

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targetnotice"
)

// Request is a request to a target.
type Request struct {
	ID     string // request id that the response must echo; "" for control calls
	Method string
	URI    string // as the caller sent it, byte for byte
	Host   string
	Header http.Header
	// EncodeHeader returns Header when the connection is established, since it states how much
	// time is left; nil if Header is set.
	EncodeHeader func() http.Header
	Body         []byte

	Use     targetnotice.Use
	Arrived bootclock.Instant // when the caller's request arrived at this host; 0 for control calls
	Longest time.Duration     // how long it takes at most until its response has ended; 0 if that is not known
	// Movable means that it can go on at another target while it runs, so that a helper that ends
	// first does not cut it.
	Movable bool
	Regions region.Set // of the hosts that may get the request to send it
	CopyTo  string     // incarnation to which the target is asked to copy a run; "" if none
	// KnowsAnswer means that the sender tells the answer of a copy from those of copies of other runs. Helpers are not
	// told, and take it for a copy whose answer they can't tell.
	KnowsAnswer bool

	// PermitUntil is until when one send to a cold target needs no part of this host's share of what the
	// target bears, since the hub has granted a permit; 0 if it has not. Helpers are not told.
	PermitUntil bootclock.Instant

	forOtherHost bool // another host asked for it: it takes no further detour
}

// mayUse reports whether the request may be sent on a connection that has served others. Without an ID its answer can't
// be told from an earlier one that the target writes once more at the point where the next is expected. Callers' requests
// without an ID might run twice that way, a final copy would seem to have stopped a run, and a copy would get the handle
// of another run's. The answer to a GET request names no copy, so that copies may follow those.
func (r *Request) mayUse(c *Conn) bool {
	switch {
	case r.ID != "":
		return true
	case isCallersRequest(r):
		return !c.served
	case r.isMove() && r.CopyTo == "":
		return !c.done
	case r.isMove() && !r.KnowsAnswer:
		return !c.changed
	}
	return true
}

// isMove reports whether the request asks a target to copy a run, or to stop it.
func (r *Request) isMove() bool {
	return r.Use == targetnotice.Control && r.Method == http.MethodPost
}

// encodeHead returns the head of the request, with room for more bytes behind it.
func (r *Request) encodeHead(room int) []byte {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + room)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer never fails
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// typicalHeadBytes is the usual size of a request's head, for a single allocation.
const typicalHeadBytes = 768
