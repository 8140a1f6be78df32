package peers

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"corianderhitch/internal/platform"
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
	name  string
	addr  string

	mu    sync.Mutex
	hosts map[string]string // guarded by mu; addresses of the other hosts by name
}

// NewMembers returns the members as seen by a host with an address of its own.
func NewMembers(log *slog.Logger, store Store, name, address string) *Members {
	return &Members{log: log, store: store, name: name, addr: address, hosts: make(map[string]string)}
}

// Hosts returns the addresses of the other hosts by name.
func (m *Members) Hosts() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.hosts))
	for name, address := range m.hosts {
		out[name] = address
	}
	return out
}

// Count returns how many hosts there are, this one included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hosts) + 1
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
		sleep(ctx, renewPeriod)
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
		_, err = m.store.Put(ctx, memberPrefix+m.name, []byte(m.addr), platform.AnyRevision, lease)
	}
	if err != nil {
		m.log.Warn("peers: this host is not registered", "error", err.Error())
		return 0
	}
	m.log.Info("peers: this host is registered", "address", m.addr, "lease", lease)
	return lease
}

func (m *Members) follow(ctx context.Context) {
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
		sleep(ctx, period)
	}
}

func (m *Members) take(entries []platform.Entry, revision platform.Revision) {
	hosts := make(map[string]string, len(entries))
	for _, e := range entries {
		if name := strings.TrimPrefix(e.Key, memberPrefix); name != m.name {
			hosts[name] = string(e.Value)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range hosts {
		if _, known := m.hosts[name]; !known {
			m.log.Info("peers: host is new", "host", name, "address", hosts[name], "revision", revision)
		}
	}
	for name := range m.hosts {
		if _, stays := hosts[name]; !stays {
			m.log.Info("peers: host is gone", "host", name, "revision", revision)
		}
	}
	m.hosts = hosts
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
