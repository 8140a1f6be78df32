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
	req, err := decodeRequest(body)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(r.Request)
	if err != nil {
		return err
	}
	keyGiven := key != ""
	if !keyGiven {
		key = ids.New()
	}
	w.Header().Set("Idempotency-Key", key)
	job, err := NewJob(r.view.Index, r.account, req, key, r.receivedAt)
	if err != nil {
		return err
	}
	if req.Delivery == completion.DeliveryLate {
		return s.acceptLate(w, r, req, key, job.BodyHash)
	}
	if keyGiven {
		if err := s.attachIfRunning(r, &job); err != nil {
			return err
		}
	}
	if req.Stream {
		return s.serveStream(w, r, job)
	}
	return s.serveNonStreaming(w, r, job)
}

// NewJob returns the job for a request, pinned to the model version that the document
// grants to the account now. It fails with an unknown-model problem if the account has
// no such grant. key is the request id.
func NewJob(index *document.Index, account *document.Account, req completion.Request, key string, receivedAt time.Time) (runner.Job, error) {
	grant, model, class, ok := index.Grant(account.Name, req.Model, req.Adapter)
	if !ok {
		return runner.Job{}, unknownModel(req.Model, req.Adapter)
	}
	maxTokens := model.MaxTokens
	if req.MaxTokens > 0 {
		maxTokens = min(maxTokens, req.MaxTokens)
	}
	hash := bodyHash(req)
	d := index.Accepted().Document
	return runner.Job{
		Prompt:             req.Prompt,
		BodyHash:           hash,
		ContinueFromPrefix: model.ContinueFromPrefix,
		StallTimeout:       stallTimeout(d.Objectives),
		ReceivedAt:         receivedAt,
		Admit: control.AdmitArgs{
			RequestID:    key,
			Account:      account.Name,
			Model:        model.Name,
			Version:      grant.Version,
			Adapter:      grant.Adapter,
			Class:        class.Name,
			Priority:     class.Priority,
			Weight:       account.Weight,
			PromptTokens: prefix.EstimateTokens(req.Prompt),
			MaxTokens:    maxTokens,
			PrefixHashes: prefix.BlockHashes(model.Name, grant.Version, grant.Adapter, req.Prompt),
			Deadline:     firstTokenDeadline(req, class, receivedAt),
			Fingerprint:  suspicion.Fingerprint(fingerprint(account.Name, hash), false),
		},
	}, nil
}

const (
	// stallIntervals is the number of inter-token objectives without a token after which
	// the gateway reattaches to the generation, in case the connection is broken.
	stallIntervals = 30
	// minStallTimeout keeps short objectives from causing needless reattachments.
	minStallTimeout = 1 * time.Second
	// defaultFirstTokenTimeout bounds the wait for the first token if neither the
	// caller nor the class sets a deadline.
	defaultFirstTokenTimeout = 30 * time.Second
)

// stallTimeout returns how long a stream may be silent before it is reattached.
func stallTimeout(o document.Objectives) time.Duration {
	return max(minStallTimeout, stallIntervals*time.Duration(o.InterTokenMS)*time.Millisecond)
}

// firstTokenDeadline returns the deadline for the first token: the caller's, else the
// class's, else the default.
func firstTokenDeadline(req completion.Request, class *document.Class, receivedAt time.Time) time.Time {
	timeout := defaultFirstTokenTimeout
	if class.DeadlineMS > 0 {
		timeout = time.Duration(class.DeadlineMS) * time.Millisecond
	}
	if req.DeadlineMS > 0 {
		timeout = time.Duration(req.DeadlineMS) * time.Millisecond
	}
	return receivedAt.Add(timeout)
}

// attachIfRunning turns the job into an attachment if the caller sent a resume token
// or the fleet's directory knows the request id. A different body under a known id is
// rejected.
func (s *Server) attachIfRunning(r *request, job *runner.Job) error {
	if token := r.Header.Get("Last-Event-ID"); token != "" {
		return s.resumeWithPrompt(r, job, token)
	}
	entry, found := s.fleet.Lookup(r.Context(), r.account.Name, job.Admit.RequestID)
	if !found {
		return nil
	}
	if entry.BodyHash != job.BodyHash {
		return runner.KeyReusedProblem()
	}
	pinVersion(job, entry.Model, entry.Version, entry.Adapter)
	job.Resume = &runner.Resume{Target: entry.Target, Generation: entry.Generation, StartIfUnknown: true}
	s.metrics.RecordAttachment("request-id")
	return nil
}

// resumeWithPrompt continues the stream of a resume token. The caller sent the prompt
// again, so another engine can continue if the token's engine fails.
func (s *Server) resumeWithPrompt(r *request, job *runner.Job, text string) error {
	token, err := s.keys.Current().Verify(text, r.account.Name, r.receivedAt)
	if err != nil || token.RequestID != job.Admit.RequestID {
		return badResumeToken()
	}
	pinVersion(job, token.Model, token.Version, token.Adapter)
	job.Resume = resumeFrom(token)
	s.metrics.RecordAttachment("token")
	return nil
}

// pinVersion sets the model, version and adapter with which the generation started,
// whatever the document grants now.
func pinVersion(job *runner.Job, model, version, adapter string) {
	job.Admit.Model, job.Admit.Version, job.Admit.Adapter = model, version, adapter
	job.Admit.PrefixHashes = prefix.BlockHashes(model, version, adapter, job.Prompt)
}

// serveStream runs the job and answers with server-sent events. A failure after the
// first event is sent as an error event; one before is returned.
func (s *Server) serveStream(w http.ResponseWriter, r *request, job runner.Job) error {
	writer := s.newWriter(w, r, job)
	result := s.runner.Run(r.Context(), job, writer)
	switch {
	case result.CallerLeft:
		return nil
	case result.Err != nil && writer.Started():
		s.log.Info("stream ended with an error", "kind", result.Err.Kind, "error", result.Err.Cause)
		_ = writer.WriteError(result.Err)
		s.metrics.RecordRequest("stream-end", string(result.Err.Kind))
		return nil
	case result.Err != nil:
		return result.Err
	}
	_ = writer.Finish(len(result.Tokens), string(result.FinishReason))
	return nil
}

// newWriter returns the stream's writer, with a template for its resume tokens.
func (s *Server) newWriter(w http.ResponseWriter, r *request, job runner.Job) *sse.Writer {
	template := resumetoken.Token{
		Account: r.account.Name, RequestID: job.Admit.RequestID,
		Model: job.Admit.Model, Version: job.Admit.Version, Adapter: job.Admit.Adapter,
		Expires: r.receivedAt.Add(s.settings.TokenLifetime),
	}
	return sse.NewWriter(w, s.keys.Current(), template, s.settings.SlowCallerTimeout, s.metrics.AddTokens)
}

// serveNonStreaming runs the job and answers with the whole completion as JSON.
func (s *Server) serveNonStreaming(w http.ResponseWriter, r *request, job runner.Job) error {
	job.NonStreaming = true
	result := s.runner.Run(r.Context(), job, nil)
	if result.Err != nil {
		return result.Err
	}
	s.metrics.AddTokens(len(result.Tokens))
	return writeJSON(w, http.StatusOK, NewResponse(job, result))
}

// NewResponse returns the response to a completed job.
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
