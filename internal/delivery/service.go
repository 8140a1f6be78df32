// Package delivery runs late requests: their answers are stored and fetched after
// the caller left. A late request is recorded in the store before its caller is told
// that it was accepted, and stays there until its whole answer is stored. The host
// that accepted a request runs it; if that host is no longer alive, the owner of the
// request's shard takes over. Two hosts that run the same request are harmless: the
// first answer in the store wins. See docs/design/009-late-delivery.md.
package delivery

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/storelease"
	"corianderhitch/internal/wait"
)

// Settings holds the limits, intervals and inputs of late delivery.
type Settings struct {
	Host            string                   // name of this host
	WritesPerSec    float64                  // store writes for late requests over all hosts
	MaxConcurrent   int                      // late requests that run concurrently on this host
	StoreTimeout    time.Duration            // limit for one operation on the store
	ScanInterval    time.Duration            // time between searches for orphans
	RetryDelay      time.Duration            // shortest time between attempts to run a request or to store its answer
	MaxAge          func() time.Duration     // age from which a request that failed is not run again
	PendingLimit    func(account string) int // limit of an account over all hosts, zero for none
	AliveHosts      func() []string          // hosts whose requests must not be taken over
	AnswerRetention func() time.Duration     // minimum time for which answers are stored
}

// Outcome is the result of one attempt to run a late request. Exactly one of the
// fields is set.
type Outcome struct {
	Response *completion.Response
	Err      *problem.Error
}

// RunFunc runs a late request once.
type RunFunc func(ctx context.Context, account, id string, request completion.Request, bodyHash uint64) Outcome

// Service implements api.LateDelivery and runs late requests. Call Start and Stop. The
// methods of api.LateDelivery are safe for concurrent use; AdoptOrphans is not.
type Service struct {
	settings   Settings
	repository *repository
	run        RunFunc
	budget     *budget
	slots      chan struct{}
	log        *slog.Logger

	// recoveryDone is set once the requests of an earlier process of this host run
	// again. Only AdoptOrphans uses it.
	recoveryDone bool

	mu           sync.Mutex
	running      map[requestRef]bool      // guarded by mu
	stopping     bool                     // guarded by mu
	unconfirmed  map[requestRef]time.Time // guarded by mu; requests whose records may exist or still be written
	tasks        sync.WaitGroup
	startCtx     context.Context // ends at Drain; requests that have not begun are left to other hosts
	stopStarting context.CancelFunc
	runCtx       context.Context // ends when Stop's context ends
	cancelRuns   context.CancelFunc
}

var _ api.LateDelivery = (*Service)(nil)

// New returns a Service over the store.
func New(store platform.Store, settings Settings, run RunFunc, log *slog.Logger) *Service {
	s := &Service{
		settings:    settings,
		repository:  &repository{store: store, leases: storelease.New(store, settings.AnswerRetention)},
		run:         run,
		budget:      newBudget(settings.WritesPerSec),
		slots:       make(chan struct{}, settings.MaxConcurrent),
		log:         log,
		running:     make(map[requestRef]bool),
		unconfirmed: make(map[requestRef]time.Time),
	}
	s.startCtx, s.stopStarting = context.WithCancel(context.Background())
	s.runCtx, s.cancelRuns = context.WithCancel(context.Background())
	return s
}

// Accept implements api.LateDelivery. A resend of the same request gets the state of
// the first one.
func (s *Service) Accept(ctx context.Context, account, id string, request completion.Request, hash uint64) (completion.LateStatus, error) {
	ref := requestRef{Account: account, ID: id}
	if known, err := s.earlierStatus(ctx, ref, hash); known != nil || err != nil {
		return statusOrZero(known), err
	}
	size := len(request.Prompt)
	if err := s.awaitBudget(ctx, account, size); err != nil {
		return completion.LateStatus{}, err
	}
	p := pendingRecord{Account: account, ID: id, BodyHash: hash, Host: s.settings.Host, Accepted: time.Now(), Request: request}
	return s.record(ctx, p)
}

// earlierStatus is answerStatus with the limit for an operation on the store.
func (s *Service) earlierStatus(ctx context.Context, ref requestRef, hash uint64) (*completion.LateStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	return s.answerStatus(ctx, ref, hash)
}

// awaitBudget reserves budget for a request and waits until the request may be recorded.
func (s *Service) awaitBudget(ctx context.Context, account string, size int) error {
	limit, hosts := s.settings.PendingLimit(account), len(s.settings.AliveHosts())
	delay, ok := s.budget.tryReserve(account, size, limit, hosts, time.Now())
	if !ok {
		return overBudget(delay)
	}
	wait.For(ctx, delay)
	if ctx.Err() != nil {
		s.budget.release(account, size)
		return overBudget(budgetRetryAfter)
	}
	return nil
}

// record writes a request for which budget is reserved to the store, and starts it.
func (s *Service) record(ctx context.Context, p pendingRecord) (completion.LateStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	err := s.repository.addPending(ctx, p)
	if err == nil {
		s.startProcessing(p)
		return status(p.ID, completion.LatePending), nil
	}
	s.budget.release(p.Account, len(p.Request.Prompt))
	if errors.Is(err, errExists) {
		return s.recordedStatus(ctx, p.ref(), p.BodyHash)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		s.trackUnconfirmed(p.ref())
	}
	return completion.LateStatus{}, notRecorded(err)
}

// statusOrZero returns *status, or the zero status for nil.
func statusOrZero(status *completion.LateStatus) completion.LateStatus {
	if status == nil {
		return completion.LateStatus{}
	}
	return *status
}

// answerStatus returns the status of a stored answer to an earlier request with the
// same key, or nil if there is none.
func (s *Service) answerStatus(ctx context.Context, ref requestRef, hash uint64) (*completion.LateStatus, error) {
	a, err := s.repository.answer(ctx, ref)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, storeUnavailable(err, problem.RanUnknown)
	case a.BodyHash != hash:
		return nil, keyReused()
	}
	known := status(ref.ID, a.State)
	return &known, nil
}

// recordedStatus returns the status of an earlier request with the same key, whose
// pending record exists or did exist.
func (s *Service) recordedStatus(ctx context.Context, ref requestRef, hash uint64) (completion.LateStatus, error) {
	p, err := s.repository.pending(ctx, ref)
	if errors.Is(err, platform.ErrNotFound) {
		known, err := s.answerStatus(ctx, ref, hash)
		return statusOrZero(known), err
	}
	if err != nil {
		return completion.LateStatus{}, storeUnavailable(err, problem.RanUnknown)
	}
	if p.BodyHash != hash {
		return completion.LateStatus{}, keyReused()
	}
	return status(ref.ID, completion.LatePending), nil
}

// Fetch implements api.LateDelivery.
func (s *Service) Fetch(ctx context.Context, account, id string) (api.LateAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	ref := requestRef{Account: account, ID: id}
	found, err := s.fetchAnswer(ctx, ref)
	if !errors.Is(err, api.ErrLateNotFound) {
		return found, err
	}
	_, err = s.repository.pending(ctx, ref)
	if err == nil {
		return api.LateAnswer{ID: id, State: completion.LatePending}, nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return api.LateAnswer{}, storeUnavailable(err, problem.RanUnknown)
	}
	return s.fetchAnswer(ctx, ref) // the request may have been finished in between
}

// fetchAnswer returns the stored answer to a late request, or api.ErrLateNotFound if
// there is none.
func (s *Service) fetchAnswer(ctx context.Context, ref requestRef) (api.LateAnswer, error) {
	a, err := s.repository.answer(ctx, ref)
	if errors.Is(err, platform.ErrNotFound) {
		return api.LateAnswer{}, api.ErrLateNotFound
	}
	if err != nil {
		return api.LateAnswer{}, storeUnavailable(err, problem.RanUnknown)
	}
	found := api.LateAnswer{ID: ref.ID, State: a.State}
	if a.Problem != nil {
		found.Problem = problem.FromDocument(*a.Problem)
		return found, nil
	}
	if found.Body, err = s.repository.body(ctx, ref, a); err != nil {
		return api.LateAnswer{}, storeUnavailable(err, problem.RanYes)
	}
	return found, nil
}

// Cancel implements api.LateDelivery. A request whose answer is stored keeps it.
func (s *Service) Cancel(ctx context.Context, account, id string) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	ref := requestRef{Account: account, ID: id}
	p, err := s.repository.pending(ctx, ref)
	if errors.Is(err, platform.ErrNotFound) {
		return api.ErrLateNotFound
	}
	if err != nil {
		return storeUnavailable(err, problem.RanUnknown)
	}
	document := canceled().Document()
	a := answerRecord{State: completion.LateFailed, BodyHash: p.BodyHash, Attempt: ids.New(), Finished: time.Now(), Problem: &document}
	if err := s.repository.finish(ctx, ref, a, nil); err != nil {
		return storeUnavailable(err, problem.RanUnknown)
	}
	return nil
}

func status(id string, state completion.LateState) completion.LateStatus {
	return completion.LateStatus{ID: id, State: state}
}

func keyReused() *problem.Error {
	return problem.New(problem.KindKeyReused, http.StatusConflict, problem.RanNo,
		"use a new Idempotency-Key for a new request", "the Idempotency-Key was used before with another body")
}
