package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/quarantine"
)

// AuthorizedCall is a call that the configuration allows, with the route, service,
// account and deadline that apply to it.
type AuthorizedCall struct {
	Call       *Call
	Route      *policy.Route
	Service    *policy.Service
	Account    string // empty on public routes
	Urgency    int    // 0 is the most urgent
	UsesAPIKey bool   // authorized by an API key, which may be revoked
	Arrived    bootclock.Instant
	Received   bootclock.Instant // when the whole request had been read
	PolicyAge  time.Duration     // age of the configuration's last confirmation when the call was authorized
	Deadline   bootclock.Instant // when the caller stops waiting or the route's timeout ends, whichever is earlier
	Log        *slog.Logger
	Regions    region.Set // in which the call may run, computed once when it was authorized
	// StillAuthorized reports whether the call may still be sent: its API key must
	// have been confirmed recently. It is called just before the request is sent.
	StillAuthorized func(ctx context.Context) bool

	crashKeysOnce sync.Once
	crashKeysList []quarantine.Key // see crashKeys
}

// ResumesAfter returns the id of the event after which the stream resumes, 0 for a stream
// from its start.
func (a *AuthorizedCall) ResumesAfter() int64 {
	if !a.Route.Resumable {
		return 0
	}
	return a.Call.LastEventID
}

// TimeLeft returns the time to the deadline; it is negative after the deadline.
func (a *AuthorizedCall) TimeLeft() time.Duration { return a.Deadline.Sub(bootclock.Now()) }

// SinceReceived returns the time since the whole request had been read.
func (a *AuthorizedCall) SinceReceived() time.Duration { return bootclock.Since(a.Received) }

// Age returns the time since arrival.
func (a *AuthorizedCall) Age() time.Duration { return bootclock.Since(a.Arrived) }
