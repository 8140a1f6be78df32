package edge

import (
	"net/http"
	"strconv"
	"time"
)

// Refusal is a final answer of the system's own.
type Rejection struct {
	Status int
	// Reason is a fixed word for logs and metrics, and the answer's body.
	Reason string
	// RetryAfter tells when to come back; 0 for never.
	RetryAfter time.Duration
}

// Reasons of refusals. Those with status 503 promise that the request has not
// run and never will.
const (
	ReasonNoConfiguration = "no_configuration"
	ReasonUnconfirmed     = "configuration_unconfirmed"
	ReasonNoRoute         = "no_route"
	ReasonUnknownKey      = "unknown_key"
	ReasonBadRequest      = "bad_request"
	ReasonTooLarge        = "body_too_large"
	ReasonNoTarget        = "no_target"
	ReasonNoRoom          = "no_room"
	ReasonTargetFull      = "target_full"
	ReasonMayHaveRun      = "may_have_run"
	ReasonBrokenOff       = "broken_off"
	ReasonTimeout         = "timeout"
	ReasonCallerGone      = "caller_gone"
)

// Unavailable refuses a request that has not run.
func Unavailable(reason string, retryAfter time.Duration) *Rejection {
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// Write sends the refusal to the caller.
func (r *Rejection) Write(w http.ResponseWriter, wire Wire) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		wire.SetRetryAfter(h, r.RetryAfter)
	}
	body := r.Reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write([]byte(body)) // a caller that has left is noticed by its context
}
