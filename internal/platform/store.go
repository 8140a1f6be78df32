// Package platform defines what the system needs of the platform: the key-value
// service and the list of hosts. Implementations live in subpackages.
package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Revision numbers a state of the store. It grows with every write.
type Revision int64

// Conditions on the revision of a key for Put and Delete.
const (
	AnyRevision Revision = -1 // write whatever is there
	Absent      Revision = 0  // write only if the key does not exist
)

// LeaseID names a lease. Zero means no lease.
type LeaseID int64

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Event is one change that a watch reports.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Sentinel errors of a Store. Test with errors.Is.
var (
	ErrNotFound       = eris.New("store: key not found; create it first")
	ErrConflict       = eris.New("store: key was changed by another writer; read it again and retry")
	ErrUnavailable    = eris.New("store: not reachable and the call took no effect; retry later")
	ErrOutcomeUnknown = eris.New("store: answer lost, the write may have taken effect; read the key back")
	ErrRateLimited    = eris.New("store: rate limit reached and the call took no effect; retry later")
	ErrTooLarge       = eris.New("store: value exceeds 1 MiB; make it smaller")
	ErrLeaseExpired   = eris.New("store: lease has expired; grant a new one")
	ErrCompacted      = eris.New("store: watch revision is too old; list again and watch from the new revision")
)

// Store is the platform's key-value service. All methods are safe for
// concurrent use. A write whose answer was lost returns ErrOutcomeUnknown;
// ErrUnavailable and ErrRateLimited are returned only if the call surely had no
// effect.
type Store interface {
	// Get returns the entry of key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix whose keys come after
	// the given key, in key order, and the store's revision. A limit of zero
	// means the store's own maximum.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Put writes value if the key's revision equals ifRevision (or AnyRevision,
	// Absent) and returns the new revision, else ErrConflict. The entry is
	// deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, ifRevision Revision, lease LeaseID) (Revision, error)
	// Delete removes the key under the same condition. Deleting an absent key
	// with AnyRevision succeeds.
	Delete(ctx context.Context, key string, ifRevision Revision) error
	// Watch blocks until there are changes after the given revision under the
	// prefix, or until the store's own poll limit passes (no events). The
	// returned revision is the one to watch from next.
	Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, counted from when the store
	// received the call, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
}
