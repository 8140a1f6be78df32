// Package cells decides over pools of more targets than one owner can hold
// exactly: it splits them into cells, each with a Pool of its own, and chooses
// between few cells for each request, so that a decision costs the same however
// large the pool.
package cells

import (
	"slices"
	"strconv"

	"corianderhitch/internal/rendezvous"
	"corianderhitch/internal/scheduling"
)

// usualSize is the number of targets that a cell is meant to have. Cells may
// grow to scheduling.MaxCellTargets before targets move to the next in rank.
const usualSize = 12

// Split divides targets into cells of at most scheduling.MaxCellTargets. It is a
// function of the names alone, so that all hosts agree; a target that comes or
// goes moves few others unless the number of cells changes.
func Split(targets []string) [][]string {
	count := max(1, (len(targets)+usualSize-1)/usualSize)
	names := make([]string, count)
	for i := range names {
		names[i] = Name(i)
	}
	cells := make([][]string, count)
	for _, target := range slices.Sorted(slices.Values(targets)) {
		for _, name := range rendezvous.Ranked(target, names) {
			i := slices.Index(names, name)
			if len(cells[i]) < scheduling.MaxCellTargets {
				cells[i] = append(cells[i], target)
				break
			}
		}
	}
	return cells
}

// Name returns the name of a cell, the last part of its owner's key.
func Name(index int) string { return "cell-" + strconv.Itoa(index) }
