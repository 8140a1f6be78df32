package api

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

// ErrLateNotFound means that no late request of the account has the id.
var ErrLateNotFound = eris.New("api: no late request has this id; check the id")

// LateAnswer is the state of a late request. Body is the JSON of a
// completion.Response when State is ready; Problem is set when State is failed.
type LateAnswer struct {
	ID      string
	State   completion.LateState
	Body    []byte
	Problem *problem.Error
}

// LateDelivery stores requests with late delivery and their answers. Its errors are
// ErrLateNotFound or a *problem.Error.
type LateDelivery interface {
	// Accept records a request durably before it returns.
	Accept(ctx context.Context, account, id string, request completion.Request, bodyHash uint64) (completion.LateStatus, error)
	Fetch(ctx context.Context, account, id string) (LateAnswer, error)
	Cancel(ctx context.Context, account, id string) error
}

// acceptLate stores a request for late delivery and answers with its status.
func (s *Server) acceptLate(w http.ResponseWriter, r *request, req completion.Request, id string, bodyHash uint64) error {
	status, err := s.late.Accept(r.Context(), r.account.Name, id, req, bodyHash)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusAccepted, status)
}
