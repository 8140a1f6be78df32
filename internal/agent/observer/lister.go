package observer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

const (
	// readersPerRegion is the number of hosts of a region that read the platform's
	// list.
	readersPerRegion = 2
	// readsPerComparison is the number of reads after which a reader compares the
	// whole list with the table, to find what an earlier reader missed.
	readsPerComparison = 15
)

// Lister reads the platform's list of targets while this host is one of the readers of
// its region. The lists of two regions may differ in age.
type Lister struct {
	log      *slog.Logger
	list     platform.HostList
	fleet    Fleet
	interval time.Duration
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// StartLister returns a Lister that reads the list at the interval until Stop.
func StartLister(log *slog.Logger, list platform.HostList, fleet Fleet, interval time.Duration) *Lister {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lister{log: logging.WithPrefix(log, "lister"), list: list, fleet: fleet, interval: interval, stop: cancel}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// Stop ends the reads and waits for the goroutine.
func (l *Lister) Stop() {
	l.stop()
	l.done.Wait()
}

// run reads the list in every interval in which this host is one of the readers, until
// ctx ends.
func (l *Lister) run(ctx context.Context) {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	var comparer ListComparer
	for reads := 0; ; {
		if !IsListReader(l.fleet.Self(), l.fleet.Live()) {
			comparer, reads = ListComparer{}, 0
		} else if l.read(ctx, &comparer, reads%readsPerComparison == 0) {
			reads++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the list, applies its changes to the table, and reports whether it
// succeeded.
func (l *Lister) read(ctx context.Context, comparer *ListComparer, compare bool) bool {
	bounded, cancel := context.WithTimeout(ctx, l.interval)
	defer cancel()
	list, err := l.list.Targets(bounded)
	if err != nil {
		if ctx.Err() == nil {
			l.log.Warn("Cannot read the platform's list, the last one stays in use.", "error", err)
		}
		return false
	}
	now := time.Now()
	for _, row := range comparer.Changes(list, l.fleet.Targets(now), compare) {
		l.log.Info("Target list changed.", "target", row.Name, "leaving", row.Leaving, "left", row.Left)
		l.fleet.UpdateTarget(now, row.Name, func(old control.TargetState) (control.TargetState, bool) { return withListChange(old, row), true })
	}
	return true
}

// IsListReader reports whether self is one of the readers of its region.
func IsListReader(self control.Member, live []control.Member) bool {
	var hosts []string
	for _, m := range live {
		if m.Region == self.Region {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Ranked("host-list/"+self.Region, hosts)
	for _, host := range ranked[:min(readersPerRegion, len(ranked))] {
		if host == self.Host {
			return true
		}
	}
	return false
}
