package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/gateway/sse"
	"corianderhitch/internal/prefix"
	"corianderhitch/internal/resumetoken"
	"corianderhitch/internal/scheduling/suspicion"
)

// create answers POST /v1/completions.
func (s *Server) create(w http.ResponseWriter, r *request) error {
	body, err := readBody(w, r.Request, s.settings.MaxBodyBytes)
	if err != nil {
		return err
	}
	wanted, err := decodeRequest(body)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(r.Request)
	if err != nil {
		return err
	}
	given := key != ""
	if !given {
		key = ids.New()
	}
	w.Header().Set("Idempotency-Key", key)
	job, err := NewJob(r.view.Index, r.account, wanted, key, r.started)
	if err != nil {
		return err
	}
	if wanted.Delivery == completion.DeliveryLate {
		return s.accept(w, r, wanted, key, job.BodyHash)
	}
	if given {
		if err := s.join(r, &job); err != nil {
			return err
		}
	}
	if wanted.Stream {
		return s.stream(w, r, job)
	}
	return s.answer(w, r, job)
}

// NewJob pins a request to the version that the document grants now.
func NewJob(index *document.Index, account *document.Account, wanted completion.Request, key string, started time.Time) (runner.Job, error) {
	grant, model, class, ok := index.Grant(account.Name, wanted.Model, wanted.Adapter)
	if !ok {
		return runner.Job{}, unknownModel(wanted.Model, wanted.Adapter)
	}
	maxTokens := model.MaxTokens
	if wanted.MaxTokens > 0 {
		maxTokens = min(maxTokens, wanted.MaxTokens)
	}
	hash := bodyHash(wanted)
	d := index.Accepted().Document
	return runner.Job{
		Prompt:             wanted.Prompt,
		BodyHash:           hash,
		ContinueFromPrefix: model.ContinueFromPrefix,
		StallTimeout:       stallBound(d.Objectives),
		ReceivedAt:         started,
		Admit: control.AdmitArgs{
			RequestID:    key,
			Account:      account.Name,
			Model:        model.Name,
			Version:      grant.Version,
			Adapter:      grant.Adapter,
			Class:        class.Name,
			Priority:     class.Priority,
			Weight:       account.Weight,
			PromptTokens: prefix.EstimateTokens(wanted.Prompt),
			MaxTokens:    maxTokens,
			PrefixHashes: prefix.BlockHashes(model.Name, grant.Version, grant.Adapter, wanted.Prompt),
			Deadline:     firstTokenDeadline(wanted, class, started),
			Fingerprint:  suspicion.Fingerprint(fingerprint(account.Name, hash), false),
		},
	}, nil
}

const (
	// stallTokens is the number of tokens that a stream may be behind its
	// objective before the gateway looks whether its connection still lives.
	stallTokens = 30
	// minStallBound keeps short objectives from causing needless attachments.
	minStallBound = 1 * time.Second
	// defaultDeadline bounds the wait for the first token where neither the
	// caller nor the class does.
	defaultDeadline = 30 * time.Second
)

func stallBound(o document.Objectives) time.Duration {
	return max(minStallBound, stallTokens*time.Duration(o.InterTokenMS)*time.Millisecond)
}

func firstTokenDeadline(wanted completion.Request, class *document.Class, started time.Time) time.Time {
	bound := defaultDeadline
	if class.DeadlineMS > 0 {
		bound = time.Duration(class.DeadlineMS) * time.Millisecond
	}
	if wanted.DeadlineMS > 0 {
		bound = time.Duration(wanted.DeadlineMS) * time.Millisecond
	}
	return started.Add(bound)
}

// join turns the job into an attachment if the request id runs already.
func (s *Server) join(r *request, job *runner.Job) error {
	if token := r.Header.Get("Last-Event-ID"); token != "" {
		return s.resumeAt(r, job, token)
	}
	entry, found := s.view.Lookup(r.Context(), r.account.Name, job.Admit.RequestID)
	if !found {
		return nil
	}
	if entry.BodyHash != job.BodyHash {
		return runner.KeyReusedProblem()
	}
	pin(job, entry.Model, entry.Version, entry.Adapter)
	job.Resume = &runner.Resume{Target: entry.Target, Generation: entry.Generation, StartIfUnknown: true}
	s.metrics.RecordAttachment("request-id")
	return nil
}

// resumeAt continues a stream whose caller knows the prompt, so that another
// engine can take over if the one of the token is gone.
func (s *Server) resumeAt(r *request, job *runner.Job, text string) error {
	token, err := s.keys.Current().Verify(text, r.account.Name, r.started)
	if err != nil || token.RequestID != job.Admit.RequestID {
		return badResumeToken()
	}
	pin(job, token.Model, token.Version, token.Adapter)
	job.Resume = resumeFrom(token)
	s.metrics.RecordAttachment("token")
	return nil
}

// pin keeps the version and adapter with which the generation has begun.
func pin(job *runner.Job, model, version, adapter string) {
	job.Admit.Model, job.Admit.Version, job.Admit.Adapter = model, version, adapter
	job.Admit.PrefixHashes = prefix.BlockHashes(model, version, adapter, job.Prompt)
}

// stream answers with server-sent events.
func (s *Server) stream(w http.ResponseWriter, r *request, job runner.Job) error {
	writer := s.newWriter(w, r, job)
	result := s.runner.Run(r.Context(), job, writer)
	switch {
	case result.CallerLeft:
		return nil
	case result.Err != nil && writer.Started():
		s.log.Info("stream ended by an error", "kind", result.Err.Kind, "error", result.Err.Cause)
		_ = writer.WriteError(result.Err)
		s.metrics.RecordRequest("stream-end", string(result.Err.Kind))
		return nil
	case result.Err != nil:
		return result.Err
	}
	_ = writer.Finish(len(result.Tokens), string(result.FinishReason))
	return nil
}

func (s *Server) newWriter(w http.ResponseWriter, r *request, job runner.Job) *sse.Writer {
	template := resumetoken.Token{
		Account: r.account.Name, RequestID: job.Admit.RequestID,
		Model: job.Admit.Model, Version: job.Admit.Version, Adapter: job.Admit.Adapter,
		Expires: r.started.Add(s.settings.TokenLifetime),
	}
	return sse.NewWriter(w, s.keys.Current(), template, s.settings.SlowCallerTimeout, s.metrics.AddTokens)
}

// answer replies with the whole completion.
func (s *Server) answer(w http.ResponseWriter, r *request, job runner.Job) error {
	job.NonStreaming = true
	result := s.runner.Run(r.Context(), job, nil)
	if result.Err != nil {
		return result.Err
	}
	s.metrics.AddTokens(len(result.Tokens))
	return writeJSON(w, http.StatusOK, NewResponse(job, result))
}

// Response is the whole answer of a complete job.
func NewResponse(job runner.Job, result runner.Result) completion.Response {
	return completion.Response{
		ID:         job.Admit.RequestID,
		Object:     "text_completion",
		Model:      job.Admit.Model,
		Version:    job.Admit.Version,
		Generation: result.Generation,
		Choices:    []completion.Choice{{Text: strings.Join(result.Tokens, ""), FinishReason: string(result.FinishReason)}},
		Usage:      completion.Usage{PromptTokens: job.Admit.PromptTokens, CompletionTokens: len(result.Tokens)},
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return nil
}
