package delivery

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

// begin runs a recorded draft, unless this host runs it already. The budget must
// hold it.
func (s *Service) begin(p pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, size := p.draft(), len(p.Request.Prompt)
	if s.stopping || s.running[d] {
		s.budget.give(p.Account, size)
		return
	}
	s.running[d] = true
	s.tasks.Go(func() {
		s.process(p)
		s.budget.give(p.Account, size)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, d)
	})
}

// process runs a draft until it has an answer in the store, or this host stops.
func (s *Service) process(p pending) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-s.queueing.Done():
		return
	}
	for s.queueing.Err() == nil {
		a, packed, retry := s.attempt(p)
		if retry > 0 {
			wait.For(s.queueing, retry)
			if s.answered(p.draft()) {
				return
			}
			continue
		}
		s.keep(p.draft(), a, packed)
		return
	}
}

// answered tells whether another runner or a cancellation was faster. It removes
// the pending record then.
func (s *Service) answered(d draftID) bool {
	ctx, cancel := context.WithTimeout(s.life, s.settings.StoreTimeout)
	defer cancel()
	if _, err := s.repository.answer(ctx, d); err != nil {
		return false
	}
	_ = s.repository.store.Delete(ctx, d.pendingKey(), platform.AnyRevision)
	return true
}

// attempt runs the draft once. It returns the final answer with its packed body,
// or when to try again.
func (s *Service) attempt(p pending) (answer, []byte, time.Duration) {
	a := answer{State: completion.LateReady, BodyHash: p.BodyHash, Attempt: ids.New()}
	outcome := s.run(s.life, p.Account, p.ID, p.Request, p.BodyHash)
	a.Finished = time.Now()
	if outcome.Err == nil {
		body, err := json.Marshal(outcome.Response)
		if err != nil {
			panic(err) // a response holds plain data only
		}
		return a, pack(body), 0
	}
	failure := outcome.Err
	if !final(failure.Kind) {
		if time.Since(p.Accepted) < s.settings.MaxAge() {
			return a, nil, max(failure.RetryAfter, s.settings.RetryDelay)
		}
		failure = expired()
	}
	a.State = completion.LateFailed
	document := failure.Document()
	a.Problem = &document
	return a, nil, 0
}

// final tells whether another attempt would fail the same way.
func final(kind problem.Kind) bool {
	switch kind {
	case problem.KindBadRequest, problem.KindTooLarge, problem.KindUnknownModel, problem.KindForbidden,
		problem.KindCrashSuspect, problem.KindKeyReused:
		return true
	default:
		return false
	}
}

// keep writes the answer until the store has it. An outage only delays it.
func (s *Service) keep(d draftID, a answer, packed []byte) {
	timeout := s.settings.StoreTimeout * time.Duration(1+len(packed)/maxChunk)
	for {
		ctx, cancel := context.WithTimeout(s.life, timeout)
		err := s.repository.finish(ctx, d, a, packed)
		cancel()
		if err == nil {
			return
		}
		if s.life.Err() != nil {
			s.log.Warn("Finished draft is left to another host.", "account", d.Account, "id", d.ID)
			return
		}
		s.log.Warn("Store did not take a finished draft.", "account", d.Account, "id", d.ID, "error", err)
		wait.For(s.life, s.settings.RetryDelay)
	}
}

// Start searches for orphans until Stop.
func (s *Service) Start() {
	s.tasks.Go(func() {
		for s.queueing.Err() == nil {
			wait.For(s.queueing, s.settings.ScanInterval)
			s.AdoptOrphans(s.queueing)
		}
	})
}

// Stop leaves the drafts that have not begun to other hosts and waits until
// those that run have their answers in the store, or ctx ends.
func (s *Service) Stop(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.leave()
	cancel := context.AfterFunc(ctx, s.kill)
	defer cancel()
	s.tasks.Wait()
	s.kill()
}

// Scan takes over the drafts of hosts that are gone, in the shards that this
// host searches. The first searches cover all shards, for the drafts of an
// earlier process of this host.
func (s *Service) AdoptOrphans(ctx context.Context) {
	s.resolveDoubts(ctx)
	hosts := s.settings.AliveHosts()
	complete := true
	for shard := range shards {
		owned := ownsShard(s.settings.Host, shard, hosts)
		if ctx.Err() != nil || (!owned && s.recovered) {
			continue
		}
		complete = s.scanShard(ctx, shard, hosts, owned) && complete
	}
	s.recovered = s.recovered || (complete && ctx.Err() == nil)
}

// scanPage bounds one List, since records hold prompts.
const scanPage = 100

// scanShard returns whether everything that this host should run is running.
func (s *Service) scanShard(ctx context.Context, shard int, hosts []string, owned bool) bool {
	after, complete := "", true
	for {
		callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
		found, next, err := s.repository.scan(callCtx, shard, after, scanPage)
		cancel()
		if err != nil {
			s.log.Debug("Search for drafts failed.", "shard", shard, "error", err)
			return false
		}
		for _, p := range found {
			orphan := owned && !slices.Contains(hosts, p.Host)
			if p.Host == s.settings.Host || orphan {
				complete = s.adopt(ctx, p) && complete
			}
		}
		if next == "" {
			return complete
		}
		after = next
	}
}

// adopt runs a draft that no other host runs. It returns false if it must be
// tried again.
func (s *Service) adopt(ctx context.Context, p pending) bool {
	s.mu.Lock()
	runs := s.running[p.draft()]
	s.mu.Unlock()
	if runs {
		return true
	}
	if len(s.slots) == cap(s.slots) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	_, err := s.repository.answer(callCtx, p.draft())
	if err == nil { // its runner went between the answer and the removal
		return s.repository.store.Delete(callCtx, p.draft().pendingKey(), platform.AnyRevision) == nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	s.log.Info("Took over a draft.", "account", p.Account, "id", p.ID, "from", p.Host)
	s.budget.force(p.Account, len(p.Request.Prompt))
	s.begin(p)
	return true
}
