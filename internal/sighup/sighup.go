// Package sighup subscribes to SIGHUP during package initialization, because a SIGHUP
// without a handler terminates the process, even while it is still starting. The
// package imports only the standard library, so that it is initialized before packages
// that take longer.
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

// Signals returns the channel that receives SIGHUP. It buffers one signal; further ones
// that arrive before it is read are dropped, since one reload covers them.
func Signals() <-chan os.Signal { return signals }
