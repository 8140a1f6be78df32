package experiment

import "time"

// callState is where a call stands.
type callState int

const (
	callOpen callState = iota
	callCompleted
	callRefused
)

// call is a request on its way through a gateway, over all its attempts.
type call struct {
	arrival   *Arrival
	state     callState
	attempt   int
	ticket    string // of the present attempt
	target    string // that runs it; empty while it waits
	delivered int    // tokens that its caller has
	firstAt   time.Time
	lastAt    time.Time
	avoid     []string
	resends   int // by its caller after a final error
	budget    int // attempts before the last resend
}
