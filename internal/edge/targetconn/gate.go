package targetconn

import (
	"net/http"

	"corianderhitch/internal/edge/targetnotice"
)

// Gate decides which sends may reach a target, and learns from its responses. All requests to
// targets pass it in Pool.Do.
type Gate interface {
	// Check returns whether a request may be sent to an incarnation.
	Check(incarnation string, r *Request) targetnotice.Verdict
	// Admit is Check for a request that is sent at once, which it counts. If the request is
	// allowed, ended must be called when its answer has been observed or the send has failed.
	Admit(incarnation string, r *Request) (v targetnotice.Verdict, ended func(answered bool))
	// Observe is called with the head of each response that arrives from the address on a
	// connection to the incarnation; repeated states that it does not belong to the request, so that
	// it may be an earlier one once more. It reports whether the response states that the target
	// leaves.
	Observe(incarnation, address string, r *Request, status int, h http.Header, repeated bool) (leaving bool)
}
