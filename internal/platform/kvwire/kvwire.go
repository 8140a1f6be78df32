// Package kvwire defines the HTTP messages between the stand-in store and its
// client.
//
// Paths:
//
//	GET    /v1/kv?key=k                        platform.Entry
//	PUT    /v1/kv?key=k&if=revision&lease=id   raw value -> WriteReply
//	DELETE /v1/kv?key=k&if=revision            WriteReply
//	GET    /v1/list?prefix=p&after=k&limit=n   ListReply
//	GET    /v1/watch?prefix=p&after=revision   WatchReply; long poll
//	POST   /v1/leases?ttl=duration             LeaseReply
//	POST   /v1/leases/{id}                     keeps the lease alive; LeaseReply
//	DELETE /v1/leases/{id}                     revokes the lease; LeaseReply
//	GET    /v1/targets                         []platform.Target
//
// A failed call has a status other than 200 and an ErrorReply as its body. The
// connection of a write whose answer is lost is closed without a response.
package kvwire

import (
	"net/http"

	"corianderhitch/internal/platform"
)

// WriteReply is the reply to a write.
type WriteReply struct {
	Revision platform.Revision `json:"revision"`
}

// ListReply is the reply to a list.
type ListReply struct {
	Entries  []platform.Entry  `json:"entries"`
	Revision platform.Revision `json:"revision"`
}

// WatchReply is the reply to a watch.
type WatchReply struct {
	Events   []platform.Event  `json:"events"`
	Revision platform.Revision `json:"revision"`
}

// LeaseReply is the reply to a call on a lease.
type LeaseReply struct {
	ID platform.LeaseID `json:"id"`
}

// ErrorReply is the reply to a failed call.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Code identifies an error. All but CodeBadRequest represent sentinel errors of
// package platform.
type Code string

// Error codes.
const (
	CodeNotFound     Code = "not-found"
	CodeConflict     Code = "conflict"
	CodeUnavailable  Code = "unavailable"
	CodeRateLimited  Code = "rate-limited"
	CodeTooLarge     Code = "too-large"
	CodeLeaseExpired Code = "lease-expired"
	CodeCompacted    Code = "compacted"
	CodeBadRequest   Code = "bad-request"
)

// ErrorMapping maps a code to its sentinel error and HTTP status.
type ErrorMapping struct {
	Code   Code
	Err    error
	Status int
}

// ErrorMappings returns the codes that represent sentinel errors of the platform.
func ErrorMappings() []ErrorMapping {
	return []ErrorMapping{
		{CodeNotFound, platform.ErrNotFound, http.StatusNotFound},
		{CodeConflict, platform.ErrConflict, http.StatusPreconditionFailed},
		{CodeUnavailable, platform.ErrUnavailable, http.StatusServiceUnavailable},
		{CodeRateLimited, platform.ErrRateLimited, http.StatusTooManyRequests},
		{CodeTooLarge, platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
		{CodeLeaseExpired, platform.ErrLeaseExpired, http.StatusGone},
		{CodeCompacted, platform.ErrCompacted, http.StatusGone},
	}
}
