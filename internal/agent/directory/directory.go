// Package directory maps the request ids of recent requests to the targets that run their
// generations, so that a caller can reconnect through any gateway. Entries may be lost: a
// request whose entry is lost and whose answer is not stored then runs a second time.
package directory

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

const (
	// maxEntries bounds the memory to about 8 MB, at 400 bytes an entry including its
	// index. At 27 requests/s per host it covers the last ten minutes.
	maxEntries = 20000
	// maxTTL bounds the expiry that a gateway may request.
	maxTTL = time.Hour
	// maxNameBytes bounds each string of an entry.
	maxNameBytes = 512
)

// ErrInvalidEntry rejects an entry with a missing or oversized name.
var ErrInvalidEntry = eris.New("directory: entry needs an account, a request id and a generation of at most 512 bytes each; correct the call")

// Directory maps account and request id to a generation. It is safe for
// concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries *lru.Cache[control.DirectoryKey, control.DirectoryEntry] // guarded by mu
}

// New returns an empty directory.
func New() *Directory {
	entries, err := lru.New[control.DirectoryKey, control.DirectoryEntry](maxEntries)
	if err != nil {
		panic(err) // unreachable: New fails only for sizes below one
	}
	return &Directory{entries: entries}
}

// Register adds an entry unless another generation is registered for the request id and
// has not expired. It returns the entry that is in place afterwards; Won is set if that
// is the caller's. Registering the same generation again updates its entry.
func (d *Directory) Register(now time.Time, entry control.DirectoryEntry) (control.RegisterReply, error) {
	if !valid(entry) {
		return control.RegisterReply{}, ErrInvalidEntry
	}
	if latest := now.Add(maxTTL); entry.Expires.After(latest) || entry.Expires.IsZero() {
		entry.Expires = latest
	}
	key := control.DirectoryKey{Account: entry.Account, RequestID: entry.RequestID}
	d.mu.Lock()
	defer d.mu.Unlock()
	old, exists := d.entries.Get(key)
	if exists && now.Before(old.Expires) && old.Generation != entry.Generation {
		return control.RegisterReply{Entry: old}, nil
	}
	d.entries.Add(key, entry)
	return control.RegisterReply{Entry: entry, Won: true}, nil
}

// Lookup returns the entry of a request id if there is one that has not expired.
func (d *Directory) Lookup(now time.Time, key control.DirectoryKey) control.LookupReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, exists := d.entries.Get(key)
	if !exists {
		return control.LookupReply{}
	}
	if !now.Before(entry.Expires) {
		d.entries.Remove(key)
		return control.LookupReply{}
	}
	return control.LookupReply{Entry: entry, Found: true}
}

// Len returns the number of entries, expired ones included.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Len()
}

// valid reports whether all required names are present and no name is oversized.
func valid(e control.DirectoryEntry) bool {
	for _, s := range []string{e.Account, e.RequestID, e.Generation} {
		if s == "" || len(s) > maxNameBytes {
			return false
		}
	}
	return len(e.Model) <= maxNameBytes && len(e.Version) <= maxNameBytes && len(e.Adapter) <= maxNameBytes
}
