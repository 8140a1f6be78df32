package observer

import (
	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

// Listing compares successive copies of the platform's list with the table. The
// list lags, and two readers may hold copies of different age: only what
// changed between two copies of the same reader is applied at once. What
// differs from the table without a change must differ in two comparisons.
type ListComparer struct {
	last    map[string]platform.Target // by name; nil before the first copy
	missing map[string]int             // comparisons in a row in which a row was not in the list
}

// absentReads is the number of comparisons after which a row without an entry
// in the list is taken as left.
const absentReads = 2

// Apply takes a copy of the list and the listed rows, and returns the rows to
// write. Compare also looks for differences older than the last copy.
func (l *ListComparer) Changes(list []platform.Target, rows []control.TargetState, compare bool) []control.TargetState {
	known := make(map[string]control.TargetState, len(rows))
	for _, r := range rows {
		known[r.Name] = r
	}
	compare = compare || l.last == nil
	current := make(map[string]platform.Target, len(list))
	var writes []control.TargetState
	for _, entry := range list {
		current[entry.Name] = entry
		row, exists := known[entry.Name]
		changed := l.last == nil || l.last[entry.Name] != entry
		if (changed || compare) && (!exists || differs(row, entry)) {
			writes = append(writes, entered(row, entry))
		}
	}
	writes = append(writes, l.vanished(rows, current, compare)...)
	l.last = current
	return writes
}

func (l *ListComparer) vanished(rows []control.TargetState, current map[string]platform.Target, compare bool) []control.TargetState {
	if l.missing == nil {
		l.missing = make(map[string]int)
	}
	var writes []control.TargetState
	for _, row := range rows {
		if _, listed := current[row.Name]; listed {
			delete(l.missing, row.Name)
			continue
		}
		if compare {
			l.missing[row.Name]++
		}
		if _, was := l.last[row.Name]; was || l.missing[row.Name] >= absentReads {
			delete(l.missing, row.Name)
			row.Left, row.Healthy = true, false
			writes = append(writes, row)
		}
	}
	return writes
}

// differs tells whether the list's entry says something that the row lacks.
func differs(row control.TargetState, entry platform.Target) bool {
	if row.ListedLeaving != entry.Leaving {
		return true
	}
	entry.Leaving = row.Leaving
	return row.Target != entry
}

// entered returns the row after the list's entry is applied. Leaving stays set,
// unless the entry is that of a new start at another address.
func entered(row control.TargetState, entry platform.Target) control.TargetState {
	if row.Left || row.Address != entry.Address {
		row = control.TargetState{Owner: row.Owner, Version: row.Version}
	}
	leaving := row.Leaving || entry.Leaving
	row.Target = entry
	row.Leaving = leaving
	row.ListedLeaving = entry.Leaving
	return row
}
