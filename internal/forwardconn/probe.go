package forwardconn

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/forwarding"
)

const (
	// checkInterval is how often a Dialer checks whether targets are to be probed.
	checkInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe, keptOpen is how long a connection must stay open for a target to
	// count as reached.
	probeTimeout = 300 * time.Millisecond
	keptOpen     = 20 * time.Millisecond
	// otherProbes is how many other targets a helper probes that doesn't reach one.
	otherProbes = 2
	// closeIdleInterval is how often idle connections are closed while some lead by way of other hosts
	// and this one isn't cut off, so that later ones are direct.
	closeIdleInterval = time.Second
)

// Run probes targets while this host may have lost its way to them, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	closedAt := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.forwarded.Load() > 0 && bootclock.Since(closedAt) >= closeIdleInterval && !d.anyCutOff() {
			closedAt = bootclock.Now()
			d.options.CloseIdle()
		}
		silence := d.waits.silence()
		var probes sync.WaitGroup
		for _, service := range d.services() {
			detector := d.detector(service)
			if n := detector.ProbesDue(silence, bootclock.Now()); n > 0 {
				probes.Go(func() { detector.ObserveProbe(d.probe(ctx, service, n), bootclock.Now()) })
			}
		}
		probes.Wait()
	}
}

// anyCutOff reports whether this host doesn't reach the targets of some service.
func (d *Dialer) anyCutOff() bool {
	return slices.ContainsFunc(d.services(), func(service string) bool { return d.detector(service).CutOff() })
}

// services returns the services to whose targets this process has connected.
func (d *Dialer) services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.detectors))
	for name := range d.detectors {
		names = append(names, name)
	}
	return names
}

// reachesOthers reports whether this host reaches one of two other targets of a service, or the service
// has none.
func (d *Dialer) reachesOthers(service, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), helperDialTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(d.options.Targets.Addresses(service)), func(a string) bool { return a == address })
	e := d.probeAddresses(ctx, others, otherProbes)
	return e.Reached > 0 || e.Unreachable == 0
}

// probe opens connections to n random targets of a service at the same time.
func (d *Dialer) probe(ctx context.Context, service string, n int) forwarding.Evidence {
	return d.probeAddresses(ctx, slices.Clone(d.options.Targets.Addresses(service)), n)
}

// probeAddresses opens connections to n random addresses at the same time. It reorders chosen.
func (d *Dialer) probeAddresses(ctx context.Context, chosen []string, n int) forwarding.Evidence {
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(n, len(chosen))]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make([]bool, len(chosen))
	var probes sync.WaitGroup
	for i, address := range chosen {
		probes.Go(func() { reached[i] = d.reaches(ctx, address) })
	}
	probes.Wait()
	var e forwarding.Evidence
	for _, ok := range reached {
		if ok {
			e.Reached++
		} else {
			e.Unreachable++
		}
	}
	return e
}

// reaches reports whether a connection to a target can be opened and is not closed at once.
func (d *Dialer) reaches(ctx context.Context, address string) bool {
	conn, err := d.options.Direct(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return staysOpen(conn)
}

// staysOpen reports whether a connection to which nothing was written is not closed within keptOpen.
func staysOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(keptOpen))
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
