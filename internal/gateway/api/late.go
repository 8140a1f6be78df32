package api

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

// ErrNoLate means that no late request of the account has the id.
var ErrLateNotFound = eris.New("api: no late request has this id; check the id")

// LateAnswer is what is known of a late request. Body is the JSON of a
// completion.Response when State is ready; Problem is set when it is failed.
type LateAnswer struct {
	ID      string
	State   completion.LateState
	Body    []byte
	Problem *problem.Error
}

// Late keeps requests with late delivery. Errors are ErrNoLate or a *problem.Error.
type LateDelivery interface {
	// Accept records a request durably before it returns.
	Accept(ctx context.Context, account, id string, request completion.Request, bodyHash uint64) (completion.LateStatus, error)
	Fetch(ctx context.Context, account, id string) (LateAnswer, error)
	Cancel(ctx context.Context, account, id string) error
}

// accept answers a request with late delivery.
func (s *Server) accept(w http.ResponseWriter, r *request, wanted completion.Request, key string, hash uint64) error {
	status, err := s.late.Accept(r.Context(), r.account.Name, key, wanted, hash)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusAccepted, status)
}
