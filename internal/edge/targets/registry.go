// Package targets keeps the targets of all services as this host knows them:
// the platform's list, corrected by earlier news that a target leaves.
package targets

import (
	"maps"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// noticeMemory is how long the news that a target leaves is kept after its
// entry has gone; targets go on serving for seconds after that.
const noticeMemory = 60 * time.Second

// noticeNews is how long a notice is told to other hosts: several syncs.
const noticeNews = 3 * time.Second

// removed is the source of a notice that rests on a missing entry alone. The
// entry of a live target may lapse during an outage of the list and come back.
const removed = "target_removed"

// Notice is the news that a target leaves.
type LeavingNotice struct {
	Key        string // of the incarnation
	Source     string // who said so, for the log
	ReceivedAt bootclock.Instant
}

// View is an immutable state of the registry.
type View struct {
	Revision  int64 // of the platform's list
	byService map[string][]*Target
	byKey     map[string]*Target
}

// Registry is safe for concurrent use.
type Registry struct {
	view     atomic.Pointer[View]
	onNotice func(Target, LeavingNotice)

	mu      sync.Mutex
	entries map[string]Target        // guarded by mu; by entry key of the platform's list
	leaving map[string]LeavingNotice // guarded by mu; by incarnation
	late    map[string]Target        // guarded by mu; gone from the list, perhaps still serving
}

// New returns an empty registry. onNotice is called once for each incarnation
// that starts to leave, without locks held.
func New(onNotice func(Target, LeavingNotice)) *Registry {
	r := &Registry{
		onNotice: onNotice,
		entries:  make(map[string]Target),
		leaving:  make(map[string]LeavingNotice),
		late:     make(map[string]Target),
	}
	r.view.Store(&View{byService: map[string][]*Target{}, byKey: map[string]*Target{}})
	return r
}

// View returns the current state.
func (r *Registry) View() *View { return r.view.Load() }

// Replace takes a whole list of the platform.
func (r *Registry) Replace(entries map[string]Target, revision int64) {
	r.mu.Lock()
	var news []Target
	for name, old := range r.entries {
		if now, ok := entries[name]; !ok || now.Key() != old.Key() {
			news = append(news, old)
		}
	}
	gone := r.notice(news, removed)
	r.entries = maps.Clone(entries)
	for _, t := range entries {
		r.returned(t)
	}
	notices := append(gone, r.notice(leavingOf(entries), "target_list")...)
	r.publish(revision)
	r.mu.Unlock()
	r.tell(notices)
}

// Change is a changed entry of the platform's list.
type Change struct {
	Name   string  // key of the entry
	Target *Target // nil if the entry has ended or cannot be read
	// Unread tells that the entry cannot be read: it names no target for new
	// requests, and says nothing of what runs on the one that it named before.
	Unreadable bool
}

// Apply takes changed entries, in order. The view is built once for all of them:
// a fleet of thousands of targets that starts registers them within seconds.
func (r *Registry) Apply(changes []Change, revision int64) {
	r.mu.Lock()
	var notices []announced
	for _, c := range changes {
		notices = append(notices, r.change(c)...)
	}
	r.publish(revision)
	r.mu.Unlock()
	r.tell(notices)
}

// change takes one changed entry. Callers hold r.mu.
func (r *Registry) change(c Change) []announced {
	old, known := r.entries[c.Name]
	if c.Target == nil {
		delete(r.entries, c.Name)
		if !known || c.Unreadable {
			return nil
		}
		return r.notice([]Target{old}, removed)
	}
	var news []Target
	if known && old.Key() != c.Target.Key() {
		news = append(news, old)
	}
	if c.Target.Leaving {
		news = append(news, *c.Target)
	}
	r.entries[c.Name] = *c.Target
	r.returned(*c.Target)
	return r.notice(news, "target_list")
}

// NewlyLeaving returns the incarnations that leave or left the list lately, some
// of which may still come back.
func (r *Registry) RecentlyLeaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, n := range r.leaving {
		if bootclock.Since(n.ReceivedAt) < noticeNews {
			keys = append(keys, key)
		}
	}
	return keys
}

// LeavesSince returns the notice of an incarnation that leaves.
func (r *Registry) LeavingNotice(key string) (LeavingNotice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.leaving[key]
	return n, ok
}

// Leaving takes news from elsewhere that an incarnation leaves.
func (r *Registry) MarkLeaving(key, source string) {
	r.mu.Lock()
	var notices []announced
	if _, known := r.leaving[key]; !known {
		if t := r.view.Load().byKey[key]; t != nil {
			notices = r.notice([]Target{*t}, source)
			r.publish(r.view.Load().Revision)
		}
	}
	r.mu.Unlock()
	r.tell(notices)
}

// Notices returns the incarnations that are surely leaving since lately, for other
// hosts.
func (r *Registry) AnnouncedLeaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.leaving))
	for key, n := range r.leaving {
		if n.Source != removed && bootclock.Since(n.ReceivedAt) < noticeNews {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// returned takes back a notice that rested on a missing entry only. Callers hold
// r.mu.
func (r *Registry) returned(t Target) {
	key := t.Key()
	if n, ok := r.leaving[key]; ok && !t.Leaving && n.Source == removed {
		delete(r.leaving, key)
		delete(r.late, key)
	}
}

type announced struct {
	target Target
	notice LeavingNotice
}

// notice records targets as leaving and returns those that are news. Callers
// hold r.mu.
func (r *Registry) notice(ts []Target, source string) []announced {
	now := bootclock.Now()
	var news []announced
	for _, t := range ts {
		if _, known := r.leaving[t.Key()]; known {
			continue
		}
		n := LeavingNotice{Key: t.Key(), Source: source, ReceivedAt: now}
		r.leaving[t.Key()] = n
		t.Leaving = true
		r.late[t.Key()] = t
		news = append(news, announced{t, n})
	}
	return news
}

func (r *Registry) tell(news []announced) {
	for _, n := range news {
		r.onNotice(n.target, n.notice)
	}
}

// publish builds a new view. Callers hold r.mu.
func (r *Registry) publish(revision int64) {
	for key, n := range r.leaving {
		if bootclock.Since(n.ReceivedAt) > noticeMemory {
			delete(r.leaving, key)
			delete(r.late, key)
		}
	}
	v := &View{Revision: revision, byService: make(map[string][]*Target), byKey: make(map[string]*Target, len(r.entries))}
	for key := range r.late {
		t := r.late[key]
		v.byKey[key] = &t
	}
	for _, t := range r.entries {
		key := t.Key()
		_, leaves := r.leaving[key]
		t.Leaving = t.Leaving || leaves
		v.byKey[key] = &t
		v.byService[t.Service] = append(v.byService[t.Service], &t)
	}
	for _, ts := range v.byService {
		sort.Slice(ts, func(i, j int) bool { return ts[i].Key() < ts[j].Key() })
	}
	r.view.Store(v)
}

func leavingOf(entries map[string]Target) []Target {
	var out []Target
	for _, t := range entries {
		if t.Leaving {
			out = append(out, t)
		}
	}
	return out
}

func incarnation(id string, born int64) string { return id + "@" + strconv.FormatInt(born, 10) }
