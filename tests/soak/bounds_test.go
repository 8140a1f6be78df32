package soak

import "time"

// Time bounds that the platform guarantees. Those that the settings file sets are
// shorter than the defaults, so that a short run reaches each of them.
const (
	contactBound  = 3 * time.Second
	leavingBound  = 2 * time.Second
	applyBound    = 2 * time.Second
	revokeBound   = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	gracePeriod   = 4 * time.Second
	recoveryBound = 6 * time.Second
	// maxRunOverlap is how long two engines may work on one run at the same time.
	maxRunOverlap = 400 * time.Millisecond
	// heartbeatInterval is the interval at which targets renew their store entries.
	heartbeatInterval = 1200 * time.Millisecond
)

const (
	// warmUp lets the hosts discover each other before the first fault.
	warmUp = 2 * time.Second
	// recoveryWindow is how long requests are sent after recoveryBound, to check
	// that they are served again.
	recoveryWindow = 2 * time.Second
	// schedulingSlack is the delay that a busy machine may add to a time that a test
	// records.
	schedulingSlack = 300 * time.Millisecond
	// callTimeout is the deadline of a caller's request.
	callTimeout = 8 * time.Second
)
