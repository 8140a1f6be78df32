// Package kvwire defines the HTTP messages between the stand-in store and its
// client.
//
// Paths:
//
//	GET    /v1/kv?key=k                        platform.Entry
//	PUT    /v1/kv?key=k&if=revision&lease=id   raw value -> Written
//	DELETE /v1/kv?key=k&if=revision            Written
//	GET    /v1/list?prefix=p&after=k&limit=n   Listing
//	GET    /v1/watch?prefix=p&after=revision   Changes; long poll
//	POST   /v1/leases?ttl=duration             Lease
//	POST   /v1/leases/{id}                     keeps the lease alive; Lease
//	DELETE /v1/leases/{id}                     revokes the lease; Lease
//	GET    /v1/targets                         []platform.Target
//
// A failure has a status other than 200 and a Failure as its body. A write whose
// answer is lost ends with a closed connection and no answer.
package kvwire

import (
	"net/http"

	"corianderhitch/internal/platform"
)

// Written answers a write.
type WriteReply struct {
	Revision platform.Revision `json:"revision"`
}

// Listing answers a list.
type ListReply struct {
	Entries  []platform.Entry  `json:"entries"`
	Revision platform.Revision `json:"revision"`
}

// Changes answers a watch.
type WatchReply struct {
	Events   []platform.Event  `json:"events"`
	Revision platform.Revision `json:"revision"`
}

// Lease answers a call on a lease.
type LeaseReply struct {
	ID platform.LeaseID `json:"id"`
}

// Failure tells why a call failed.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Code names a sentinel error of the platform.
type Code string

// The codes of failures.
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

// Mapping joins a code with its error and HTTP status.
type ErrorMapping struct {
	Code   Code
	Err    error
	Status int
}

// Mappings lists the codes that stand for sentinel errors of the platform.
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
