// Package directory remembers where the generations of recent requests run, so
// that a caller that comes back to any gateway finds its own. It is a hint: a
// lost entry costs a second run of a request whose first answer nobody holds.
package directory

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

const (
	// maxEntries bounds the memory to about 8 MB, an entry being 400 bytes with
	// its index. At 27 requests/s a host it holds the last ten minutes.
	maxEntries = 20000
	// maxLife bounds the expiry that a gateway may ask for.
	maxLife = time.Hour
	// maxNameBytes bounds each string of an entry.
	maxNameBytes = 512
)

// ErrBadEntry refuses an entry without a name or with an oversized one.
var ErrInvalidEntry = eris.New("directory: entry needs an account, a request id and a generation of at most 512 bytes each; correct the call")

// Directory maps account and request id to a generation. It is safe for
// concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries *lru.Cache[control.DirectoryKey, control.DirectoryEntry] // guarded by mu
}

// New returns an empty Directory.
func New() *Directory {
	entries, err := lru.New[control.DirectoryKey, control.DirectoryEntry](maxEntries)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Directory{entries: entries}
}

// Register adds an entry unless there is one that has not expired, and returns
// the entry that holds. The gateway that registered first may change its entry
// by sending the same generation again.
func (d *Directory) Register(now time.Time, entry control.DirectoryEntry) (control.RegisterReply, error) {
	if !named(entry) {
		return control.RegisterReply{}, ErrInvalidEntry
	}
	if latest := now.Add(maxLife); entry.Expires.After(latest) || entry.Expires.IsZero() {
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

// Lookup returns the entry of a request id, if there is one.
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

func named(e control.DirectoryEntry) bool {
	for _, s := range []string{e.Account, e.RequestID, e.Generation} {
		if s == "" || len(s) > maxNameBytes {
			return false
		}
	}
	return len(e.Model) <= maxNameBytes && len(e.Version) <= maxNameBytes && len(e.Adapter) <= maxNameBytes
}
