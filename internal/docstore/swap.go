package docstore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Limits of the retries of a write whose answer was lost.
const (
	retryTimeout   = 30 * time.Second // an operator waits for the command
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second // limits the calls to an unavailable store
)

// swapper performs one compare-and-swap of a current record and retries until the
// outcome is known or retryTimeout passes.
type swapper struct {
	store          *Store
	environment    string
	next           record
	value          []byte
	storeRevision  platform.Revision
	mayHaveApplied bool // a Put may have taken effect, now or later
}

// run returns nil once the record was accepted. Repeating the Put is safe: its
// condition holds at most once, so a delayed duplicate has no effect.
func (w *swapper) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	retry := newBackOff()
	for {
		_, err := w.store.store.Put(ctx, document.CurrentKey(w.environment), w.value, w.storeRevision, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return w.resolveConflict(ctx, retry)
		case hadNoEffect(err) && !w.mayHaveApplied:
			return wrapUnchanged(err)
		case !hadNoEffect(err):
			w.mayHaveApplied = true
		}
		if !waitBackoff(ctx, retry) {
			return w.outcomeUnknown(err)
		}
	}
}

// resolveConflict determines after a conflict whether an earlier Put of this change
// was accepted, by the attempt id in the current record or in the chain that it
// links to.
func (w *swapper) resolveConflict(ctx context.Context, retry backoff.BackOff) error {
	for {
		won, current, err := w.findAttempt(ctx)
		if err == nil && won {
			return nil
		}
		if err == nil {
			return newConflictError(w.environment, w.next.Previous.Revision, current)
		}
		if waitBackoff(ctx, retry) {
			continue
		}
		if w.mayHaveApplied {
			return w.outcomeUnknown(err)
		}
		return eris.Wrap(platform.ErrConflict, "another change was accepted first and nothing was changed; run \"hitchctl status\"")
	}
}

// findAttempt reports whether this change was accepted, and returns the record in
// force.
func (w *swapper) findAttempt(ctx context.Context) (won bool, current record, err error) {
	current, _, err = w.store.currentRecord(ctx, w.environment)
	if err != nil {
		return false, record{}, err
	}
	if current.Revision < w.next.Revision {
		return false, current, nil
	}
	entries, err := w.store.attempts(ctx, w.environment, w.next.Revision)
	if err != nil {
		return false, record{}, err
	}
	chain, complete := followLinks(entries, current, w.next.Revision)
	if !complete {
		return false, record{}, eris.New("the history was pruned meanwhile, so this change cannot be found in it")
	}
	return chain[len(chain)-1].Attempt == w.next.Attempt, current, nil
}

func (w *swapper) outcomeUnknown(cause error) error {
	return &OutcomeUnknownError{Environment: w.environment, Revision: w.next.Revision, Attempt: w.next.Attempt, Cause: cause}
}

// write puts a key that no call writes with other content. An existing key is
// written again, so that its store revision changes (see Prune).
func (s *Store) write(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	retry := newBackOff()
	for {
		_, err := s.store.Put(ctx, key, value, platform.AnyRevision, 0)
		if !errors.Is(err, platform.ErrOutcomeUnknown) || !waitBackoff(ctx, retry) {
			return err
		}
	}
}

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	b.RandomizationFactor = 0 // jitter is not needed: few operators retry at once
	return b
}

// waitBackoff waits before the next attempt. It returns false if ctx ended.
func waitBackoff(ctx context.Context, retry backoff.BackOff) bool {
	timer := time.NewTimer(retry.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// hadNoEffect reports whether a failed call certainly had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrTooLarge)
}

func wrapUnchanged(err error) error {
	return eris.Wrap(err, "nothing was changed; repeat the command when the store is reachable")
}
