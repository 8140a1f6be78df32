package document

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// ChangeKind tells what happened to a part of a document.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is one difference between two documents and what it means for callers.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Path   string     `json:"path"` // by names: accounts/booking-office/serves/briefing
	Old    string     `json:"old,omitempty"`
	New    string     `json:"new,omitempty"`
	Effect string     `json:"effect"` // what follows once the change is in force
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s = %s: %s", c.Path, c.New, c.Effect)
	case ChangeRemoved:
		return fmt.Sprintf("- %s = %s: %s", c.Path, c.Old, c.Effect)
	}
	return fmt.Sprintf("~ %s: %s -> %s: %s", c.Path, c.Old, c.New, c.Effect)
}

// Diff lists what changes from one document to another, defaults applied, in the
// order of paths. Order within lists does not count, except that of grants that
// overlap, which validation refuses.
func Diff(before, after Document) []Change {
	d := &differ{}
	before, after = Normalize(before), Normalize(after)
	d.value("environment", before.Environment, after.Environment, "the document applies to another environment")
	d.objectives(before.Objectives, after.Objectives)
	d.retention(before.Retention, after.Retention)
	d.models(before.Models, after.Models)
	d.classes(before.Classes, after.Classes)
	d.accounts(before.Accounts, after.Accounts)
	d.services(before.Services, after.Services)
	d.placements(before.Placements, after.Placements)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

// value notes a changed value.
func (d *differ) value(path string, before, after any, effect string) {
	if before == after {
		return
	}
	d.changes = append(d.changes, Change{
		Kind: ChangeModified, Path: path, Old: fmt.Sprint(before), New: fmt.Sprint(after), Effect: effect,
	})
}

func (d *differ) added(path, value, effect string) {
	d.changes = append(d.changes, Change{Kind: ChangeAdded, Path: path, New: value, Effect: effect})
}

func (d *differ) removed(path, value, effect string) {
	d.changes = append(d.changes, Change{Kind: ChangeRemoved, Path: path, Old: value, Effect: effect})
}

// texts compares two sets of texts below a path.
func (d *differ) texts(path string, before, after []string, show func(string) string, addEffect, removeEffect string) {
	for _, text := range before {
		if !slices.Contains(after, text) {
			d.removed(path, show(text), removeEffect)
		}
	}
	for _, text := range after {
		if !slices.Contains(before, text) {
			d.added(path, show(text), addEffect)
		}
	}
}

// pair holds both sides of a named entry; one may be nil.
type pair[T any] struct {
	name          string
	before, after *T
}

// pairs matches the entries of two lists by name, in name order.
func pairs[T any](before, after []T, name func(*T) string) []pair[T] {
	found := make(map[string]*pair[T], len(after))
	for i := range before {
		n := name(&before[i])
		found[n] = &pair[T]{name: n, before: &before[i]}
	}
	for i := range after {
		n := name(&after[i])
		if found[n] == nil {
			found[n] = &pair[T]{name: n}
		}
		found[n].after = &after[i]
	}
	list := make([]pair[T], 0, len(found))
	for _, p := range found {
		list = append(list, *p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func plain(text string) string { return text }

func joined(list []string) string { return "[" + strings.Join(list, ", ") + "]" }
