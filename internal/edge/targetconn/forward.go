package targetconn

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targetnotice"
)

// Forwarder decides whether this host sends to a target itself or asks other hosts to do so, its
// helpers, because it has lost its own way to the targets of the service.
type Forwarder interface {
	// Helpers reports whether this host has lost its way to the targets of an incarnation's service,
	// and returns the addresses of the hosts in the regions to ask to send to it, in this order.
	Helpers(incarnation string, regions region.Set) (addresses []string, cutOff bool)
	// ObserveOpening records whether a new connection to a target could be opened and used.
	ObserveOpening(incarnation string, usable bool)
	// ObserveHelper records how a helper answered.
	ObserveHelper(address string, outcome ForwardOutcome)
}

// ForwardOutcome is what a helper states about a request that it was asked to send.
type ForwardOutcome string

// Outcomes of forwarded requests. Only with ForwardAnswered the response is the target's. With
// ForwardBroken and ForwardInvalid the target may have run the request; with the others nothing
// was sent to it.
const (
	ForwardAnswered    ForwardOutcome = "answered"
	ForwardBroken      ForwardOutcome = "broken"
	ForwardInvalid     ForwardOutcome = "invalid_response"
	ForwardNotSent     ForwardOutcome = "not_sent"    // the helper doesn't reach the target
	ForwardRefused     ForwardOutcome = "refused"     // the target leaves or wants a pause from the helper
	ForwardNotYet      ForwardOutcome = "not_yet"     // the target accepts nothing from the helper for now
	ForwardCutOff      ForwardOutcome = "cut_off"     // the helper reaches no target of the service either
	ForwardBusy        ForwardOutcome = "busy"        // the helper forwards as much as it may
	ForwardTooLong     ForwardOutcome = "too_long"    // the helper's process may end before the request does
	ForwardStopping    ForwardOutcome = "stopping"    // the helper's process ends
	ForwardUnreachable ForwardOutcome = "unreachable" // the helper does not answer; noted by the sender
)

// triesOtherHelper reports whether another helper may send the request.
func (o ForwardOutcome) triesOtherHelper() bool {
	switch o {
	case ForwardCutOff, ForwardBusy, ForwardTooLong, ForwardStopping, ForwardUnreachable:
		return true
	}
	return false
}

// Headers between hosts.
const (
	forwardTarget  = "Hitch-Forward-Target"     // incarnation and address
	forwardRequest = "Hitch-Forward-Request"    // Request.ID
	forwardUse     = "Hitch-Forward-Use"        // a targetnotice.Use
	forwardAge     = "Hitch-Forward-Age-Us"     // microseconds since Request.Arrived; missing if that is 0
	forwardLongest = "Hitch-Forward-Longest-Us" // Request.Longest in microseconds
	forwardCopyTo  = "Hitch-Forward-Copy-To"    // Request.CopyTo
	forwardOutcome = "Hitch-Forward-Outcome"    // in responses
	helperPrefix   = "helper "                  // of the keys of connections to helpers
)

// maxLongest bounds Request.Longest between hosts.
const maxLongest = 24 * time.Hour

// requestHeaders are those in requests.
var requestHeaders = []string{forwardTarget, forwardRequest, forwardUse, forwardAge, forwardLongest, forwardCopyTo}

// forwarded returns the request as it is sent to a helper.
func (r *Request) forwarded(incarnation, address string) *Request {
	out := *r
	out.Header = r.Header.Clone()
	if out.Header == nil {
		out.Header = make(http.Header)
	}
	for _, name := range requestHeaders {
		out.Header.Del(name) // a caller may have sent them
	}
	out.Header.Set(forwardTarget, incarnation+" "+address)
	out.Header.Set(forwardRequest, r.ID)
	out.Header.Set(forwardUse, strconv.Itoa(int(r.Use)))
	if r.Arrived != 0 {
		out.Header.Set(forwardAge, strconv.FormatInt(bootclock.Since(r.Arrived).Microseconds(), 10))
	}
	out.Header.Set(forwardLongest, strconv.FormatInt(r.Longest.Microseconds(), 10))
	if r.CopyTo != "" {
		out.Header.Set(forwardCopyTo, r.CopyTo)
	}
	return &out
}

// Forwarded is a request that another host asks this one to send.
type Forwarded struct {
	*Request
	Incarnation string
	Address     string // ip:port of the target
}

// DecodeForwarded reads the request of another host. Its body has been read.
func DecodeForwarded(r *http.Request, body []byte) (*Forwarded, error) {
	incarnation, address, ok := strings.Cut(r.Header.Get(forwardTarget), " ")
	use, err := strconv.Atoi(r.Header.Get(forwardUse))
	if !ok || err != nil || use < 0 || use > int(targetnotice.Control) {
		return nil, eris.Errorf("forwarded request without a valid target or use: %q, %q", r.Header.Get(forwardTarget), r.Header.Get(forwardUse))
	}
	f := &Forwarded{Incarnation: incarnation, Address: address, Request: &Request{
		ID: r.Header.Get(forwardRequest), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: body,
		Use: targetnotice.Use(use), CopyTo: r.Header.Get(forwardCopyTo), forOtherHost: true,
	}}
	if us, err := strconv.ParseInt(r.Header.Get(forwardAge), 10, 64); err == nil {
		f.Arrived = max(1, bootclock.Now().Add(-time.Duration(us)*time.Microsecond))
	}
	if us, err := strconv.ParseInt(r.Header.Get(forwardLongest), 10, 64); err == nil && us > 0 {
		f.Longest = time.Duration(min(us, maxLongest.Microseconds())) * time.Microsecond
	}
	switch f.Use {
	case targetnotice.Request:
		f.Use = targetnotice.ForwardedRequest
	case targetnotice.Continuation:
		f.Use = targetnotice.ForwardedContinuation
	}
	for _, name := range requestHeaders {
		f.Header.Del(name)
	}
	f.Header.Del("Content-Length") // encoded anew
	return f, nil
}

// OutcomeOf returns how a helper states that a send failed.
func OutcomeOf(err error) ForwardOutcome {
	switch {
	case errors.Is(err, ErrNotYet):
		return ForwardNotYet
	case errors.Is(err, ErrRefused):
		return ForwardRefused
	case errors.Is(err, ErrNotSent):
		return ForwardNotSent
	case errors.Is(err, ErrInvalidResponse):
		return ForwardInvalid
	default:
		return ForwardBroken
	}
}

// WriteOutcome writes the head of the response to another host. With ForwardAnswered the
// caller has set the status and adds the body.
func WriteOutcome(w http.ResponseWriter, outcome ForwardOutcome, status int) {
	w.Header().Set(forwardOutcome, string(outcome))
	w.WriteHeader(status)
}

// error returns the error of a send that a helper did not make, or whose answer it did not get.
func (o ForwardOutcome) error(helper string) error {
	switch o {
	case ForwardRefused:
		return &refusal{targetnotice.Leaving}
	case ForwardNotYet:
		return &refusal{targetnotice.OnTrial}
	case ForwardInvalid:
		return eris.Wrapf(ErrInvalidResponse, "by way of %s", helper)
	case ForwardBroken:
		return eris.Wrapf(ErrBroken, "by way of %s", helper)
	default:
		return eris.Wrapf(ErrNotSent, "by way of %s: %s", helper, o)
	}
}

// way is how a request reaches its target.
type way struct {
	helper string // address of the host that sends it; "" for this one
	// uncertain means that new connections may be reset as soon as they are open.
	uncertain bool
}

// doByHelpers asks helpers in turn to send the request, until one has done so. If none can, this host
// tries once more itself: the targets may have been down and be back.
func (p *Pool) doByHelpers(ctx context.Context, incarnation, address string, req *Request, helpers []string) (*Response, error) {
	if end, ok := ctx.Deadline(); ok && req.Longest == 0 {
		bounded := *req
		bounded.Longest, req = time.Until(end), &bounded
	}
	unhelped := p.outlastsHelper(req)
	if unhelped {
		helpers = nil
	}
	for _, helper := range helpers {
		response, outcome, sendErr := p.doOnce(ctx, incarnation, address, req, way{helper: helper})
		if outcome != "" {
			p.Forwarder.ObserveHelper(helper, outcome)
		}
		if sendErr == nil || !outcome.triesOtherHelper() || ctx.Err() != nil {
			return response, sendErr
		}
	}
	response, _, err := p.doOnce(ctx, incarnation, address, req, way{uncertain: true})
	if unhelped && errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRefused) {
		err = &outlastsHelper{err}
	}
	return response, err
}

// outlastsHelper reports whether a helper that is stopped as planned could cut the request, which then
// is better not sent: only a request that was not sent can be rejected and sent again by its caller.
func (p *Pool) outlastsHelper(req *Request) bool {
	return p.HelperLifetime > 0 && !req.Movable && req.Longest > p.HelperLifetime
}

// acknowledgmentTimeout is how long a helper may take to acknowledge a request before others are
// asked instead: its process may have been frozen while its kernel goes on.
const acknowledgmentTimeout = 400 * time.Millisecond

// awaitAcknowledgment passes a helper over for later requests unless the returned function is called
// in time. It does nothing for requests that need no helper.
func (p *Pool) awaitAcknowledgment(helper string) (acknowledged func()) {
	if helper == "" {
		return func() {}
	}
	timer := time.AfterFunc(acknowledgmentTimeout, func() { p.Forwarder.ObserveHelper(helper, ForwardUnreachable) })
	return func() { timer.Stop() }
}

// Acknowledge tells the asking host that this one has its request.
func Acknowledge(w http.ResponseWriter) { w.WriteHeader(http.StatusProcessing) }

// fromTarget reports whether a helper's response is the target's, and sets the outcome unless the
// response is interim.
func fromTarget(h *http.Response, outcome *ForwardOutcome) bool {
	if h.StatusCode < http.StatusOK {
		return false
	}
	*outcome = takeOutcome(h.Header)
	return *outcome == ForwardAnswered
}

// takeOutcome removes and returns the outcome that a helper states, ForwardInvalid if it states
// none.
func takeOutcome(h http.Header) ForwardOutcome {
	outcome := ForwardOutcome(h.Get(forwardOutcome))
	h.Del(forwardOutcome)
	switch outcome {
	case ForwardAnswered, ForwardBroken, ForwardInvalid, ForwardNotSent, ForwardRefused, ForwardNotYet, ForwardCutOff, ForwardBusy, ForwardTooLong, ForwardStopping:
		return outcome
	}
	return ForwardInvalid
}
