// Package delivery keeps drafts that may arrive late. A draft is in the store
// before its caller hears that it was accepted, and stays there until its whole
// answer is. The host that accepted a draft runs it; if that host goes, the one
// that searches the draft's shard takes over. Two runners are harmless: the
// first whole answer in the store stands. See docs/design/009-late-delivery.md.
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
)

// Settings bound late delivery.
type Settings struct {
	Host            string
	WritesPerSec    float64       // store writes of drafts over all hosts
	MaxConcurrent   int           // drafts that run at once on this host
	StoreTimeout    time.Duration // bound of one step with the store
	ScanInterval    time.Duration // time between two searches for orphans
	RetryDelay      time.Duration // between attempts of a draft without a named time
	MaxAge          func() time.Duration
	PendingLimit    func(account string) int // limit of an account over all hosts, zero for none
	AliveHosts      func() []string
	AnswerRetention func() time.Duration
}

// Outcome is the end of one attempt to run a draft. Exactly one of the fields is set.
type Outcome struct {
	Response *completion.Response
	Err      *problem.Error
}

// Run runs a draft once.
type RunFunc func(ctx context.Context, account, id string, request completion.Request, bodyHash uint64) Outcome

// Service implements api.Late and runs drafts. Call Start and Stop.
type Service struct {
	settings   Settings
	repository *repository
	run        RunFunc
	budget     *budget
	slots      chan struct{}
	log        *slog.Logger

	// recovered is set once the drafts of an earlier process of this host run
	// again. It is used by the search only.
	recovered bool

	mu       sync.Mutex
	running  map[draftID]bool      // guarded by mu
	stopping bool                  // guarded by mu
	doubtful map[draftID]time.Time // guarded by mu; records that may stand or come to stand
	tasks    sync.WaitGroup
	queueing context.Context // ends at Stop: drafts that have not begun are left
	leave    context.CancelFunc
	life     context.Context // ends when Stop's time is over
	kill     context.CancelFunc
}

var _ api.Late = (*Service)(nil)

// New returns a Service over the store.
func New(store platform.Store, settings Settings, run RunFunc, log *slog.Logger) *Service {
	s := &Service{
		settings:   settings,
		repository: &repository{store: store, leases: storelease.New(store, settings.AnswerRetention)},
		run:        run,
		budget:     newBudget(settings.WritesPerSec),
		slots:      make(chan struct{}, settings.MaxConcurrent),
		log:        log,
		running:    make(map[draftID]bool),
		doubtful:   make(map[draftID]time.Time),
	}
	s.queueing, s.leave = context.WithCancel(context.Background())
	s.life, s.kill = context.WithCancel(context.Background())
	return s
}

// Accept implements api.Late.
func (s *Service) Accept(ctx context.Context, account, id string, request completion.Request, hash uint64) (completion.LateStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	d := draftID{Account: account, ID: id}
	if known, err := s.known(ctx, d, hash); known != nil || err != nil {
		return deref(known), err
	}
	size := len(request.Prompt)
	limit, hosts := s.settings.PendingLimit(account), len(s.settings.AliveHosts())
	if after, ok := s.budget.take(account, size, limit, hosts, time.Now()); !ok {
		return completion.LateStatus{}, overBudget(after)
	}
	p := pending{Account: account, ID: id, BodyHash: hash, Host: s.settings.Host, Accepted: time.Now(), Request: request}
	err := s.repository.addPending(ctx, p)
	if err == nil {
		s.begin(p)
		return status(id, completion.LatePending), nil
	}
	s.budget.give(account, size)
	if errors.Is(err, errExists) {
		return s.existing(ctx, d, hash)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		s.doubt(d)
	}
	return completion.LateStatus{}, notRecorded(err)
}

func deref(status *completion.LateStatus) completion.LateStatus {
	if status == nil {
		return completion.LateStatus{}
	}
	return *status
}

// known looks for the answer of an earlier sending.
func (s *Service) known(ctx context.Context, d draftID, hash uint64) (*completion.LateStatus, error) {
	a, err := s.repository.answer(ctx, d)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, storeDown(err, problem.RanUnknown)
	case a.BodyHash != hash:
		return nil, keyReused()
	}
	known := status(d.ID, a.State)
	return &known, nil
}

// existing answers for a draft that another sending has recorded.
func (s *Service) existing(ctx context.Context, d draftID, hash uint64) (completion.LateStatus, error) {
	p, err := s.repository.pending(ctx, d)
	if errors.Is(err, platform.ErrNotFound) {
		known, err := s.known(ctx, d, hash)
		return deref(known), err
	}
	if err != nil {
		return completion.LateStatus{}, storeDown(err, problem.RanUnknown)
	}
	if p.BodyHash != hash {
		return completion.LateStatus{}, keyReused()
	}
	return status(d.ID, completion.LatePending), nil
}

// Fetch implements api.Late.
func (s *Service) Fetch(ctx context.Context, account, id string) (api.LateAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	d := draftID{Account: account, ID: id}
	found, err := s.fetchAnswer(ctx, d)
	if !errors.Is(err, api.ErrNoLate) {
		return found, err
	}
	_, err = s.repository.pending(ctx, d)
	if err == nil {
		return api.LateAnswer{ID: id, State: completion.LatePending}, nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return api.LateAnswer{}, storeDown(err, problem.RanUnknown)
	}
	return s.fetchAnswer(ctx, d) // it may have been finished in between
}

func (s *Service) fetchAnswer(ctx context.Context, d draftID) (api.LateAnswer, error) {
	a, err := s.repository.answer(ctx, d)
	if errors.Is(err, platform.ErrNotFound) {
		return api.LateAnswer{}, api.ErrNoLate
	}
	if err != nil {
		return api.LateAnswer{}, storeDown(err, problem.RanUnknown)
	}
	found := api.LateAnswer{ID: d.ID, State: a.State}
	if a.Problem != nil {
		found.Problem = problem.FromDocument(*a.Problem)
		return found, nil
	}
	if found.Body, err = s.repository.body(ctx, d, a); err != nil {
		return api.LateAnswer{}, storeDown(err, problem.RanYes)
	}
	return found, nil
}

// Cancel implements api.Late. A draft that has its answer keeps it.
func (s *Service) Cancel(ctx context.Context, account, id string) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	d := draftID{Account: account, ID: id}
	p, err := s.repository.pending(ctx, d)
	if errors.Is(err, platform.ErrNotFound) {
		return api.ErrNoLate
	}
	if err != nil {
		return storeDown(err, problem.RanUnknown)
	}
	document := canceled().Document()
	a := answer{State: completion.LateFailed, BodyHash: p.BodyHash, Attempt: ids.New(), Finished: time.Now(), Problem: &document}
	if err := s.repository.finish(ctx, d, a, nil); err != nil {
		return storeDown(err, problem.RanUnknown)
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
