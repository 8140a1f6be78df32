// Package region decides in which regions a call may run, by the lists that its route and its client
// account state.
package region

import (
	"slices"
	"strings"
)

// Set is the regions in which a call may run. Zero is all regions. It is passed between hosts with
// gob, which doesn't tell an empty list from a missing one.
type Set struct {
	Restricted bool
	Names      []string // the allowed regions; only if Restricted
}

// Allowed returns the regions that are in each of the lists. An empty list allows all.
func Allowed(lists ...[]string) Set {
	var s Set
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !s.Restricted:
			s = Set{Restricted: true, Names: slices.Clone(list)}
		default:
			s.Names = slices.DeleteFunc(s.Names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return s
}

// Contains reports whether a region is allowed. One that is not known, "", is allowed only if all are.
func (s Set) Contains(name string) bool {
	return !s.Restricted || name != "" && slices.Contains(s.Names, name)
}

// Key returns a text that is the same for equal sets, "" for all regions.
func (s Set) Key() string {
	if !s.Restricted {
		return ""
	}
	names := slices.Clone(s.Names)
	slices.Sort(names)
	return "regions:" + strings.Join(slices.Compact(names), ",")
}

// Map is the region of each failure domain. Nil knows none.
type Map map[string]string

// Allows reports whether a call with the set may run in a failure domain.
func (m Map) Allows(s Set, domain string) bool { return !s.Restricted || s.Contains(m[domain]) }
