package document

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
)

// maxKeyBytes is the longest client key that is looked up. Keys made by "hitchctl
// key new" have 47 bytes.
const maxKeyBytes = 256

// Index looks up accounts, grants and routes of an accepted document for the data
// path. It is immutable and safe for concurrent use; lookups allocate nothing.
type Index struct {
	accepted Accepted
	keys     map[[sha256.Size]byte]*accountEntry
	accounts map[string]*accountEntry
	services map[string][]Route // longest path first
}

// accountEntry is an account with its resolved grants.
type accountEntry struct {
	account *Account
	grants  []grantEntry
}

// grantEntry is a grant with its model and class.
type grantEntry struct {
	grant Grant
	model *Model
	class *Class
}

// NewIndex builds the index of an accepted document. Defaults are applied; grants
// of unknown models or classes, which validation rejects, are left out.
func NewIndex(accepted Accepted) *Index {
	accepted.Document = Normalize(accepted.Document)
	d := &accepted.Document
	x := &Index{
		keys:     make(map[[sha256.Size]byte]*accountEntry, len(d.Accounts)),
		accounts: make(map[string]*accountEntry, len(d.Accounts)),
		services: make(map[string][]Route, len(d.Services)),
	}
	models := make(map[string]*Model, len(d.Models))
	for i := range d.Models {
		models[d.Models[i].Name] = &d.Models[i]
	}
	classes := make(map[string]*Class, len(d.Classes))
	for i := range d.Classes {
		classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i := range d.Accounts {
		x.addAccount(&d.Accounts[i], models, classes)
	}
	for _, s := range d.Services {
		x.services[s.Name] = sortLongestFirst(s.Routes)
	}
	x.accepted = accepted
	return x
}

func (x *Index) addAccount(a *Account, models map[string]*Model, classes map[string]*Class) {
	e := &accountEntry{account: a, grants: make([]grantEntry, 0, len(a.Serves))}
	for _, g := range a.Serves {
		model, class := models[g.Model], classes[g.Class]
		if model != nil && class != nil {
			e.grants = append(e.grants, grantEntry{grant: g, model: model, class: class})
		}
	}
	x.accounts[a.Name] = e
	for _, text := range a.KeyHashes {
		if sum, ok := decodeHash(text); ok {
			x.keys[sum] = e
		}
	}
}

func decodeHash(text string) (sum [sha256.Size]byte, ok bool) {
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found || len(digits) != 2*sha256.Size {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

func sortLongestFirst(routes []Route) []Route {
	sorted := append([]Route{}, routes...)
	for i := range sorted {
		sorted[i].Path = routePrefix(sorted[i].Path)
	}
	sort.SliceStable(sorted, func(i, j int) bool { return len(sorted[i].Path) > len(sorted[j].Path) })
	return sorted
}

// Revision returns the document's revision.
func (x *Index) Revision() int64 { return x.accepted.Revision }

// Accepted returns the accepted document with defaults. Callers must not modify it.
func (x *Index) Accepted() Accepted { return x.accepted }

// AccountByKey returns the account that an unhashed client key belongs to.
func (x *Index) AccountByKey(key string) (*Account, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return nil, false
	}
	var buffer [maxKeyBytes]byte
	n := copy(buffer[:], key)
	e, ok := x.keys[sha256.Sum256(buffer[:n])]
	if !ok {
		return nil, false
	}
	return e.account, true
}

// Account returns an account by name.
func (x *Index) Account(name string) (*Account, bool) {
	e, ok := x.accounts[name]
	if !ok {
		return nil, false
	}
	return e.account, true
}

// Grant returns the account's first grant of a model with exactly this adapter
// ("" for none), with its model and class.
func (x *Index) Grant(account, model, adapter string) (Grant, *Model, *Class, bool) {
	e, ok := x.accounts[account]
	if !ok {
		return Grant{}, nil, nil, false
	}
	for i := range e.grants {
		g := &e.grants[i]
		if g.grant.Model == model && g.grant.Adapter == adapter {
			return g.grant, g.model, g.class, true
		}
	}
	return Grant{}, nil, nil, false
}

// Route returns the route that matches a call of a plain service: among the routes
// with the longest matching path, compared by whole segments, the one with the
// method. Shorter paths are not tried, so that a longer path can exclude methods
// that a shorter one allows. Path is the decoded path below the service; one that
// is not clean (see IsCleanPath) has no route. The returned route's path has no
// trailing slash.
func (x *Index) Route(service, method, path string) (*Route, bool) {
	if !IsCleanPath(path) {
		return nil, false
	}
	routes := x.services[service]
	matched := -1
	for i := range routes {
		r := &routes[i]
		if matched >= 0 && len(r.Path) < matched {
			return nil, false
		}
		if !isUnderPath(path, r.Path) {
			continue
		}
		matched = len(r.Path)
		if contains(r.Methods, method) {
			return r, true
		}
	}
	return nil, false
}

// isUnderPath reports whether p equals the prefix or is below it.
func isUnderPath(p, prefix string) bool {
	if !strings.HasPrefix(p, prefix) {
		return false
	}
	return len(p) == len(prefix) || p[len(prefix)] == '/'
}

// MayCall reports whether an account may call a plain service.
func (x *Index) MayCall(account, service string) bool {
	e, ok := x.accounts[account]
	return ok && contains(e.account.Services, service)
}
