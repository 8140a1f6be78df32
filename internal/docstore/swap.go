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

// Bounds of the retries that settle a write whose answer was lost.
const (
	settleTimeout  = 30 * time.Second // an operator waits in front of the command
	firstRetryWait = 50 * time.Millisecond
	longestWait    = 2 * time.Second // few calls a minute while the store is down
)

// swapper carries out one compare-and-swap of a current record to a certain end
// if the store allows one.
type swapper struct {
	store       *Store
	environment string
	next        record
	value       []byte
	at          platform.Revision
	sent        bool // a Put may have taken effect, now or later
}

// run returns nil once the record was accepted. Repeating the Put is safe: its
// condition holds at most once, so a late duplicate has no effect.
func (w *swapper) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	wait := newBackOff()
	for {
		_, err := w.store.store.Put(ctx, document.CurrentKey(w.environment), w.value, w.at, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return w.settle(ctx, wait)
		case surelyUntouched(err) && !w.sent:
			return wrapUntouched(err)
		case !surelyUntouched(err):
			w.sent = true
		}
		if !pause(ctx, wait) {
			return w.unknown(err)
		}
	}
}

// settle finds out whether the write that met a conflict is one's own earlier
// Put, by the attempt id in the current record or in the chain behind it.
func (w *swapper) settle(ctx context.Context, wait backoff.BackOff) error {
	for {
		won, current, err := w.inspect(ctx)
		if err == nil && won {
			return nil
		}
		if err == nil {
			return conflict(w.environment, w.next.Previous.Revision, current)
		}
		if pause(ctx, wait) {
			continue
		}
		if w.sent {
			return w.unknown(err)
		}
		return eris.Wrap(platform.ErrConflict, "another change was accepted first and nothing was changed; run \"hitchctl status\"")
	}
}

func (w *swapper) inspect(ctx context.Context) (won bool, current record, err error) {
	current, _, err = w.store.current(ctx, w.environment)
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
	chain, whole := follow(entries, current, w.next.Revision)
	if !whole {
		return false, record{}, eris.New("the history was removed meanwhile, so this change is not found in it")
	}
	return chain[len(chain)-1].Attempt == w.next.Attempt, current, nil
}

func (w *swapper) unknown(cause error) error {
	return &OutcomeUnknownError{Environment: w.environment, Revision: w.next.Revision, Attempt: w.next.Attempt, Cause: cause}
}

// write puts a key that only this call, or one with the same content, writes. It
// is put even if it is there, so that its store revision moves (see Prune).
func (s *Store) write(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	wait := newBackOff()
	for {
		_, err := s.store.Put(ctx, key, value, platform.AnyRevision, 0)
		if !errors.Is(err, platform.ErrOutcomeUnknown) || !pause(ctx, wait) {
			return err
		}
	}
}

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryWait
	b.MaxInterval = longestWait
	b.RandomizationFactor = 0 // few operators retry at once
	return b
}

// pause waits before the next attempt and returns false at the end of ctx.
func pause(ctx context.Context, wait backoff.BackOff) bool {
	timer := time.NewTimer(wait.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// surelyUntouched tells whether a failed call had no effect for sure.
func surelyUntouched(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrTooLarge)
}

func wrapUntouched(err error) error {
	return eris.Wrap(err, "nothing was changed; repeat the command when the store is reachable")
}
