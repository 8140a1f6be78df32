package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document (RFC 9457).
const ContentType = "application/problem+json"

// typePrefix precedes the kind in the "type" member of a problem document.
const typePrefix = "urn:corianderhitch:problem:"

// Error is a typed failure with a remedy for whoever receives it.
type Error struct {
	Kind       Kind
	Status     int           // HTTP status code
	Ran        Ran           // whether a target executed the request
	Detail     string        // what happened, one sentence
	Remedy     string        // what to do about it, one sentence
	RetryAfter time.Duration // when to retry; zero means that no time is given
	Cause      error         // internal cause for logs, never sent to callers
}

// Document is the JSON form of an Error.
type Document struct {
	Type              string  `json:"type"`
	Title             string  `json:"title"`
	Status            int     `json:"status"`
	Detail            string  `json:"detail,omitempty"`
	Kind              Kind    `json:"kind"`
	Ran               Ran     `json:"ran"`
	Remedy            string  `json:"remedy"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// New returns an Error of the given kind. The detail is formatted with args.
func New(kind Kind, status int, ran Ran, remedy, detail string, args ...any) *Error {
	return &Error{Kind: kind, Status: status, Ran: ran, Remedy: remedy, Detail: fmt.Sprintf(detail, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller when to retry.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	c := *e
	c.RetryAfter = after
	return &c
}

// WithCause returns a copy of e that carries an internal cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Error implements error. The message contains the remedy and the cause.
func (e *Error) Error() string {
	msg := string(e.Kind) + ": " + e.Detail + " (ran: " + string(e.Ran) + "; remedy: " + e.Remedy + ")"
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the internal cause.
func (e *Error) Unwrap() error { return e.Cause }

// Document returns the JSON form of e.
func (e *Error) Document() Document {
	return Document{
		Type:              typePrefix + string(e.Kind),
		Title:             http.StatusText(e.Status),
		Status:            e.Status,
		Detail:            e.Detail,
		Kind:              e.Kind,
		Ran:               e.Ran,
		Remedy:            e.Remedy,
		RetryAfterSeconds: e.RetryAfter.Seconds(),
	}
}

// FromDocument rebuilds the Error that a peer sent as a problem document.
func FromDocument(d Document) *Error {
	return &Error{
		Kind:       d.Kind,
		Status:     d.Status,
		Ran:        d.Ran,
		Detail:     d.Detail,
		Remedy:     d.Remedy,
		RetryAfter: time.Duration(d.RetryAfterSeconds * float64(time.Second)),
	}
}

// Write sends err as a problem document, converted by From.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	body, marshalErr := json.Marshal(e.Document())
	if marshalErr != nil {
		http.Error(w, marshalErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// From returns the *Error that err is or wraps. Any other error becomes the cause of an
// *Error of KindInternal with RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:   KindInternal,
		Status: http.StatusInternalServerError,
		Ran:    RanUnknown,
		Detail: "an unexpected error occurred",
		Remedy: "resend with the same Idempotency-Key; report the trace id if it happens again",
		Cause:  err,
	}
}
