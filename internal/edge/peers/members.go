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
	// memberPrefix precedes the entries of the hosts in the store.
	memberPrefix = "corianderhitch/hosts/"
	// memberTTL is how long the entry of a host outlives it. A peer that is gone
	// costs failed calls until then, nothing else.
	memberTTL = 15 * time.Second
	// renewPeriod renews the lease well within its time.
	renewPeriod = 5 * time.Second
	// listPeriod is how often the list of hosts is read. It may be seconds old:
	// peers also learn of each other from the calls that they get.
	listPeriod = 5 * time.Second
	// firstList is when the list is read first: hosts of a fleet that starts
	// register within a fraction of a second.
	firstList = 700 * time.Millisecond
	// listSoon is the same while this host knows no other.
	listSoon = 1500 * time.Millisecond
)

// Store is what membership needs of the platform's store.
type Store interface {
	platform.Store
	// ListStale is List at a lower price; its result may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error)
}

// Members keeps this host in the list of hosts and knows the others. It is safe
// for concurrent use.
type Members struct {
	log   *slog.Logger
	store Store
	self  relay.Host

	mu    sync.Mutex
	hosts map[string]relay.Host // guarded by mu; all by name, this one included
	hubs  []relay.Host          // guarded by mu; chosen among hosts
}

// NewMembers returns the members as seen by a host.
func NewMembers(log *slog.Logger, store Store, self relay.Host) *Members {
	m := &Members{log: log, store: store, self: self}
	m.hosts = map[string]relay.Host{self.Name: self}
	return m
}

// All returns all hosts, this one included.
func (m *Members) All() []relay.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]relay.Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		out = append(out, h)
	}
	return out
}

// Names returns the names of all hosts.
func (m *Members) Names() []string {
	var names []string
	for _, h := range m.All() {
		names = append(names, h.Name)
	}
	return names
}

// Hubs returns the hosts that follow the store for all; none before the list of
// hosts is known.
func (m *Members) Hubs() []relay.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hubs
}

// Sample returns at most n other hosts, the hubs first.
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

// Count returns how many hosts there are, this one included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hosts)
}

// Run registers this host and reads the list until ctx ends, then takes the
// entry back.
func (m *Members) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { m.register(ctx) })
	wait.Go(func() { m.follow(ctx) })
	wait.Wait()
}

func (m *Members) register(ctx context.Context) {
	lease := platform.LeaseID(0)
	for ctx.Err() == nil {
		if lease == 0 {
			lease = m.join(ctx)
		} else if err := m.store.KeepAlive(ctx, lease); errors.Is(err, platform.ErrLeaseExpired) {
			m.log.Warn("peers: lease of this host has expired", "lease", lease)
			lease = m.join(ctx)
		}
		wait.For(ctx, renewPeriod)
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := m.store.Revoke(end, lease); err != nil {
			m.log.Warn("peers: entry of this host is left to expire", "error", err.Error())
		}
	}
}

func (m *Members) join(ctx context.Context) platform.LeaseID {
	lease, err := m.store.Grant(ctx, memberTTL)
	if err == nil {
		var value []byte
		value, err = json.Marshal(m.self)
		if err == nil {
			_, err = m.store.Put(ctx, memberPrefix+m.self.Name, value, platform.AnyRevision, lease)
		}
	}
	if err != nil {
		m.log.Warn("peers: this host is not registered", "error", err.Error())
		return 0
	}
	m.log.Info("peers: this host is registered", "address", m.self.Address, "lease", lease)
	return lease
}

func (m *Members) follow(ctx context.Context) {
	wait.For(ctx, firstList)
	for ctx.Err() == nil {
		entries, revision, err := m.store.ListStale(ctx, memberPrefix)
		if err != nil {
			m.log.Warn("peers: list of hosts cannot be read", "error", err.Error())
		} else {
			m.take(entries, revision)
		}
		period := listPeriod
		if m.Count() == 1 {
			period = listSoon
		}
		wait.For(ctx, period)
	}
}

func (m *Members) take(entries []platform.Entry, revision platform.Revision) {
	hosts := make(map[string]relay.Host, len(entries))
	for _, e := range entries {
		var h relay.Host
		if err := json.Unmarshal(e.Value, &h); err != nil || h.Name != strings.TrimPrefix(e.Key, memberPrefix) {
			m.log.Warn("peers: entry of a host cannot be read", "key", e.Key, "revision", e.Revision)
			continue
		}
		hosts[h.Name] = h
	}
	before := m.set(hosts)
	for name, h := range hosts {
		if _, known := before[name]; !known {
			m.log.Info("peers: host is new", "host", name, "address", h.Address, "revision", revision)
		}
	}
	for name := range before {
		if _, stays := hosts[name]; !stays && name != m.self.Name {
			m.log.Info("peers: host is gone", "host", name, "revision", revision)
		}
	}
}

// set replaces the hosts and returns the ones before.
func (m *Members) set(hosts map[string]relay.Host) map[string]relay.Host {
	hosts[m.self.Name] = m.self
	all := make([]relay.Host, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, h)
	}
	hubs := relay.ChooseHubs(all)
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.hosts
	m.hosts, m.hubs = hosts, hubs
	return before
}
