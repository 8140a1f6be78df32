// Package targetconn sends requests to targets over HTTP/1.1. It never sends a
// request twice, reports whether any byte was sent, asks a gate before each send, ties
// connections to one incarnation of a target and matches responses with requests by id. net/http's
// Transport retries GET requests on its own and therefore cannot be used here.
package targetconn

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/httpanswer"
	"corianderhitch/internal/wait"
)

const (
	// defaultIdleTimeout is how long an idle connection is used if the target does
	// not state how long it keeps it.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from what the target states, so that a request
	// does not cross the closing of the connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections of a target; others are closed.
	maxIdlePerTarget = 24
	// maxChangedPerTarget bounds the idle connections that copies and final copies may not use any more. Each copy
	// leaves one.
	maxChangedPerTarget = 4
	// idleShare is the part of this host's share of a target's connections that may be
	// idle. The rest of all shares is left to hosts that have many requests.
	idleShare = 0.5
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout ends a connection whose peer acknowledges no data.
	tcpUserTimeout = 2 * time.Second
	// resetDelay is how long after its opening a connection that is not wanted may be reset.
	resetDelay = 20 * time.Millisecond
	// maxMismatched is how many responses to other requests are skipped.
	maxMismatched = 2
	// maxSkippedBytes bounds the body of a response that is skipped, skipTimeout the time
	// for reading it.
	maxSkippedBytes = 256 << 10
	skipTimeout     = 2 * time.Second
	// maxHeadBytes bounds the heads of all responses that are read for one request.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim responses to one request.
	maxInterim = 100
)

// Pool holds the idle connections to all targets. It is safe for concurrent use.
type Pool struct {
	requestID func(http.Header) string
	gate      Gate
	share     func(incarnation string) float64
	progress  progress
	contacts  contacts

	// Forwarder makes other hosts send requests that this one can't; nil for never.
	Forwarder Forwarder
	// HelperLifetime is how long a helper goes on with the requests that it has when it is asked to
	// stop; 0 if that is not known.
	HelperLifetime time.Duration
	// LocalIP is the address from which connections are opened; "" leaves it to the kernel.
	LocalIP string

	mu   sync.Mutex
	idle map[string][]*Conn // guarded by mu; by Conn.key, most recently used last
}

// New returns an empty pool. requestID returns the request id that a response states, share
// how many of the connections that a target accepts from all hosts fall to this one, 0 if
// that is not known.
func New(requestID func(http.Header) string, gate Gate, share func(incarnation string) float64) *Pool {
	return &Pool{requestID: requestID, gate: gate, share: share, idle: make(map[string][]*Conn)}
}

// Do sends a request to the target at address, unless the gate refuses it, and returns
// once the head of the response arrives. The end of ctx closes the connection, which
// cancels the run. While this host reaches no target of the service, other hosts send the
// request. The error matches ErrNotSent, ErrBroken or ErrInvalidResponse.
func (p *Pool) Do(ctx context.Context, incarnation, address string, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if helpers, cutOff := p.helpers(incarnation, req); cutOff {
		return p.doByHelpers(ctx, incarnation, address, req, helpers)
	}
	response, _, err := p.doOnce(ctx, incarnation, address, req, way{})
	if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || ctx.Err() != nil {
		return response, err
	}
	// The failure may have shown that this host reaches no target of the service.
	if helpers, cutOff := p.helpers(incarnation, req); cutOff {
		return p.doByHelpers(ctx, incarnation, address, req, helpers)
	}
	return nil, err
}

// helpers reports whether other hosts are to be asked to send the request, and which.
func (p *Pool) helpers(incarnation string, req *Request) (addresses []string, cutOff bool) {
	if p.Forwarder == nil || req.forOtherHost {
		return nil, false
	}
	return p.Forwarder.Helpers(incarnation, req.Regions)
}

// doOnce sends the request to the target, or to a helper that sends it. The outcome is that of the
// helper.
func (p *Pool) doOnce(ctx context.Context, incarnation, address string, req *Request, w way) (*Response, ForwardOutcome, error) {
	// A refused request must not cost the target a connection.
	if v := p.gate.Check(incarnation, req); v != targetnotice.Allowed {
		return nil, "", &refusal{v}
	}
	conn, err := p.connect(ctx, incarnation, address, req, w)
	if err != nil {
		return nil, ForwardUnreachable, err
	}
	// The target may have answered other requests while the connection was established.
	v, ended := p.gate.Admit(incarnation, req)
	if v != targetnotice.Allowed {
		p.put(conn)
		return nil, "", &refusal{v}
	}
	req.PermitUntil = 0 // it is for one send
	response, outcome, err := p.exchange(ctx, conn, incarnation, address, req, w.helper)
	ended(response != nil)
	return response, outcome, err
}

// exchange sends the request on the connection and reads the head of the response.
func (p *Pool) exchange(ctx context.Context, conn *Conn, incarnation, address string, req *Request, helper string) (*Response, ForwardOutcome, error) {
	if req.EncodeHeader != nil {
		req.Header = req.EncodeHeader()
	}
	sent, direct, fresh, contact := req, helper == "", conn.fresh(), p.contacts.of(incarnation)
	if direct && fresh {
		contact.noteOpened()
	}
	if !direct {
		sent = req.forwarded(incarnation, address)
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	progress := p.progress.begin(direct)
	upload, err := writeRequest(conn, sent)
	if err != nil {
		err = brokenWrite(ctx, err)
	}
	leaving, outcome := false, ForwardOutcome("")
	acknowledged := p.awaitAcknowledgment(helper)
	var head *http.Response
	if err == nil {
		head, err = p.readHead(conn, req, func(h *http.Response, repeated bool) {
			acknowledged()
			if direct || fromTarget(h, &outcome) {
				leaving = p.gate.Observe(incarnation, address, req, h.StatusCode, h.Header, repeated) || leaving
			}
		})
	}
	progress.end(err == nil)
	acknowledged()
	// A connection that is reset before its first response was not open in effect.
	if direct && fresh && (err == nil || errors.Is(err, ErrBroken) && !errors.Is(err, ErrCanceled)) {
		p.observeOpening(incarnation, err == nil)
		if err != nil && bootclock.Since(conn.openedAt) < resetDelay {
			err = &earlyReset{err}
		}
	}
	if err == nil && !direct && outcome != ForwardAnswered {
		err = outcome.error(helper)
	}
	if err != nil {
		detach()
		_ = conn.Close()
		return nil, outcome, err
	}
	_ = httpanswer.Check(head, upload) // the head has been checked
	contact.noteHeard()
	r := p.newResponse(conn, req, head)
	r.detach, r.upload, r.direct, r.Helper, r.contact = detach, upload, direct, helper, contact
	r.reusable = !head.Close && !(leaving && direct && isCallersRequest(req)) &&
		(!direct || conn.noteAnswer(req, p.requestID(head.Header), head.StatusCode))
	return r, outcome, nil
}

// brokenWrite returns the error of a request that was written in part at most.
func brokenWrite(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &cancellation{err}
	}
	return eris.Wrap(ErrBroken, err.Error())
}

// newResponse returns the response that begins with head.
func (p *Pool) newResponse(conn *Conn, req *Request, head *http.Response) *Response {
	length := head.ContentLength
	if req.Method == http.MethodHead {
		length = 0
	}
	conn.idleTimeout = idleTimeout(head.Header)
	return &Response{
		Status: head.StatusCode, Header: head.Header, ConnectionClosing: head.Close,
		Delimited: head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		length:    length, body: head.Body, conn: conn, pool: p,
	}
}

// connect returns a connection to the target, or to the helper.
func (p *Pool) connect(ctx context.Context, incarnation, address string, req *Request, w way) (*Conn, error) {
	if w.helper != "" {
		return p.get(ctx, helperPrefix+w.helper, w.helper, "", func(*Conn) bool { return true })
	}
	conn, err := p.get(ctx, connKey(incarnation, req), address, req.ID, req.mayUse)
	if err == nil && w.uncertain && conn.fresh() {
		err = awaitReset(ctx, conn, address)
	}
	if err != nil && ctx.Err() == nil {
		p.observeOpening(incarnation, false)
	}
	return conn, err
}

// observeOpening tells the forwarder whether a new connection to a target could be used.
func (p *Pool) observeOpening(incarnation string, usable bool) {
	if p.Forwarder != nil {
		p.Forwarder.ObserveOpening(incarnation, usable)
	}
}

// Probe opens a connection to a target and keeps it for later requests.
func (p *Pool) Probe(ctx context.Context, incarnation, address string) error {
	conn, err := p.dial(ctx, incarnation, address)
	if err != nil {
		return err
	}
	if err := awaitReset(ctx, conn, address); err != nil {
		return err
	}
	p.put(conn)
	return nil
}

// awaitReset closes a new connection and returns an error if it does not stay open.
func awaitReset(ctx context.Context, conn *Conn, address string) error {
	wait.For(ctx, resetDelay)
	if conn.open() {
		return nil
	}
	_ = conn.Close()
	return eris.Wrapf(ErrNotSent, "%s: connection was reset", address)
}

// Silence returns for how long no target has sent anything while requests of this host wait for
// their responses, 0 if none waits.
func (p *Pool) Silence() time.Duration { return p.progress.silence() }

// CloseIdle closes the idle connections for requests to an incarnation.
func (p *Pool) CloseIdle(incarnation string) {
	p.mu.Lock()
	conns := p.idle[incarnation]
	delete(p.idle, incarnation)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseAllIdle closes the idle connections to an incarnation, those for control calls too.
func (p *Pool) CloseAllIdle(incarnation string) {
	p.CloseIdle(incarnation)
	p.CloseIdle(controlPrefix + incarnation)
}

// writeRequest writes the request. A large one is written in the background, since
// the target may respond before it has read all of it.
func writeRequest(conn *Conn, req *Request) (*httpanswer.Upload, error) {
	upload := httpanswer.NewUpload()
	room := len(req.Body)
	if room > maxInlineWrite {
		room = 0
	}
	head := req.encodeHead(room)
	if len(head)+len(req.Body) <= maxInlineWrite {
		_, err := conn.Write(append(head, req.Body...))
		upload.End(err)
		return upload, err
	}
	go func() {
		// A large body is not copied behind the head, but still sent in one call.
		parts := net.Buffers{head, req.Body}
		_, err := parts.WriteTo(conn.Conn)
		upload.End(err)
	}()
	return upload, nil
}

// controlPrefix separates the idle connections for control calls, which are still needed
// when a target leaves, from those for requests.
const controlPrefix = "control "

// connKey returns the key of the connections that serve a request.
func connKey(incarnation string, req *Request) string {
	if isCallersRequest(req) {
		return incarnation
	}
	return controlPrefix + incarnation
}

func isCallersRequest(req *Request) bool {
	return req.Use == targetnotice.Request || req.Use == targetnotice.ForwardedRequest || req.Use == targetnotice.Continuation || req.Use == targetnotice.ForwardedContinuation
}

// readHead reads response heads until one belongs to the request. It passes each to observe. Targets
// state the request's ID; one that doesn't is believed unless the connection has served other requests,
// of which the response may be one: then another must follow within skipTimeout.
func (p *Pool) readHead(conn *Conn, req *Request, observe func(h *http.Response, repeated bool)) (*http.Response, error) {
	conn.head.left = maxHeadBytes
	skipped, interims := 0, 0
	always := func() bool { return true }
	inTime := always
	for {
		conn.head.reading = true
		head, err := http.ReadResponse(conn.reader, &http.Request{Method: req.Method})
		conn.head.reading = false
		if !inTime() {
			return nil, eris.Wrapf(ErrInvalidResponse, "a response without a request ID, and none with one within %v", skipTimeout)
		}
		inTime = always
		if err != nil {
			return nil, classifyReadError(err)
		}
		if err := httpanswer.CheckHead(head); err != nil {
			return nil, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		id := p.requestID(head.Header)
		interim := head.StatusCode < http.StatusOK
		belongs := req.ID == "" || id == req.ID || id == "" && (interim || !conn.served)
		observe(head, !belongs)
		if interim {
			if interims++; interims > maxInterim || !isInterim(head.StatusCode) {
				return nil, eris.Wrapf(ErrInvalidResponse, "%d interim responses, the last with status %d", interims, head.StatusCode)
			}
			continue
		}
		if belongs {
			return head, nil
		}
		if skipped++; skipped > maxMismatched || !skipBody(conn, head) {
			return nil, eris.Wrap(ErrInvalidResponse, "responses to other requests")
		}
		if id == "" { // perhaps the only response that comes
			inTime = conn.endReadsAfter(skipTimeout)
		}
	}
}

// isInterim reports whether a status below 200 may precede a response. No request asks for
// another protocol.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status != http.StatusSwitchingProtocols
}

// skipBody reads the rest of a response that belongs to another request. It returns false if
// the next response cannot be read.
func skipBody(conn *Conn, head *http.Response) bool {
	if head.ContentLength < 0 && len(head.TransferEncoding) == 0 {
		return false // the body ends with the connection
	}
	stop := conn.endReadsAfter(skipTimeout)
	_, err := io.CopyN(io.Discard, head.Body, maxSkippedBytes+1)
	return stop() && err == io.EOF
}

// classifyReadError returns ErrBroken for a lost connection, ErrInvalidResponse for
// anything else.
func classifyReadError(err error) error {
	var network net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) { // only the end of a request's context sets deadlines
		return &cancellation{err}
	}
	if errors.As(err, &network) || errors.Is(err, net.ErrClosed) {
		return eris.Wrap(ErrBroken, err.Error())
	}
	if errors.Is(err, unix.ECONNRESET) || err.Error() == "unexpected EOF" || err.Error() == "EOF" {
		return eris.Wrap(ErrBroken, err.Error())
	}
	return eris.Wrap(ErrInvalidResponse, err.Error())
}

// get returns a healthy idle connection that is usable, or a new one. A request is not sent again on a connection on
// which it failed: the answer to it there could not be told from the earlier one.
func (p *Pool) get(ctx context.Context, key, address, requestID string, usable func(*Conn) bool) (*Conn, error) {
	for {
		conn := p.takeIdle(key, usable)
		if conn == nil {
			return p.dial(ctx, key, address)
		}
		if conn.healthy() && !(requestID != "" && conn.mayAnswerAgain(requestID)) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// takeIdle removes and returns the usable idle connection that was used last, nil if there is none.
func (p *Pool) takeIdle(key string, usable func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; usable(conn) {
			p.idle[key] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// put keeps a connection for reuse, or closes it if it cannot be reused. Of the idle
// connections beyond the limit, it closes the least recently used.
func (p *Pool) put(c *Conn) {
	c.usedAt = bootclock.Now()
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	incarnation := strings.TrimPrefix(c.key, controlPrefix)
	limit := p.idleLimit(incarnation)
	p.mu.Lock()
	var closing []*Conn
	conns := p.idle[c.key]
	if c.changed && isControlKey(c.key) {
		conns, closing = withoutOldestChanged(conns)
	}
	conns = append(conns, c)
	otherKey := incarnation
	if c.key == incarnation {
		otherKey = controlPrefix + incarnation
	}
	excess := min(max(len(conns)+len(p.idle[otherKey])-limit, 0), len(conns))
	closing = append(closing, conns[:excess]...)
	p.idle[c.key] = slices.Delete(conns, 0, excess)
	p.mu.Unlock()
	for _, surplus := range closing {
		_ = surplus.Close()
	}
}

// withoutOldestChanged makes room for one more connection that copies may not use: it removes the least recently used
// one if there are maxChangedPerTarget.
func withoutOldestChanged(conns []*Conn) (kept, removed []*Conn) {
	changed := 0
	for _, c := range conns {
		if c.changed {
			changed++
		}
	}
	if changed < maxChangedPerTarget {
		return conns, nil
	}
	i := slices.IndexFunc(conns, func(c *Conn) bool { return c.changed })
	removed = []*Conn{conns[i]}
	return slices.Delete(conns, i, i+1), removed
}

func isControlKey(key string) bool { return strings.HasPrefix(key, controlPrefix) }

// idleLimit returns how many connections to a target may be idle now. It rounds a part of a
// connection at random, so that the expected sum over many hosts is within their shares.
func (p *Pool) idleLimit(incarnation string) int {
	share := p.share(incarnation)
	if share <= 0 {
		return maxIdlePerTarget
	}
	return min(int(share*idleShare+rand.Float64()), maxIdlePerTarget)
}

func (p *Pool) dial(ctx context.Context, key, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if ip := net.ParseIP(p.LocalIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
	}
	setUserTimeout(c)
	return newConn(c, key), nil
}

// setUserTimeout makes the connection fail when the peer stops acknowledging data.
func setUserTimeout(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return // the connection is closed; the next write reports it
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
