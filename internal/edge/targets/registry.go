// Package targets tracks the targets of all services as this host knows them: the
// platform's target list, plus leaving notices that arrive before the list shows them.
package targets

import (
	"maps"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/platform"
)

// noticeRetention is how long a leaving notice is kept. Targets go on serving for
// seconds after their entry was removed.
const noticeRetention = 60 * time.Second

// announceFor is how long a notice is sent to other hosts. It covers several syncs.
const announceFor = 3 * time.Second

// sourceRemoved is the source of a notice that is based only on a missing entry. The
// entry of a healthy target may expire while the store is unavailable, and reappear.
const sourceRemoved = "target_removed"

// SourceAnswer is the source of a notice that the target itself gave in an answer to this
// host. It outlasts noticeRetention, whatever the list says of the incarnation meanwhile.
const SourceAnswer = "answer"

// LeavingNotice records that a target is leaving.
type LeavingNotice struct {
	Key        string // of the incarnation
	Source     string // where the notice came from, for logs
	ReceivedAt bootclock.Instant
}

// View is an immutable snapshot of the registry.
type View struct {
	Revision  platform.Revision // of the platform's list
	byService map[string][]*Target
	byKey     map[string]*Target
	stated    *targetnotice.Tracker
	evacuated *evacuation.Holder // nil if no domain is ever evacuated
}

// Registry tracks targets and their leaving notices. It is safe for concurrent use.
type Registry struct {
	evacuated *evacuation.Holder // set before the first use; nil if no domain is ever evacuated
	view      atomic.Pointer[View]
	onLeaving func(Target, LeavingNotice)
	stated    *targetnotice.Tracker // what targets have stated in their answers

	mu             sync.Mutex
	entries        map[string]Target        // guarded by mu; by entry key
	notices        map[string]LeavingNotice // guarded by mu; by incarnation
	leavingTargets map[string]Target        // guarded by mu; targets of notices, by incarnation
}

// New returns an empty registry. stated holds what targets have stated in their answers.
// onLeaving is called once for each incarnation that starts to leave, without locks held.
func New(stated *targetnotice.Tracker, onLeaving func(Target, LeavingNotice)) *Registry {
	r := &Registry{
		onLeaving:      onLeaving,
		stated:         stated,
		entries:        make(map[string]Target),
		notices:        make(map[string]LeavingNotice),
		leavingTargets: make(map[string]Target),
	}
	r.view.Store(&View{stated: stated})
	return r
}

// ExcludeEvacuated makes views leave out targets of evacuated failure domains; nil for none. It
// must be called before the registry is used.
func (r *Registry) ExcludeEvacuated(evacuated *evacuation.Holder) {
	r.evacuated = evacuated
	r.view.Store(&View{stated: r.stated, evacuated: evacuated})
}

// View returns the current snapshot.
func (r *Registry) View() *View { return r.view.Load() }

// Replace applies a complete target list. Targets that are no longer listed count as
// leaving. The keys of entries are the entry keys of the list.
func (r *Registry) Replace(entries map[string]Target, revision platform.Revision) {
	r.mu.Lock()
	var unlisted []Target
	for name, old := range r.entries {
		if current, ok := entries[name]; !ok || current.Key() != old.Key() {
			unlisted = append(unlisted, old)
		}
	}
	removed := r.recordLeaving(unlisted, sourceRemoved)
	r.entries = maps.Clone(entries)
	for _, t := range entries {
		r.withdrawRemoval(t)
	}
	leaving := append(removed, r.recordLeaving(onlyLeaving(entries), "target_list")...)
	r.publishView(revision)
	r.mu.Unlock()
	r.notifyLeaving(leaving)
}

// Change is a changed entry of the platform's target list.
type Change struct {
	Name   string  // key of the entry
	Target *Target // nil if the entry was removed or cannot be decoded
	// Unreadable means that the entry cannot be decoded. Its previous target gets no new
	// requests, but is not marked as leaving: it may still run the requests it has.
	Unreadable bool
}

// Apply applies changed entries in order. It builds the view once for the whole batch,
// because a starting fleet registers thousands of targets within seconds.
func (r *Registry) Apply(changes []Change, revision platform.Revision) {
	r.mu.Lock()
	var leaving []newlyLeaving
	for _, c := range changes {
		leaving = append(leaving, r.applyChange(c)...)
	}
	r.publishView(revision)
	r.mu.Unlock()
	r.notifyLeaving(leaving)
}

// applyChange applies one changed entry and returns the targets that started to leave.
// Callers hold r.mu.
func (r *Registry) applyChange(c Change) []newlyLeaving {
	old, known := r.entries[c.Name]
	if c.Target == nil {
		delete(r.entries, c.Name)
		if !known || c.Unreadable {
			return nil
		}
		return r.recordLeaving([]Target{old}, sourceRemoved)
	}
	var leaving []Target
	if known && old.Key() != c.Target.Key() {
		leaving = append(leaving, old)
	}
	if c.Target.Leaving {
		leaving = append(leaving, *c.Target)
	}
	r.entries[c.Name] = *c.Target
	r.withdrawRemoval(*c.Target)
	return r.recordLeaving(leaving, "target_list")
}

// RecentlyLeaving returns the incarnations that started to leave within the last
// announceFor. Unlike AnnouncedLeaving it includes those whose entry is merely missing
// and may reappear.
func (r *Registry) RecentlyLeaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, n := range r.notices {
		if bootclock.Since(n.ReceivedAt) < announceFor {
			keys = append(keys, key)
		}
	}
	return keys
}

// LeavingNotice returns the notice of an incarnation, and false if it isn't leaving.
func (r *Registry) LeavingNotice(key string) (LeavingNotice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.notices[key]
	return n, ok
}

// HasAnnounced reports whether an incarnation is known to leave by more than its missing
// entry, which a crash leaves behind too.
func (r *Registry) HasAnnounced(key string) bool {
	n, ok := r.LeavingNotice(key)
	return ok && n.Source != sourceRemoved
}

// MarkLeaving records that an incarnation is leaving, as reported by source. It ignores
// unknown incarnations. A notice that is there already stays, except that one based only on
// a missing entry is confirmed, so that the entry's return doesn't withdraw it.
func (r *Registry) MarkLeaving(key, source string) {
	r.mu.Lock()
	var leaving []newlyLeaving
	if n, known := r.notices[key]; known {
		if n.Source == sourceRemoved {
			n.Source = source
			r.notices[key] = n
		}
	} else if t := r.view.Load().byKey[key]; t != nil {
		leaving = r.recordLeaving([]Target{*t}, source)
		r.publishView(r.view.Load().Revision)
	}
	r.mu.Unlock()
	r.notifyLeaving(leaving)
}

// AnnouncedLeaving returns the incarnations to announce to other hosts, sorted: those
// that started to leave within the last announceFor, without those whose entry is
// merely missing.
func (r *Registry) AnnouncedLeaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]string, 0, len(r.notices))
	for key, n := range r.notices {
		if n.Source != sourceRemoved && bootclock.Since(n.ReceivedAt) < announceFor {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// withdrawRemoval deletes a target's notice if it was based only on a missing entry that
// has reappeared. Callers hold r.mu.
func (r *Registry) withdrawRemoval(t Target) {
	key := t.Key()
	if n, ok := r.notices[key]; ok && !t.Leaving && n.Source == sourceRemoved {
		delete(r.notices, key)
		delete(r.leavingTargets, key)
	}
}

// newlyLeaving is a target with its first leaving notice.
type newlyLeaving struct {
	target Target
	notice LeavingNotice
}

// recordLeaving stores notices for targets that have none yet and returns these targets.
// Callers hold r.mu.
func (r *Registry) recordLeaving(ts []Target, source string) []newlyLeaving {
	now := bootclock.Now()
	var added []newlyLeaving
	for _, t := range ts {
		if _, known := r.notices[t.Key()]; known {
			continue
		}
		n := LeavingNotice{Key: t.Key(), Source: source, ReceivedAt: now}
		r.notices[t.Key()] = n
		t.Leaving = true
		r.leavingTargets[t.Key()] = t
		added = append(added, newlyLeaving{t, n})
	}
	return added
}

// notifyLeaving calls onLeaving for each target. Callers must not hold r.mu.
func (r *Registry) notifyLeaving(leaving []newlyLeaving) {
	for _, n := range leaving {
		r.onLeaving(n.target, n.notice)
	}
}

// publishView deletes expired notices and builds a new view. Callers hold r.mu.
func (r *Registry) publishView(revision platform.Revision) {
	for key, n := range r.notices {
		if bootclock.Since(n.ReceivedAt) <= noticeRetention {
			continue
		}
		delete(r.leavingTargets, key)
		if !r.stated.IsLeaving(key) {
			delete(r.notices, key)
		}
	}
	v := &View{Revision: revision, stated: r.stated, evacuated: r.evacuated, byService: make(map[string][]*Target), byKey: make(map[string]*Target, len(r.entries))}
	for key := range r.leavingTargets {
		t := r.leavingTargets[key]
		v.byKey[key] = &t
	}
	for _, t := range r.entries {
		key := t.Key()
		_, leaving := r.notices[key]
		t.Leaving = t.Leaving || leaving || r.stated.IsLeaving(key)
		v.byKey[key] = &t
		v.byService[t.Service] = append(v.byService[t.Service], &t)
	}
	for _, ts := range v.byService {
		sort.Slice(ts, func(i, j int) bool { return ts[i].Key() < ts[j].Key() })
	}
	r.view.Store(v)
}

func onlyLeaving(entries map[string]Target) []Target {
	var out []Target
	for _, t := range entries {
		if t.Leaving {
			out = append(out, t)
		}
	}
	return out
}

func incarnationKey(id string, startedAtMS int64) string {
	return id + "@" + strconv.FormatInt(startedAtMS, 10)
}
