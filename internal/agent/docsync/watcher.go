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
	// watchersPerDomain is the number of hosts in a failure domain that watch the store.
	// The second one covers a crash or a stalled watch of the first.
	watchersPerDomain = 2
	// rereadInterval bounds the duration of one watch and of one read. A watch that
	// stopped reporting changes delays a new document by at most this time.
	rereadInterval = 10 * time.Second
	// retryDelay is the delay after a failed call to the store.
	retryDelay = time.Second
	// roleCheckInterval is how often a host that does not watch the store checks whether
	// it should.
	roleCheckInterval = 2 * time.Second
)

// Fleet is the part of the agent's state that a Watcher reads and updates.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	ApplyDocumentIfNewer(revision int64, content []byte)
	SetStoreReachable(reachable bool)
}

// Watcher reads the document once at startup, and watches it while this host is one of
// the watchers of its failure domain. Extra watchers, when hosts disagree about the
// members, are harmless.
type Watcher struct {
	log    *slog.Logger
	source Source
	fleet  Fleet
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// StartWatcher starts a Watcher.
func StartWatcher(log *slog.Logger, source Source, fleet Fleet) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{log: logging.WithPrefix(log, "docsync"), source: source, fleet: fleet, stop: cancel}
	w.done.Add(1)
	go w.run(ctx)
	return w
}

// Stop ends the watch and waits for the goroutine.
func (w *Watcher) Stop() {
	w.stop()
	w.done.Wait()
}

// run reads the document once, and then watches it whenever this host is a watcher,
// until ctx ends.
func (w *Watcher) run(ctx context.Context) {
	defer w.done.Done()
	_, _ = w.read(ctx)
	for ctx.Err() == nil {
		if !IsWatcher(w.fleet.Self(), w.fleet.Live()) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		from, err := w.read(ctx)
		if err == nil {
			err = w.watch(ctx, from)
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

// read applies the document in the store and returns the store revision to watch from.
func (w *Watcher) read(ctx context.Context) (platform.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, rereadInterval)
	defer cancel()
	revision, content, from, err := w.source.Read(bounded)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	w.fleet.SetStoreReachable(err == nil)
	if err != nil {
		w.log.Warn("Cannot read the document from the store; relying on peers.", "error", err)
		return 0, err
	}
	if revision > 0 {
		w.fleet.ApplyDocumentIfNewer(revision, content)
	}
	return from, nil
}

// watch blocks until the document has changed or it is time to read it again.
func (w *Watcher) watch(ctx context.Context, from platform.Revision) error {
	bounded, cancel := context.WithTimeout(ctx, rereadInterval)
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

// IsWatcher reports whether self is one of the watchers of its failure domain, chosen by
// rendezvous hashing among the live members.
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
