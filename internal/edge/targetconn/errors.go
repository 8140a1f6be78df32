package targetconn

import "github.com/rotisserie/eris"

// Sentinel errors of Do. Test with errors.Is.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = eris.New("target: not reachable and nothing was sent; try another target")
	// ErrBroken means that the request was sent, at least in part, and has no
	// whole answer: it may have run.
	ErrBroken = eris.New("target: connection broke after the request was sent; repeat it only if it is idempotent")
	// ErrForeign means that the answer is not HTTP or belongs to no request.
	ErrInvalidResponse = eris.New("target: answer cannot be read; repeat the request only if it is idempotent")
)
