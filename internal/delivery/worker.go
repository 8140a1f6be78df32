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

// startProcessing runs a recorded request in the background, unless this host runs
// it already. The caller must have reserved its budget, which is released at the end.
func (s *Service) startProcessing(p pendingRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ref, size := p.ref(), len(p.Request.Prompt)
	if s.stopping || s.running[ref] {
		s.budget.release(p.Account, size)
		return
	}
	s.running[ref] = true
	s.tasks.Go(func() {
		s.process(p)
		s.budget.release(p.Account, size)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, ref)
	})
}

// process runs a request until its answer is stored, or this host stops.
func (s *Service) process(p pendingRecord) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-s.startCtx.Done():
		return
	}
	for s.startCtx.Err() == nil {
		a, compressed, retry := s.attempt(p)
		if retry > 0 {
			wait.For(s.startCtx, retry)
			if s.removeIfAnswered(p.ref()) {
				return
			}
			continue
		}
		s.storeAnswer(p.ref(), a, compressed)
		return
	}
}

// removeIfAnswered reports whether an answer was stored by another runner or a
// cancellation, and removes the pending record in that case.
func (s *Service) removeIfAnswered(ref requestRef) bool {
	ctx, cancel := context.WithTimeout(s.runCtx, s.settings.StoreTimeout)
	defer cancel()
	if _, err := s.repository.answer(ctx, ref); err != nil {
		return false
	}
	_ = s.repository.store.Delete(ctx, ref.pendingKey(), platform.AnyRevision)
	return true
}

// attempt runs the request once. It returns the final answer with its compressed
// body, or the time after which to try again.
func (s *Service) attempt(p pendingRecord) (answerRecord, []byte, time.Duration) {
	a := answerRecord{State: completion.LateReady, BodyHash: p.BodyHash, Attempt: ids.New()}
	outcome := s.run(s.runCtx, p.Account, p.ID, p.Request, p.BodyHash)
	a.Finished = time.Now()
	if outcome.Err == nil {
		body, err := json.Marshal(outcome.Response)
		if err != nil {
			panic(err) // a response holds plain data only
		}
		return a, compress(body), 0
	}
	failure := outcome.Err
	if !isPermanent(failure.Kind) {
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

// isPermanent reports whether another attempt would fail the same way.
func isPermanent(kind problem.Kind) bool {
	switch kind {
	case problem.KindBadRequest, problem.KindTooLarge, problem.KindUnknownModel, problem.KindForbidden,
		problem.KindCrashSuspect, problem.KindKeyReused:
		return true
	default:
		return false
	}
}

// storeAnswer repeats the write of the answer until the store has it, so that an
// outage only delays it, or until Stop's context ends.
func (s *Service) storeAnswer(ref requestRef, a answerRecord, compressed []byte) {
	timeout := s.settings.StoreTimeout * time.Duration(1+len(compressed)/maxChunk)
	for {
		ctx, cancel := context.WithTimeout(s.runCtx, timeout)
		err := s.repository.finish(ctx, ref, a, compressed)
		cancel()
		if err == nil {
			return
		}
		if s.runCtx.Err() != nil {
			s.log.Warn("Late answer was not stored before the stop; the request will be run again.", "account", ref.Account, "id", ref.ID)
			return
		}
		s.log.Warn("Late answer could not be stored; retrying.", "account", ref.Account, "id", ref.ID, "error", err)
		wait.For(s.runCtx, s.settings.RetryDelay)
	}
}

// Start searches for orphans in the background until Drain.
func (s *Service) Start() {
	s.tasks.Go(func() {
		for s.startCtx.Err() == nil {
			wait.For(s.startCtx, s.settings.ScanInterval)
			s.AdoptOrphans(s.startCtx)
		}
	})
}

// Drain leaves the requests that have not begun to other hosts: it starts and adopts no
// more. Requests accepted from now on are only recorded.
func (s *Service) Drain() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.stopStarting()
}

// Stop drains the service, and waits until the answers of the running requests are stored
// or ctx ends.
func (s *Service) Stop(ctx context.Context) {
	s.Drain()
	cancel := context.AfterFunc(ctx, s.cancelRuns)
	defer cancel()
	s.tasks.Wait()
	s.cancelRuns()
}

// AdoptOrphans takes over the requests of hosts that are no longer alive, in the shards
// that this host owns. Until one search of all shards has succeeded, it also looks in the
// other shards for the requests of an earlier process of this host.
func (s *Service) AdoptOrphans(ctx context.Context) {
	s.resolveUnconfirmed(ctx)
	hosts := s.settings.AliveHosts()
	complete := true
	for shard := range shards {
		owned := ownsShard(s.settings.Host, shard, hosts)
		if ctx.Err() != nil || (!owned && s.recoveryDone) {
			continue
		}
		complete = s.scanShard(ctx, shard, hosts, owned) && complete
	}
	s.recoveryDone = s.recoveryDone || (complete && ctx.Err() == nil)
}

// scanPage is the number of records that one List returns at most. It is small, since
// records hold prompts.
const scanPage = 100

// scanShard reports whether all requests of the shard that this host should run are
// running.
func (s *Service) scanShard(ctx context.Context, shard int, hosts []string, owned bool) bool {
	after, complete := "", true
	for {
		callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
		found, next, err := s.repository.scan(callCtx, shard, after, scanPage)
		cancel()
		if err != nil {
			s.log.Debug("Search for late requests failed.", "shard", shard, "error", err)
			return false
		}
		for _, p := range found {
			orphan := owned && !slices.Contains(hosts, p.Host)
			if p.Host == s.settings.Host || orphan {
				complete = s.takeOver(ctx, p) && complete
			}
		}
		if next == "" {
			return complete
		}
		after = next
	}
}

// takeOver runs a request that no other host runs. It returns false if it must be
// tried again.
func (s *Service) takeOver(ctx context.Context, p pendingRecord) bool {
	s.mu.Lock()
	runs := s.running[p.ref()]
	s.mu.Unlock()
	if runs {
		return true
	}
	if len(s.slots) == cap(s.slots) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	_, err := s.repository.answer(callCtx, p.ref())
	if err == nil { // its runner stopped between storing the answer and removing the pending record
		return s.repository.store.Delete(callCtx, p.ref().pendingKey(), platform.AnyRevision) == nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	s.log.Info("Took over a late request.", "account", p.Account, "id", p.ID, "from", p.Host)
	s.budget.reserve(p.Account, len(p.Request.Prompt))
	s.startProcessing(p)
	return true
}
