package soak

import "time"

// Bounds of the platform, as its settings file gives them to the processes. They
// lie below the usual ones, so that a short run meets each of them.
const (
	contact       = 3 * time.Second
	drainWithin   = 2 * time.Second
	applyWithin   = 2 * time.Second
	revokeWithin  = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	grace         = 4 * time.Second
	recoverWithin = 6 * time.Second
	// sameRun is how long a run may be worked on at two engines.
	sameRun = 400 * time.Millisecond
	// heartbeat is the period of the targets' entries.
	heartbeat = 1200 * time.Millisecond
)

const (
	// warmUp lets the hosts find each other.
	warmUp = 2 * time.Second
	// calmEnd is how long requests are judged by after the recovery.
	calmEnd = 2 * time.Second
	// scheduling is what a busy machine may add to a moment that a test notes.
	scheduling = 300 * time.Millisecond
	// callDeadline bounds a caller's request.
	callDeadline = 8 * time.Second
)
