package modelplacement

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
)

const (
	// leaseTTL is the time to live of the lease without renewal.
	leaseTTL = 15 * time.Second
	// renewInterval leaves time for two more tries before the lease expires.
	renewInterval = leaseTTL / 3
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// safetyMargin must remain of the lease beyond an order's timeout, for clock drift
	// and packets in transit.
	safetyMargin = 3 * time.Second
	// settlePeriod is how long a new holder waits before it sends orders: the previous
	// holder's lease has expired, but its last order may still be in transit.
	settlePeriod = orderTimeout + safetyMargin
)

// ErrLeaseHeld means that another host holds the lease.
var ErrLeaseHeld = eris.New("placement: another host holds the lease; wait until it expires")

// Lease is the exclusive right to send orders, held through a lease in the store. It
// is not safe for concurrent use.
type Lease struct {
	store platform.Store
	key   string
	host  string

	id           platform.LeaseID
	fencingToken int64
	deadline     time.Time // when the lease may expire, counted from before the call that granted or renewed it
	renewAt      time.Time
	acquiredAt   time.Time
}

// holderRecord is the stored value of the lease's key. It is written once per lease.
// Its revision, which grows with every write of the store, is the fencing token.
type holderRecord struct {
	Host    string `json:"host"`
	Attempt string `json:"attempt"` // unique, identifies the writer's own record
}

// NewLease returns a lease that is not held.
func NewLease(store platform.Store, environment, host string) *Lease {
	return &Lease{store: store, key: "/corianderhitch/placement/" + environment + "/holder", host: host}
}

// CoversOrder reports whether the lease is certain to be held until an order that
// starts now has ended.
func (l *Lease) CoversOrder(now time.Time) bool {
	return l.fencingToken > 0 && now.Add(orderTimeout+safetyMargin).Before(l.deadline)
}

// EarlierOrdersEnded reports whether the lease is held and no order of an earlier
// holder can still be in transit.
func (l *Lease) EarlierOrdersEnded(now time.Time) bool {
	return l.fencingToken > 0 && now.Sub(l.acquiredAt) >= settlePeriod
}

// FencingToken returns the fencing token, or 0 if the lease is not held.
func (l *Lease) FencingToken() int64 { return l.fencingToken }

// AcquireOrRenew acquires the lease, or renews it when due. It returns ErrLeaseHeld if
// another host holds it.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	now := time.Now()
	if l.fencingToken > 0 && now.After(l.deadline) {
		l.reset()
	}
	if l.fencingToken > 0 {
		return l.renew(ctx, now)
	}
	return l.acquire(ctx, now)
}

// Release ends the lease, if held.
func (l *Lease) Release(ctx context.Context) {
	if l.id != 0 {
		_ = l.store.Revoke(ctx, l.id)
	}
	l.reset()
}

func (l *Lease) renew(ctx context.Context, now time.Time) error {
	if now.Before(l.renewAt) {
		return nil
	}
	err := l.store.KeepAlive(ctx, l.id)
	switch {
	case err == nil:
		l.deadline = now.Add(leaseTTL)
		l.renewAt = now.Add(renewInterval)
	case eris.Is(err, platform.ErrLeaseExpired):
		l.reset()
	}
	return err
}

// acquire takes the lease if nobody holds it, and returns ErrLeaseHeld otherwise.
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
		revision, err = l.resolveUnknownOutcome(ctx, attempt)
	}
	if err != nil {
		_ = l.store.Revoke(ctx, id)
		if eris.Is(err, platform.ErrConflict) {
			return ErrLeaseHeld
		}
		return err
	}
	l.id, l.fencingToken, l.acquiredAt = id, int64(revision), time.Now()
	l.deadline, l.renewAt = now.Add(leaseTTL), now.Add(renewInterval)
	return nil
}

// resolveUnknownOutcome finds out whether a write whose answer was lost took effect,
// and returns its revision.
func (l *Lease) resolveUnknownOutcome(ctx context.Context, attempt string) (platform.Revision, error) {
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

func (l *Lease) reset() {
	l.id, l.fencingToken = 0, 0
	l.deadline, l.renewAt, l.acquiredAt = time.Time{}, time.Time{}, time.Time{}
}
