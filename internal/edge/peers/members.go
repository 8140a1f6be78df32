package peers

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

const (
	// memberPrefix is the store's key prefix for host entries.
	memberPrefix = "corianderhitch/hosts/"
	// memberTTL is how long a host's entry remains after the host has crashed. Until
	// then calls to it fail, without other consequences.
	memberTTL = 15 * time.Second
	// renewInterval is the time between lease renewals.
	renewInterval = 5 * time.Second
	// listInterval is the time between reads of the host list. The list may be
	// seconds old: peers also learn of each other from the calls they receive.
	listInterval = 5 * time.Second
	// firstListDelay is the delay before the first read. Hosts of a starting fleet
	// register within a fraction of a second.
	firstListDelay = 700 * time.Millisecond
	// aloneListInterval replaces listInterval while this host knows no other host.
	aloneListInterval = 1500 * time.Millisecond
	// minWantedDelay is how soon after a read the list is read again for WantList, or
	// wantedDelayPerHost for each known host if that is longer, since all hosts may want it at
	// once. It doubles with each such read in a row that found the same hosts, up to listInterval.
	minWantedDelay     = time.Second
	wantedDelayPerHost = 50 * time.Millisecond
	// maxReregisterDelay is the maximum of the random delays after which hosts register
	// again when the store has lost their entries.
	maxReregisterDelay = 1200 * time.Millisecond
	// memberSettlePeriod is how long after a restore of the store missing hosts are kept:
	// they have heard of it and registered again by then.
	memberSettlePeriod = 4 * time.Second
	// maxKnownIPs bounds the addresses of hosts that were ever known.
	maxKnownIPs = 16384
)

// Store is the platform's store with an additional cheaper list.
type Store interface {
	platform.Store
	// ListStale is List at a lower price per call. Its result may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error)
	// Changes returns the changes under a prefix after a revision without waiting for any, and the revision
	// as of which there are no others. Its errors are those of Watch.
	Changes(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error)
	// Era returns the latest era of the store's answers, 0 if the store has no eras.
	Era() int64
}

// Members keeps this host registered in the store and tracks the other hosts. It is
// safe for concurrent use.
type Members struct {
	log   *slog.Logger
	store Store
	eras  *storeera.Tracker
	self  relay.Host
	// wanted holds a token if the list is to be read before its interval has passed.
	wanted chan struct{}

	// keepUntil is until when hosts missing in the list are kept, listEra the era of the
	// last list; both only for the goroutine that polls.
	keepUntil bootclock.Instant
	listEra   int64

	mu    sync.Mutex
	hosts map[string]relay.Host // guarded by mu; by name, including this host
	hubs  []relay.Host          // guarded by mu; chosen from hosts, empty until these have been listed
	ips   map[string]bool       // guarded by mu; of all hosts that were ever known, at most maxKnownIPs
}

// registration is this host's entry in the store.
type registration struct {
	lease   platform.LeaseID // 0 if none was granted
	era     int64            // of the store that granted lease; in another era it is not ours
	written bool             // the entry was written under lease
}

// NewMembers returns a member list that holds only this host until Run has read the
// store.
func NewMembers(log *slog.Logger, store Store, eras *storeera.Tracker, self relay.Host) *Members {
	m := &Members{log: log, store: store, eras: eras, self: self, wanted: make(chan struct{}, 1)}
	m.hosts, m.ips = map[string]relay.Host{self.Name: self}, make(map[string]bool)
	return m
}

// All returns all hosts in arbitrary order, including this one.
func (m *Members) All() []relay.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]relay.Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		out = append(out, h)
	}
	return out
}

// Names returns the names of all hosts in arbitrary order, including this one.
func (m *Members) Names() []string {
	var names []string
	for _, h := range m.All() {
		names = append(names, h.Name)
	}
	return names
}

// Hubs returns the hosts that follow the store for the fleet, the preferred one
// first. It is empty until the host list has been read. Callers must not change it.
func (m *Members) Hubs() []relay.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hubs
}

// Sample returns at most n other hosts: the hubs first, then others at random.
func (m *Members) Sample(n int) []relay.Host {
	all := m.All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	out := make([]relay.Host, 0, n)
	seen := map[string]bool{m.self.Name: true}
	for _, h := range append(append([]relay.Host(nil), m.Hubs()...), all...) {
		if len(out) < n && !seen[h.Name] {
			seen[h.Name] = true
			out = append(out, h)
		}
	}
	return out
}

// HasIP reports whether an address without its port is that of a host, also of one whose entry
// was lost while the store was away.
func (m *Members) HasIP(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ips[ip]
}

// Forwarders returns the addresses of the other hosts that send requests to targets for this one, in
// the regions to which their bodies may go.
func (m *Members) Forwarders(regions region.Set) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.hosts))
	for name, h := range m.hosts {
		if name != m.self.Name && h.Forward != "" && regions.Contains(h.Region) {
			out = append(out, h.Forward)
		}
	}
	return out
}

// Count returns the number of hosts, including this one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hosts)
}

// ListedCount returns the number of hosts in the last list that was read, including this
// one, and 0 before the first.
func (m *Members) ListedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.hubs) == 0 {
		return 0
	}
	return len(m.hosts)
}

// Run keeps this host registered and polls the host list until ctx ends, then
// removes the entry of this host.
func (m *Members) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.maintainRegistration(ctx) })
	tasks.Go(func() { m.pollHosts(ctx) })
	tasks.Wait()
}

// maintainRegistration registers this host, renews its lease until ctx ends, and then
// revokes the lease. A restored store has lost the lease, and may have granted its id to
// another host: then this host registers again without touching it.
func (m *Members) maintainRegistration(ctx context.Context) {
	var r registration
	for ctx.Err() == nil {
		changed := m.eras.Changed()
		if !r.written || r.era != m.eras.Current() {
			r = m.register(ctx, r)
		} else if err := m.store.KeepAlive(ctx, r.lease); errors.Is(err, platform.ErrLeaseExpired) {
			m.log.Warn("peers: lease of this host expired, registering again", "lease", r.lease)
			r = m.register(ctx, registration{})
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		case <-changed:
			wait.For(ctx, rand.N(maxReregisterDelay))
		}
	}
	if r.lease != 0 && r.era == m.eras.Current() {
		revokeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := m.store.Revoke(revokeCtx, r.lease); err != nil {
			m.log.Warn("peers: cannot remove the entry of this host, it stays until its lease expires", "error", err.Error())
		}
	}
}

// register writes this host's entry under a new lease, or under the lease of an earlier
// attempt that could not write the entry. The caller retries unless the entry is written.
func (m *Members) register(ctx context.Context, r registration) registration {
	var err error
	if r.written || r.lease == 0 || r.era != m.store.Era() {
		r = registration{}
		if r.lease, err = m.store.Grant(ctx, memberTTL); err == nil {
			r.era = m.store.Era()
		}
	}
	if err == nil {
		var value []byte
		if value, err = json.Marshal(m.self); err == nil {
			_, err = m.store.Put(ctx, memberPrefix+m.self.Name, value, platform.AnyRevision, r.lease)
		}
	}
	if err != nil {
		m.log.Warn("peers: cannot register this host", "error", err.Error())
		if errors.Is(err, platform.ErrLeaseExpired) {
			return registration{}
		}
		return r
	}
	r.written = true
	m.log.Info("peers: host registered", "address", m.self.Address, "lease", r.lease, "era", r.era)
	return r
}

// pollHosts reads the host list until ctx ends.
func (m *Members) pollHosts(ctx context.Context) {
	wait.For(ctx, firstListDelay)
	early := minWantedDelay
	for ctx.Err() == nil {
		entries, revision, err := m.store.ListStale(ctx, memberPrefix)
		if err != nil {
			m.log.Warn("peers: cannot read the host list", "error", err.Error())
		} else if m.updateHosts(entries, revision) {
			early = minWantedDelay
		}
		interval := listInterval
		if m.Count() == 1 {
			interval = aloneListInterval
		}
		early = max(early, time.Duration(m.Count())*wantedDelayPerHost)
		if m.awaitNextRead(ctx, early, interval) {
			early = min(2*early, listInterval)
		} else {
			early = minWantedDelay
		}
	}
}

// WantList has the host list read soon, because this host needs others that it may not know yet.
func (m *Members) WantList() {
	select {
	case m.wanted <- struct{}{}:
	default:
	}
}

// awaitNextRead waits for an interval, or less if the list is wanted, but at least until early. It
// reports whether the list was wanted.
func (m *Members) awaitNextRead(ctx context.Context, early, interval time.Duration) bool {
	early = min(early, interval)
	select {
	case <-m.wanted: // before the read
	default:
	}
	wait.For(ctx, early)
	timer := time.NewTimer(interval - early)
	defer timer.Stop()
	select {
	case <-m.wanted:
		return true
	default:
	}
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-m.wanted:
		return true
	}
}

// updateHosts replaces the known hosts by the listed ones, logs the differences and reports whether
// there are any. Right after a restore of the store, hosts that are missing in the list are kept.
func (m *Members) updateHosts(entries []platform.Entry, revision platform.Revision) (changed bool) {
	hosts := make(map[string]relay.Host, len(entries))
	for _, e := range entries {
		h, err := relay.DecodeHost(strings.TrimPrefix(e.Key, memberPrefix), e.Value)
		if err != nil {
			m.log.Warn("peers: ignoring an invalid host entry", "key", e.Key, "revision", e.Revision, "error", err.Error())
			continue
		}
		hosts[h.Name] = h
	}
	if era := revision.Era(); era != m.listEra {
		m.listEra, m.keepUntil = era, bootclock.Now().Add(memberSettlePeriod)
	}
	if bootclock.Now() < m.keepUntil {
		for _, h := range m.All() {
			if _, listed := hosts[h.Name]; !listed {
				hosts[h.Name] = h
			}
		}
	}
	previous := m.replaceHosts(hosts)
	for name, h := range hosts {
		if _, known := previous[name]; !known {
			changed = true
			m.log.Info("peers: host joined", "host", name, "address", h.Address, "revision", revision)
		}
	}
	for name := range previous {
		if _, listed := hosts[name]; !listed && name != m.self.Name {
			changed = true
			m.log.Info("peers: host left", "host", name, "revision", revision)
		}
	}
	return changed
}

// replaceHosts replaces the known hosts, chooses the hubs among them and returns the
// previous hosts. It adds this host to hosts.
func (m *Members) replaceHosts(hosts map[string]relay.Host) map[string]relay.Host {
	hosts[m.self.Name] = m.self
	all := make([]relay.Host, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, h)
	}
	hubs := relay.ChooseHubs(all)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ips) >= maxKnownIPs {
		clear(m.ips)
	}
	for _, h := range hosts {
		if ip, _, err := net.SplitHostPort(h.Address); err == nil {
			m.ips[ip] = true
		}
	}
	previous := m.hosts
	m.hosts, m.hubs = hosts, hubs
	return previous
}
