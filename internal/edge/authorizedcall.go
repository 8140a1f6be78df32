package edge

import (
	"context"
	"log/slog"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
)

// Admitted is a call that the configuration allows, with what decides its way.
type AuthorizedCall struct {
	Call       *Call
	Route      *policy.Route
	Service    *policy.Service
	Account    string // empty on public routes
	Urgency    int    // 0 is the most urgent
	UsesAPIKey bool   // allowed by an API key, which may be taken away
	Arrived    bootclock.Instant
	Deadline   bootclock.Instant // when the caller or the route gives up
	Log        *slog.Logger
	// Allowed tells whether the call may still be sent: an API key must have
	// been confirmed lately. Asked just before bytes leave.
	StillAuthorized func(ctx context.Context) bool
}

// Left returns the time until the deadline.
func (a *AuthorizedCall) TimeLeft() time.Duration { return a.Deadline.Sub(bootclock.Now()) }

// Age returns the time since the arrival.
func (a *AuthorizedCall) Age() time.Duration { return bootclock.Since(a.Arrived) }
