package enginemodel

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/prefix"
)

// Submission describes a generation to run. Experiments fill it in directly, without
// the text of a prompt.
type Submission struct {
	ID           string // generation id
	Model        string
	Version      string
	Adapter      string
	Priority     int // 0 (lowest) to 9 (highest)
	PromptTokens int
	PrefixHashes []uint64 // of the prompt's whole blocks, shortest first
	MaxTokens    int      // limit of output tokens; zero means none
	Length       int      // total output tokens of the model without the limit
	Produced     int      // of these, already produced on another engine
	Crash        bool     // crashes the engine when its prefill ends
}

// Directives that a prompt may contain, and the limit of lengthDirective.
const (
	lengthDirective    = "#len="   // followed by the output length in tokens
	crashDirective     = "#crash"  // crashes the engine when the prefill ends
	maxDirectiveLength = 1_000_000 // output tokens
)

// leavingRetryAfter is the Retry-After of rejections by a leaving engine. It gives hosts
// time to notice that the engine is leaving and to choose another target.
const leavingRetryAfter = time.Second

// parseRequest validates an HTTP request and converts it into a submission.
func (e *Engine) parseRequest(r engine.GenerateRequest) (Submission, error) {
	if r.ID == "" || r.Prompt == "" || r.MaxTokens < 0 || r.Offset < 0 {
		return Submission{}, reject(problem.KindBadRequest, http.StatusBadRequest,
			"send an id, a prompt and no negative numbers", "the request is incomplete")
	}
	if err := checkPrefix(r); err != nil {
		return Submission{}, err
	}
	return Submission{
		ID:           r.ID,
		Model:        r.Model,
		Version:      r.Version,
		Adapter:      r.Adapter,
		Priority:     r.Priority,
		PromptTokens: prefix.EstimateTokens(r.Prompt),
		PrefixHashes: prefix.BlockHashes(r.Model, r.Version, r.Adapter, r.Prompt),
		MaxTokens:    r.MaxTokens,
		Length:       e.outputLength(r),
		Produced:     len(r.Prefix),
		Crash:        strings.Contains(r.Prompt, crashDirective),
	}, nil
}

// checkPrefix returns an error if the tokens in r.Prefix are not the first tokens of
// this generation, so that two generations are never spliced.
func checkPrefix(r engine.GenerateRequest) error {
	if len(r.Prefix) == 0 {
		return nil
	}
	tag := Identity{r.ID, r.Model, r.Version, r.Adapter}.Tag()
	if n, err := CheckText(strings.Join(r.Prefix, ""), tag); err != nil || n != len(r.Prefix) {
		return reject(problem.KindBadRequest, http.StatusBadRequest,
			"continue only the same generation under the same model, version and adapter",
			"the prefix is not the beginning of this generation")
	}
	return nil
}

// outputLength returns the output length from the directive in the prompt, or else a
// random one.
func (e *Engine) outputLength(r engine.GenerateRequest) int {
	if _, rest, found := strings.Cut(r.Prompt, lengthDirective); found {
		digits := len(rest) - len(strings.TrimLeft(rest, "0123456789"))
		if n, err := strconv.Atoi(rest[:digits]); err == nil {
			return min(max(1, n), maxDirectiveLength)
		}
	}
	return e.config.Lengths.Draw(e.config.LengthSeed, r.ID)
}

// checkAdmission returns an error if the submission cannot run on this engine now.
func (e *Engine) checkAdmission(now time.Time, s Submission) error {
	if e.status != StatusServing {
		return reject(problem.KindDraining, http.StatusServiceUnavailable,
			"send the request to another target", "engine %s is leaving", e.config.Name).WithRetryAfter(leavingRetryAfter)
	}
	if now.Before(e.pauseEnd) {
		return reject(problem.KindOverloaded, http.StatusServiceUnavailable,
			"send the request to another target", "engine %s is paused", e.config.Name).WithRetryAfter(e.pauseEnd.Sub(now))
	}
	if e.orders.role == engine.RoleStandby {
		return reject(problem.KindNoTarget, http.StatusServiceUnavailable,
			"send the request to another target", "engine %s is on standby", e.config.Name)
	}
	if !e.orders.serves(s.Model, s.Version, s.Adapter) {
		return reject(problem.KindUnknownModel, http.StatusNotFound,
			"send the request to a target that has loaded it",
			"engine %s has not loaded model %q version %q adapter %q", e.config.Name, s.Model, s.Version, s.Adapter)
	}
	if blocksFor(s.PromptTokens+s.Produced+1) > e.pool.total {
		return reject(problem.KindTooLarge, http.StatusRequestEntityTooLarge,
			"shorten the prompt", "the prompt has %d tokens and the engine holds %d", s.PromptTokens, e.pool.total*BlockTokens)
	}
	if len(e.waiting.items) >= e.config.MaxWaiting {
		return reject(problem.KindOverloaded, http.StatusTooManyRequests,
			"send the request to another target", "engine %s has %d sequences waiting", e.config.Name, len(e.waiting.items))
	}
	return nil
}

func reject(kind problem.Kind, status int, remedy, detail string, args ...any) *problem.Error {
	return problem.New(kind, status, problem.RanNo, remedy, detail, args...)
}
