package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge/targets"
)

// Rejection is a final response that the system itself gives instead of a target's.
type Rejection struct {
	Status int
	// Reason is a fixed identifier for logs and metrics; it is also the response body.
	Reason string
	// RetryAfter is when the caller may retry; 0 omits the header.
	RetryAfter time.Duration
}

// Reasons for rejections. A rejection with status 503 guarantees that the request
// has not run and will not run.
const (
	ReasonNoConfiguration = "no_configuration"
	ReasonUnconfirmed     = "configuration_unconfirmed"
	ReasonNoRoute         = "no_route"
	ReasonUnknownKey      = "unknown_key"
	ReasonBadRequest      = "bad_request"
	ReasonBadLastEventID  = "bad_last_event_id"
	ReasonTooLarge        = "body_too_large"
	ReasonNoTarget        = "no_target"
	ReasonNoRoom          = "no_room"
	ReasonTargetFull      = "target_full"
	ReasonTargetsPaused   = "targets_paused"
	ReasonTargetsLimited  = "targets_limited"
	ReasonCrashSuspect    = "crash_suspect"
	ReasonMayHaveRun      = "may_have_run"
	ReasonBrokenOff       = "broken_off"
	ReasonTimeout         = "timeout"
	ReasonCallerGone      = "caller_gone"
	ReasonStopping        = "host_stopping"
	ReasonHeaderLines     = "header_lines"
	ReasonNoMemory        = "no_memory"
	ReasonAccountMemory   = "account_memory"
	ReasonSlowBody        = "slow_body"
)

// ErrStopping is the cause of the end of a request's context if the host aborts the
// request because its own process ends.
var ErrStopping = errors.New("edge: the host's process ends")

// OutcomeAnswered is the outcome of a plain call that got a target's complete response.
const OutcomeAnswered = "answered"

// CanceledReason returns why the context of a request was canceled: the host aborted it,
// or its caller left.
func CanceledReason(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return ReasonStopping
	}
	return ReasonCallerGone
}

// Unavailable returns the rejection, with status 503, of a request that has not run.
func Unavailable(reason string, retryAfter time.Duration) *Rejection {
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

const (
	// stoppingRetryAfter is when a caller may retry a request that its host rejects because
	// its process ends: other hosts can take it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// stoppingRetrySpread is the maximum of the random time that is added, so that callers
	// of one host do not return at the same moment.
	stoppingRetrySpread = 150 * time.Millisecond
)

// Stopping returns the rejection of a request that has not run and that the host cannot
// serve before its process ends.
func Stopping() *Rejection {
	return Unavailable(ReasonStopping, stoppingRetryAfter+rand.N(stoppingRetrySpread))
}

const (
	// pauseSpreadShare of the time left, at least minPauseSpread, is the range over which
	// callers return once a target accepts requests again.
	pauseSpreadShare = 0.5
	minPauseSpread   = 500 * time.Millisecond
)

// AllRefuse returns the rejection of a request whose service has no target that accepts
// requests now.
func AllRefuse(refusal targets.Refusal) *Rejection {
	reason := ReasonTargetsPaused
	if refusal.Limited {
		reason = ReasonTargetsLimited
	}
	spread := max(pauseSpreadShare*float64(refusal.Left), float64(minPauseSpread))
	return Unavailable(reason, refusal.Left+time.Duration(rand.Float64()*spread))
}

// Write sends the rejection to the caller.
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
	_, _ = w.Write([]byte(body)) // ignored: a caller that disconnected cancels the request's context
}
