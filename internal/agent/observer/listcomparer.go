package observer

import (
	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

// ListComparer compares successive copies of the platform's list with the table and
// finds the rows to change. The list lags, and the copies of two readers may differ in
// age, so a difference from the table may come from an old copy. An entry that changed
// since this reader's last copy is applied immediately. Other differences are applied
// only in full comparisons, and a row that is missing from the list counts as left after
// comparisonsUntilLeft of them.
type ListComparer struct {
	last         map[string]platform.Target // by name; nil before the first copy
	missingCount map[string]int             // by name, successive comparisons in which a row was missing from the list
}

// comparisonsUntilLeft is the number of successive comparisons after which a row that
// is missing from the list counts as left.
const comparisonsUntilLeft = 2

// Changes compares a copy of the list with the table's rows and returns the rows to
// write. If compare is set it makes a full comparison.
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
			writes = append(writes, applyEntry(row, entry))
		}
	}
	writes = append(writes, l.leftRows(rows, current, compare)...)
	l.last = current
	return writes
}

// leftRows returns the rows of targets that have left the list, marked as left.
func (l *ListComparer) leftRows(rows []control.TargetState, current map[string]platform.Target, compare bool) []control.TargetState {
	if l.missingCount == nil {
		l.missingCount = make(map[string]int)
	}
	var writes []control.TargetState
	for _, row := range rows {
		if _, listed := current[row.Name]; listed {
			delete(l.missingCount, row.Name)
			continue
		}
		if compare {
			l.missingCount[row.Name]++
		}
		if _, wasListed := l.last[row.Name]; wasListed || l.missingCount[row.Name] >= comparisonsUntilLeft {
			delete(l.missingCount, row.Name)
			row.Left, row.Healthy = true, false
			writes = append(writes, row)
		}
	}
	return writes
}

// differs reports whether the list's entry differs from the row. Leaving is compared
// with the list's previous value, not with the row's own state.
func differs(row control.TargetState, entry platform.Target) bool {
	if row.ListedLeaving != entry.Leaving {
		return true
	}
	entry.Leaving = row.Leaving
	return row.Target != entry
}

// applyEntry returns the row with the list's entry applied. Leaving stays set, unless
// the entry's address is new, as after a restart.
func applyEntry(row control.TargetState, entry platform.Target) control.TargetState {
	if row.Left || row.Address != entry.Address {
		row = control.TargetState{Owner: row.Owner, Version: row.Version}
	}
	leaving := row.Leaving || entry.Leaving
	row.Target = entry
	row.Leaving = leaving
	row.ListedLeaving = entry.Leaving
	return row
}

// withListChange returns the row with what a row of Changes takes from the list. The rest
// may have changed since the rows were compared.
func withListChange(row, change control.TargetState) control.TargetState {
	if change.Left {
		row.Left, row.Healthy = true, false
		return row
	}
	entry := change.Target
	entry.Leaving = change.ListedLeaving
	return applyEntry(row, entry)
}
