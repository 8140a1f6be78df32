package docsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

const (
	// watchersPerDomain is the number of hosts of a failure domain that watch the
	// store. The second covers the first one's death or frozen watch.
	watchersPerDomain = 2
	// rereadAfter bounds the life of one watch. A watch that was lost silently
	// costs at most this delay.
	rereadAfter = 10 * time.Second
	// retryAfter is the pause after a failed call to the store.
	retryAfter = time.Second
	// idleAfter is how often a host that does not watch checks whether it should.
	idleAfter = 2 * time.Second
)

// Fleet is what a Watcher needs to know of and tell to the fleet.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	ApplyDocumentIfNewer(revision int64, content []byte)
	SetStoreReachable(reachable bool)
}

// Watcher reads the document at start, and watches it while this host is one of
// the watchers of its failure domain. Two hosts that both believe so do no harm.
type Watcher struct {
	log    *slog.Logger
	source Source
	fleet  Fleet
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// StartWatcher begins to watch.
func StartWatcher(log *slog.Logger, source Source, fleet Fleet) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{log: logging.Part(log, "docsync"), source: source, fleet: fleet, stop: cancel}
	w.done.Add(1)
	go w.run(ctx)
	return w
}

// Stop ends the watch and waits for its goroutine.
func (w *Watcher) Stop() {
	w.stop()
	w.done.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	defer w.done.Done()
	_, _ = w.read(ctx)
	for ctx.Err() == nil {
		if !IsWatcher(w.fleet.Self(), w.fleet.Live()) {
			pause(ctx, idleAfter)
			continue
		}
		from, err := w.read(ctx)
		if err == nil {
			err = w.watch(ctx, from)
		}
		if err != nil {
			pause(ctx, retryAfter)
		}
	}
}

// read takes the document in force and returns the revision to watch from.
func (w *Watcher) read(ctx context.Context) (platform.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, rereadAfter)
	defer cancel()
	revision, content, from, err := w.source.Read(bounded)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	w.fleet.SetStoreReachable(err == nil)
	if err != nil {
		w.log.Warn("Cannot read the document from the store. Peers are asked.", "error", err)
		return 0, err
	}
	if revision > 0 {
		w.fleet.ApplyDocumentIfNewer(revision, content)
	}
	return from, nil
}

// watch waits until the document changed or it is time to read again.
func (w *Watcher) watch(ctx context.Context, from platform.Revision) error {
	bounded, cancel := context.WithTimeout(ctx, rereadAfter)
	defer cancel()
	for {
		changed, next, err := w.source.Wait(bounded, from)
		if bounded.Err() != nil || changed || eris.Is(err, platform.ErrCompacted) {
			return nil
		}
		if err != nil {
			w.fleet.SetStoreReachable(false)
			return err
		}
		from = next
	}
}

// Watches tells whether self is one of the watchers of its failure domain.
func IsWatcher(self control.Member, live []control.Member) bool {
	var hosts []string
	for _, m := range live {
		if m.Domain == self.Domain && m.Region == self.Region {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Ranked("document-watch/"+self.Region+"/"+self.Domain, hosts)
	for _, host := range ranked[:min(watchersPerDomain, len(ranked))] {
		if host == self.Host {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
