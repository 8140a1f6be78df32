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

	// PermitUntil is until when one send to a cold target needs no part of this host's share of what the
	// target bears, since the hub has granted a permit; 0 if it has not. Helpers are not told.
	PermitUntil bootclock.Instant

	forOtherHost bool // another host asked for it: it takes no further detour
}

// needsUnusedConnection reports whether the request must not be sent on a connection that has served another one:
// it has no ID, so that an earlier answer that the target writes once more would be taken for its own, and that
// could make it run, or a run go on, a second time. Of the control calls that holds for final moves, which have no
// CopyTo; those that copy, release and ask for reports do no harm that way.
func (r *Request) needsUnusedConnection() bool {
	if r.ID != "" {
		return false
	}
	return isCallersRequest(r) || r.Use == targetnotice.Control && r.Method == http.MethodPost && r.CopyTo == ""
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
