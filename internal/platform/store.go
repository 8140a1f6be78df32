// Package platform defines the interfaces of the platform that the system depends
// on: the key-value store and the host list, which contains the targets.
// Implementations are in subpackages.
package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Event is one change reported by a watch.
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
// ErrUnavailable and ErrRateLimited are returned only if the call certainly had no
// effect. A store that was restored from a copy has lost the writes and leases since the
// copy: watches from revisions of an earlier era return ErrCompacted, and conditions on
// them ErrConflict.
type Store interface {
	// Get returns the entry of key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix whose keys come after
	// the given key, in key order, and the store's revision. A limit of zero
	// means the store's maximum.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Put writes value if the key's revision equals ifRevision (see also AnyRevision
	// and Absent) and returns the new revision, otherwise ErrConflict. The entry is
	// deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, ifRevision Revision, lease LeaseID) (Revision, error)
	// Delete removes the key under the same condition as Put. Deleting an absent key
	// with AnyRevision succeeds.
	Delete(ctx context.Context, key string, ifRevision Revision) error
	// Watch blocks until there are changes after the given revision to keys with the
	// prefix, or until the store's poll limit passes, when it returns no events. The
	// returned revision is the one for the next call. It returns ErrCompacted if the
	// store no longer has the changes after the given revision.
	Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease to its ttl from the time when the store receives the
	// call, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
}
