// Package hangup receives SIGHUP from the first moment on: without a handler the
// signal ends a process, also one that is about to start. It imports next to
// nothing, so that it is initialised before the packages that take their time.
package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = subscribe()

func subscribe() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel on which hangups arrive. It holds one; more that
// come before it is read mean the same.
func Signals() <-chan os.Signal { return signals }
