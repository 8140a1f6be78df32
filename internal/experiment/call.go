package experiment

import (
	"time"

	"corianderhitch/internal/edge/targetnotice"
)

// callState is the state of a call.
type callState int

const (
	callOpen callState = iota
	callCompleted
	callRejected
)

// call is a request at a gateway, with all its attempts.
type call struct {
	arrival              *Arrival
	gateway              int
	state                callState
	attempt              int
	ticket               string // of the current attempt
	target               string // that runs the current attempt; empty while it waits
	delivered            int    // tokens that the caller has received
	next                 int    // offset of the next token of the current attempt
	firstTokenAt         time.Time
	lastTokenAt          time.Time
	excluded             []string            // targets of earlier attempts
	lostEngines          int                 // attempts that lost their engine
	trial                *targetnotice.Trial // the current attempt, if it is the first after a pause
	rejectedInPause      int                 // attempts that reached a target in a pause
	resends              int                 // by the caller after a final error
	attemptsBeforeResend int                 // number of attempts before the last resend
}
