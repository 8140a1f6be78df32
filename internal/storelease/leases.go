// Package storelease shares leases of the store among the records that expire,
// so that cleaning up costs one write an hour and host, and no reads.
package storelease

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// rotation is the time for which new records share one lease. The store deletes
// a lease's records together when it ends.
const rotation = 1 * time.Hour

// Leases holds the lease that new records are bound to. Nobody extends it: its
// time to live is the retention plus rotation. It is safe for concurrent use.
type Leases struct {
	store     platform.Store
	retention func() time.Duration

	mu      sync.Mutex
	lease   platform.LeaseID // guarded by mu
	renewAt time.Time        // guarded by mu
}

// New returns Leases for records that are kept for a retention.
func New(store platform.Store, retention func() time.Duration) *Leases {
	return &Leases{store: store, retention: retention}
}

// Current returns the lease for new records.
func (l *Leases) Current(ctx context.Context) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != 0 && time.Now().Before(l.renewAt) {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// Renew replaces a lease that the store no longer knows.
func (l *Leases) Replace(ctx context.Context, ended platform.LeaseID) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != ended {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// grantLocked creates a lease. One whose answer is lost holds no records.
func (l *Leases) grantLocked(ctx context.Context) (platform.LeaseID, error) {
	lease, err := l.store.Grant(ctx, l.retention()+rotation)
	if err != nil {
		return 0, err
	}
	l.lease, l.renewAt = lease, time.Now().Add(rotation)
	return lease, nil
}
