package document

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// ChangeKind says how a part of a document changed.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is one difference between two documents and its effect on callers.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Path   string     `json:"path"` // names joined by slashes, for example accounts/booking-office/serves/briefing
	Old    string     `json:"old,omitempty"`
	New    string     `json:"new,omitempty"`
	Effect string     `json:"effect"` // consequence for callers once the change is in force
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

// Diff returns the changes from one document to another, with defaults applied,
// sorted by path. The order of lists is ignored: it would matter only for grants
// that overlap, and validation rejects those.
func Diff(before, after Document) []Change {
	d := &differ{}
	before, after = Normalize(before), Normalize(after)
	d.compareValue("environment", before.Environment, after.Environment, "the document applies to another environment")
	d.compareObjectives(before.Objectives, after.Objectives)
	d.compareRetention(before.Retention, after.Retention)
	d.compareModels(before.Models, after.Models)
	d.compareClasses(before.Classes, after.Classes)
	d.compareAccounts(before.Accounts, after.Accounts)
	d.compareServices(before.Services, after.Services)
	d.comparePlacements(before.Placements, after.Placements)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes
}

// differ collects the changes between two documents.
type differ struct{ changes []Change }

// compareValue records a change if the values differ.
func (d *differ) compareValue(path string, before, after any, effect string) {
	if before == after {
		return
	}
	d.changes = append(d.changes, Change{
		Kind: ChangeModified, Path: path, Old: fmt.Sprint(before), New: fmt.Sprint(after), Effect: effect,
	})
}

func (d *differ) recordAdded(path, value, effect string) {
	d.changes = append(d.changes, Change{Kind: ChangeAdded, Path: path, New: value, Effect: effect})
}

func (d *differ) recordRemoved(path, value, effect string) {
	d.changes = append(d.changes, Change{Kind: ChangeRemoved, Path: path, Old: value, Effect: effect})
}

// compareSets records the texts that only one of two sets has. format returns the
// text to show.
func (d *differ) compareSets(path string, before, after []string, format func(string) string, addEffect, removeEffect string) {
	for _, text := range before {
		if !slices.Contains(after, text) {
			d.recordRemoved(path, format(text), removeEffect)
		}
	}
	for _, text := range after {
		if !slices.Contains(before, text) {
			d.recordAdded(path, format(text), addEffect)
		}
	}
}

// entryPair is a named entry as it is in both documents; nil where it is absent.
type entryPair[T any] struct {
	name          string
	before, after *T
}

// matchByName pairs the entries of two lists by name and sorts the pairs by name.
func matchByName[T any](before, after []T, name func(*T) string) []entryPair[T] {
	found := make(map[string]*entryPair[T], len(after))
	for i := range before {
		n := name(&before[i])
		found[n] = &entryPair[T]{name: n, before: &before[i]}
	}
	for i := range after {
		n := name(&after[i])
		if found[n] == nil {
			found[n] = &entryPair[T]{name: n}
		}
		found[n].after = &after[i]
	}
	list := make([]entryPair[T], 0, len(found))
	for _, p := range found {
		list = append(list, *p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

func identity(text string) string { return text }

func formatList(list []string) string { return "[" + strings.Join(list, ", ") + "]" }
