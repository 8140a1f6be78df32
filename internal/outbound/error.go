package outbound

import (
	"errors"
	"syscall"
)

// SendError is the failure of a request that got no answer. It matches ErrNotSent or
// ErrBroken and unwraps to its cause.
type SendError struct {
	BytesSent bool
	Cause     error
}

// Error implements error.
func (e *SendError) Error() string { return e.sentinel().Error() + ": " + e.Cause.Error() }

// Is matches ErrNotSent or ErrBroken.
func (e *SendError) Is(target error) bool { return target == e.sentinel() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

func (e *SendError) sentinel() error {
	if e.BytesSent {
		return ErrBroken
	}
	return ErrNotSent
}

// IsConnectionRefused reports whether err means that no process listens at the target's
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
