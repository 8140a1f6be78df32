package ledger

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// leaseRotation is the time for which new records share one lease of the store.
// The store deletes a lease's records together when it ends, so cleaning up
// costs one write an hour and host, and no reads.
const leaseRotation = 1 * time.Hour

// leases holds the lease that new records are bound to. Nobody extends it: its
// time to live is the retention plus leaseRotation.
type leases struct {
	store     platform.Store
	retention func() time.Duration

	mu      sync.Mutex
	lease   platform.LeaseID // guarded by mu
	renewAt time.Time        // guarded by mu
}

func newLeases(store platform.Store, retention func() time.Duration) *leases {
	return &leases{store: store, retention: retention}
}

// current returns the lease for new records.
func (l *leases) current(ctx context.Context) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != 0 && time.Now().Before(l.renewAt) {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// renew replaces a lease that the store no longer knows.
func (l *leases) renew(ctx context.Context, ended platform.LeaseID) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != ended {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// grantLocked creates a lease. One whose answer is lost holds no records.
func (l *leases) grantLocked(ctx context.Context) (platform.LeaseID, error) {
	lease, err := l.store.Grant(ctx, l.retention()+leaseRotation)
	if err != nil {
		return 0, err
	}
	l.lease, l.renewAt = lease, time.Now().Add(leaseRotation)
	return lease, nil
}
