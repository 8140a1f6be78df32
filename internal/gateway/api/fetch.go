package api

import (
	"errors"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/resumetoken"
)

// fetch answers GET /v1/completions/{id}: it resumes a stream if the caller asks for
// one, else it returns the late answer or the whole answer of a running generation.
func (s *Server) fetch(w http.ResponseWriter, r *request) error {
	id := mux.Vars(r.Request)["id"]
	if !validKey(id) {
		return badRequest("the id is no valid Idempotency-Key")
	}
	w.Header().Set("Idempotency-Key", id)
	token := r.Header.Get("Last-Event-ID")
	if token != "" || strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return s.resume(w, r, id, token)
	}
	answer, lateErr := s.late.Fetch(r.Context(), r.account.Name, id)
	if lateErr == nil {
		return writeLateAnswer(w, answer)
	}
	// The directory does not depend on the store, so a running generation can be read
	// during a store outage.
	entry, found := s.fleet.LookupWithRetry(r.Context(), r.account.Name, id)
	if found {
		job := s.attachJob(r, tokenFromEntry(entry, id))
		job.Resume.DeliveredTokens = 0
		return s.serveNonStreaming(w, r, job)
	}
	if errors.Is(lateErr, ErrLateNotFound) {
		return unknownRequest(id)
	}
	return lateErr
}

// resume continues a stream after its resume token or, without one, sends the
// generation of the request id from its start.
func (s *Server) resume(w http.ResponseWriter, r *request, id, text string) error {
	if text == "" {
		entry, found := s.fleet.LookupWithRetry(r.Context(), r.account.Name, id)
		if !found {
			return unknownRequest(id)
		}
		job := s.attachJob(r, tokenFromEntry(entry, id))
		job.Resume.DeliveredTokens = 0
		s.metrics.RecordAttachment("request-id")
		return s.serveStream(w, r, job)
	}
	token, err := s.keys.Current().Verify(text, r.account.Name, r.receivedAt)
	if err != nil || token.RequestID != id {
		return badResumeToken()
	}
	s.metrics.RecordAttachment("token")
	return s.serveStream(w, r, s.attachJob(r, token))
}

// attachJob returns a job that attaches to a running generation. The prompt is not
// known here, so no other engine can continue it.
func (s *Server) attachJob(r *request, token resumetoken.Token) runner.Job {
	job := runner.Job{
		ReceivedAt:   r.receivedAt,
		StallTimeout: stallTimeout(r.view.Index.Accepted().Document.Objectives),
		Resume:       resumeFrom(token),
		Admit: control.AdmitArgs{
			RequestID: token.RequestID, Account: r.account.Name,
			Model: token.Model, Version: token.Version, Adapter: token.Adapter,
		},
	}
	job.Resume.PromptUnknown = true
	return job
}

// resumeFrom returns the attachment point after the token's offset.
func resumeFrom(token resumetoken.Token) *runner.Resume {
	return &runner.Resume{
		Target:          platform.Target{Name: token.Target, Address: token.Address, Kind: platform.TargetEngine},
		Generation:      token.Generation,
		DeliveredTokens: token.Offset + 1,
	}
}

// tokenFromEntry returns an unsigned token that names the generation of a directory
// entry. Its offset has no meaning.
func tokenFromEntry(entry control.DirectoryEntry, id string) resumetoken.Token {
	return resumetoken.Token{
		RequestID: id, Target: entry.Target.Name, Address: entry.Target.Address, Generation: entry.Generation,
		Model: entry.Model, Version: entry.Version, Adapter: entry.Adapter,
	}
}

// cancel answers DELETE /v1/completions/{id}: it cancels the late request and the
// running generation of the id, whichever exist.
func (s *Server) cancel(w http.ResponseWriter, r *request) error {
	id := mux.Vars(r.Request)["id"]
	if !validKey(id) {
		return badRequest("the id is no valid Idempotency-Key")
	}
	lateErr := s.late.Cancel(r.Context(), r.account.Name, id)
	if lateErr != nil && !errors.Is(lateErr, ErrLateNotFound) {
		return lateErr
	}
	entry, found := s.fleet.LookupWithRetry(r.Context(), r.account.Name, id)
	if !found && lateErr != nil {
		return unknownRequest(id)
	}
	if found {
		if err := s.runner.Cancel(r.Context(), entry.Target, entry.Generation); err != nil {
			return problem.New(problem.KindTargetFailed, http.StatusBadGateway, problem.RanUnknown,
				"cancel again", "the engine did not confirm the cancellation").WithCause(err)
		}
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func writeLateAnswer(w http.ResponseWriter, answer LateAnswer) error {
	if answer.State == completion.LatePending {
		return writeJSON(w, http.StatusAccepted, completion.LateStatus{ID: answer.ID, State: answer.State})
	}
	if answer.Problem != nil {
		return answer.Problem
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Body)
	return nil
}
