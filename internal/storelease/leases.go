// Package storelease binds expiring records to shared leases of the store, so that
// their cleanup costs each host one write an hour, and no reads.
package storelease

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// rotationInterval is how long new records are bound to the same lease. The store
// deletes all records of a lease when it expires.
const rotationInterval = 1 * time.Hour

// Leases holds the lease for new records. It is never extended: its time to live is
// the retention plus rotationInterval. It is safe for concurrent use.
type Leases struct {
	store     platform.Store
	retention func() time.Duration

	mu        sync.Mutex
	lease     platform.LeaseID // guarded by mu
	replaceAt time.Time        // guarded by mu
}

// New returns Leases for records that are kept for the retention.
func New(store platform.Store, retention func() time.Duration) *Leases {
	return &Leases{store: store, retention: retention}
}

// Current returns the lease for new records, and creates one if needed.
func (l *Leases) Current(ctx context.Context) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != 0 && time.Now().Before(l.replaceAt) {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// Replace returns a new lease in place of one that the store no longer knows, unless
// another call has already replaced it.
func (l *Leases) Replace(ctx context.Context, unknown platform.LeaseID) (platform.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != unknown {
		return l.lease, nil
	}
	return l.grantLocked(ctx)
}

// grantLocked creates a lease. If its answer is lost, a lease without records remains
// until it expires.
func (l *Leases) grantLocked(ctx context.Context) (platform.LeaseID, error) {
	lease, err := l.store.Grant(ctx, l.retention()+rotationInterval)
	if err != nil {
		return 0, err
	}
	l.lease, l.replaceAt = lease, time.Now().Add(rotationInterval)
	return lease, nil
}
