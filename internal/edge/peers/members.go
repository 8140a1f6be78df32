package peers

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"corianderhitch/internal/edge/relay"
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
)

// Store is the platform's store with an additional cheaper list.
type Store interface {
	platform.Store
	// ListStale is List at a lower price per call. Its result may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error)
}

// Members keeps this host registered in the store and tracks the other hosts. It is
// safe for concurrent use.
type Members struct {
	log   *slog.Logger
	store Store
	self  relay.Host

	mu    sync.Mutex
	hosts map[string]relay.Host // guarded by mu; by name, including this host
	hubs  []relay.Host          // guarded by mu; chosen from hosts
}

// NewMembers returns a member list that holds only this host until Run has read the
// store.
func NewMembers(log *slog.Logger, store Store, self relay.Host) *Members {
	m := &Members{log: log, store: store, self: self}
	m.hosts = map[string]relay.Host{self.Name: self}
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

// Count returns the number of hosts, including this one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
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

// maintainRegistration registers this host, renews its lease until ctx ends, and
// then revokes the lease.
func (m *Members) maintainRegistration(ctx context.Context) {
	lease := platform.LeaseID(0)
	for ctx.Err() == nil {
		if lease == 0 {
			lease = m.register(ctx)
		} else if err := m.store.KeepAlive(ctx, lease); errors.Is(err, platform.ErrLeaseExpired) {
			m.log.Warn("peers: lease of this host expired, registering again", "lease", lease)
			lease = m.register(ctx)
		}
		wait.For(ctx, renewInterval)
	}
	if lease != 0 {
		revokeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := m.store.Revoke(revokeCtx, lease); err != nil {
			m.log.Warn("peers: cannot remove the entry of this host, it stays until its lease expires", "error", err.Error())
		}
	}
}

// register writes this host's entry under a new lease. It returns 0 if that fails;
// the caller retries.
func (m *Members) register(ctx context.Context) platform.LeaseID {
	lease, err := m.store.Grant(ctx, memberTTL)
	if err == nil {
		var value []byte
		value, err = json.Marshal(m.self)
		if err == nil {
			_, err = m.store.Put(ctx, memberPrefix+m.self.Name, value, platform.AnyRevision, lease)
		}
	}
	if err != nil {
		m.log.Warn("peers: cannot register this host", "error", err.Error())
		return 0
	}
	m.log.Info("peers: host registered", "address", m.self.Address, "lease", lease)
	return lease
}

// pollHosts reads the host list until ctx ends.
func (m *Members) pollHosts(ctx context.Context) {
	wait.For(ctx, firstListDelay)
	for ctx.Err() == nil {
		entries, revision, err := m.store.ListStale(ctx, memberPrefix)
		if err != nil {
			m.log.Warn("peers: cannot read the host list", "error", err.Error())
		} else {
			m.updateHosts(entries, revision)
		}
		interval := listInterval
		if m.Count() == 1 {
			interval = aloneListInterval
		}
		wait.For(ctx, interval)
	}
}

// updateHosts replaces the known hosts by the listed ones and logs the differences.
func (m *Members) updateHosts(entries []platform.Entry, revision platform.Revision) {
	hosts := make(map[string]relay.Host, len(entries))
	for _, e := range entries {
		var h relay.Host
		if err := json.Unmarshal(e.Value, &h); err != nil || h.Name != strings.TrimPrefix(e.Key, memberPrefix) {
			m.log.Warn("peers: ignoring an invalid host entry", "key", e.Key, "revision", e.Revision)
			continue
		}
		hosts[h.Name] = h
	}
	previous := m.replaceHosts(hosts)
	for name, h := range hosts {
		if _, known := previous[name]; !known {
			m.log.Info("peers: host joined", "host", name, "address", h.Address, "revision", revision)
		}
	}
	for name := range previous {
		if _, listed := hosts[name]; !listed && name != m.self.Name {
			m.log.Info("peers: host left", "host", name, "revision", revision)
		}
	}
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
	previous := m.hosts
	m.hosts, m.hubs = hosts, hubs
	return previous
}
