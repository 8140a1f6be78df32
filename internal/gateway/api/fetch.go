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

// fetch answers GET /v1/completions/{id}: it resumes a stream, or returns a late
// answer or that of a running generation.
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
		return writeLate(w, answer)
	}
	// Also without the store, a running generation can be read.
	entry, found := s.view.LookupWithRetry(r.Context(), r.account.Name, id)
	if found {
		job := s.fixedJob(r, entryToken(entry, id))
		job.Resume.DeliveredTokens = 0
		return s.answer(w, r, job)
	}
	if errors.Is(lateErr, ErrLateNotFound) {
		return unknownRequest(id)
	}
	return lateErr
}

// resume continues a stream by its token, or by the request id from the start.
func (s *Server) resume(w http.ResponseWriter, r *request, id, text string) error {
	if text == "" {
		entry, found := s.view.LookupWithRetry(r.Context(), r.account.Name, id)
		if !found {
			return unknownRequest(id)
		}
		job := s.fixedJob(r, entryToken(entry, id))
		job.Resume.DeliveredTokens = 0
		s.metrics.RecordAttachment("request-id")
		return s.stream(w, r, job)
	}
	token, err := s.keys.Current().Verify(text, r.account.Name, r.started)
	if err != nil || token.RequestID != id {
		return badResumeToken()
	}
	s.metrics.RecordAttachment("token")
	return s.stream(w, r, s.fixedJob(r, token))
}

// fixedJob attaches to a generation whose prompt is not known here.
func (s *Server) fixedJob(r *request, token resumetoken.Token) runner.Job {
	job := runner.Job{
		ReceivedAt:   r.started,
		StallTimeout: stallBound(r.view.Index.Accepted().Document.Objectives),
		Resume:       resumeFrom(token),
		Admit: control.AdmitArgs{
			RequestID: token.RequestID, Account: r.account.Name,
			Model: token.Model, Version: token.Version, Adapter: token.Adapter,
		},
	}
	job.Resume.PromptUnknown = true
	return job
}

func resumeFrom(token resumetoken.Token) *runner.Resume {
	return &runner.Resume{
		Target:          platform.Target{Name: token.Target, Address: token.Address, Kind: platform.TargetEngine},
		Generation:      token.Generation,
		DeliveredTokens: token.Offset + 1,
	}
}

func entryToken(entry control.DirectoryEntry, id string) resumetoken.Token {
	return resumetoken.Token{
		RequestID: id, Target: entry.Target.Name, Address: entry.Target.Address, Generation: entry.Generation,
		Model: entry.Model, Version: entry.Version, Adapter: entry.Adapter,
	}
}

// remove answers DELETE /v1/completions/{id}.
func (s *Server) remove(w http.ResponseWriter, r *request) error {
	id := mux.Vars(r.Request)["id"]
	if !validKey(id) {
		return badRequest("the id is no valid Idempotency-Key")
	}
	lateErr := s.late.Cancel(r.Context(), r.account.Name, id)
	if lateErr != nil && !errors.Is(lateErr, ErrLateNotFound) {
		return lateErr
	}
	entry, found := s.view.LookupWithRetry(r.Context(), r.account.Name, id)
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

func writeLate(w http.ResponseWriter, answer LateAnswer) error {
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
