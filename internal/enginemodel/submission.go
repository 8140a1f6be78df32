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

// Submission is a generation to run. Experiments fill it without building
// prompts.
type Submission struct {
	ID           string // generation id
	Model        string
	Version      string
	Adapter      string
	Priority     int // 0 (lowest) to 9 (highest)
	PromptTokens int
	PrefixHashes []uint64 // of the prompt's whole blocks, shortest first
	MaxTokens    int      // zero means no bound
	Length       int      // output tokens in all that the model would produce
	Produced     int      // of these, produced before on another engine
	Crash        bool     // kills the engine at its first decode step
}

// Directives in a prompt.
const (
	lengthDirective = "#len="   // followed by the output length in tokens
	crashDirective  = "#crash"  // kills the engine
	maxDirective    = 1_000_000 // output tokens
)

// leavingRetry is when a caller may ask again; it will be sent elsewhere.
const leavingRetry = time.Second

// read checks an HTTP request and turns it into a submission.
func (e *Engine) read(r engine.GenerateRequest) (Submission, error) {
	if r.ID == "" || r.Prompt == "" || r.MaxTokens < 0 || r.Offset < 0 {
		return Submission{}, refuse(problem.KindBadRequest, http.StatusBadRequest,
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
		Length:       e.length(r),
		Produced:     len(r.Prefix),
		Crash:        strings.Contains(r.Prompt, crashDirective),
	}, nil
}

// checkPrefix refuses tokens that are not the beginning of this generation, so
// that a splice shows at once.
func checkPrefix(r engine.GenerateRequest) error {
	if len(r.Prefix) == 0 {
		return nil
	}
	tag := Identity{r.ID, r.Model, r.Version, r.Adapter}.Tag()
	if n, err := CheckText(strings.Join(r.Prefix, ""), tag); err != nil || n != len(r.Prefix) {
		return refuse(problem.KindBadRequest, http.StatusBadRequest,
			"continue only the same generation under the same model, version and adapter",
			"the prefix is not the beginning of this generation")
	}
	return nil
}

// length returns the output length that the prompt names, or draws one.
func (e *Engine) length(r engine.GenerateRequest) int {
	if _, rest, found := strings.Cut(r.Prompt, lengthDirective); found {
		digits := len(rest) - len(strings.TrimLeft(rest, "0123456789"))
		if n, err := strconv.Atoi(rest[:digits]); err == nil {
			return min(max(1, n), maxDirective)
		}
	}
	return e.config.Lengths.Draw(e.config.LengthSeed, r.ID)
}

// admissible returns why a submission cannot run here, or nil.
func (e *Engine) admissible(s Submission) error {
	if e.status != StatusServing {
		return refuse(problem.KindDraining, http.StatusServiceUnavailable,
			"send the request to another target", "engine %s is leaving", e.config.Name).WithRetryAfter(leavingRetry)
	}
	if e.orders.role == engine.RoleStandby {
		return refuse(problem.KindNoTarget, http.StatusServiceUnavailable,
			"send the request to another target", "engine %s is on standby", e.config.Name)
	}
	if !e.orders.serves(s.Model, s.Version, s.Adapter) {
		return refuse(problem.KindUnknownModel, http.StatusNotFound,
			"send the request to a target that has loaded it",
			"engine %s has not loaded model %q version %q adapter %q", e.config.Name, s.Model, s.Version, s.Adapter)
	}
	if blocks(s.PromptTokens+s.Produced+1) > e.pool.total {
		return refuse(problem.KindTooLarge, http.StatusRequestEntityTooLarge,
			"shorten the prompt", "the prompt has %d tokens and the engine holds %d", s.PromptTokens, e.pool.total*BlockTokens)
	}
	if len(e.waiting.items) >= e.config.MaxWaiting {
		return refuse(problem.KindOverloaded, http.StatusTooManyRequests,
			"send the request to another target", "engine %s has %d sequences waiting", e.config.Name, len(e.waiting.items))
	}
	return nil
}

func refuse(kind problem.Kind, status int, remedy, detail string, args ...any) *problem.Error {
	return problem.New(kind, status, problem.RanNo, remedy, detail, args...)
}
