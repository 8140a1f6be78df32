package placement

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
)

const (
	// leaseTTL is the life of a holder's lease without renewal.
	leaseTTL = 15 * time.Second
	// renewEvery gives a lease two more tries.
	renewEvery = leaseTTL / 3
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// margin is what must be left of the lease beyond an order's own time, for
	// clocks that run at different speed and packets under way.
	margin = 3 * time.Second
	// settleTime is how long a new holder waits before it orders: the old one's
	// lease is over, but its last order may still be under way.
	settleTime = orderTimeout + margin
)

// ErrHeld means that another host holds the lease.
var ErrLeaseHeld = eris.New("placement: another host holds the lease; wait until it lapses")

// Lease is the right to order. It is not safe for concurrent use.
type Lease struct {
	store platform.Store
	key   string
	host  string

	id       platform.LeaseID
	fence    int64
	deadline time.Time // when the lease may lapse, counted from before the call that set it
	renewAt  time.Time
	since    time.Time
}

// holderRecord is the store value of the lease's key. It is written once, so
// that its revision, which grows with every write of the store, is the fencing
// number.
type holderRecord struct {
	Host    string `json:"host"`
	Attempt string `json:"attempt"` // unique, to recognize the own write
}

// NewLease returns a lease that is not held.
func NewLease(store platform.Store, environment, host string) *Lease {
	return &Lease{store: store, key: "/corianderhitch/placement/" + environment + "/holder", host: host}
}

// Held tells whether the lease is surely held until an order that starts now
// has ended.
func (l *Lease) CoversOrder(now time.Time) bool {
	return l.fence > 0 && now.Add(orderTimeout+margin).Before(l.deadline)
}

// Settled tells whether no order of an earlier holder can be under way.
func (l *Lease) EarlierOrdersEnded(now time.Time) bool {
	return l.fence > 0 && now.Sub(l.since) >= settleTime
}

// Fence returns the fencing number, or 0.
func (l *Lease) FencingToken() int64 { return l.fence }

// Keep acquires the lease or renews it when due.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	now := time.Now()
	if l.fence > 0 && now.After(l.deadline) {
		l.forget()
	}
	if l.fence > 0 {
		return l.renew(ctx, now)
	}
	return l.acquire(ctx, now)
}

// Release ends the lease, if held.
func (l *Lease) Release(ctx context.Context) {
	if l.id != 0 {
		_ = l.store.Revoke(ctx, l.id)
	}
	l.forget()
}

func (l *Lease) renew(ctx context.Context, now time.Time) error {
	if now.Before(l.renewAt) {
		return nil
	}
	err := l.store.KeepAlive(ctx, l.id)
	switch {
	case err == nil:
		l.deadline = now.Add(leaseTTL)
		l.renewAt = now.Add(renewEvery)
	case eris.Is(err, platform.ErrLeaseExpired):
		l.forget()
	}
	return err
}

func (l *Lease) acquire(ctx context.Context, now time.Time) error {
	if _, err := l.store.Get(ctx, l.key); err == nil {
		return ErrLeaseHeld
	} else if !eris.Is(err, platform.ErrNotFound) {
		return err
	}
	id, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	attempt := rand.Text()
	value, err := json.Marshal(holderRecord{Host: l.host, Attempt: attempt})
	if err != nil {
		return err
	}
	revision, err := l.store.Put(ctx, l.key, value, platform.Absent, id)
	if eris.Is(err, platform.ErrOutcomeUnknown) {
		revision, err = l.readBack(ctx, attempt)
	}
	if err != nil {
		_ = l.store.Revoke(ctx, id)
		if eris.Is(err, platform.ErrConflict) {
			return ErrLeaseHeld
		}
		return err
	}
	l.id, l.fence, l.since = id, int64(revision), time.Now()
	l.deadline, l.renewAt = now.Add(leaseTTL), now.Add(renewEvery)
	return nil
}

// readBack settles a write whose answer was lost.
func (l *Lease) readBack(ctx context.Context, attempt string) (platform.Revision, error) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return 0, err
	}
	var record holderRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil || record.Attempt != attempt {
		return 0, platform.ErrConflict
	}
	return entry.Revision, nil
}

func (l *Lease) forget() {
	l.id, l.fence = 0, 0
	l.deadline, l.renewAt, l.since = time.Time{}, time.Time{}, time.Time{}
}
