// Package cells decides over pools of more targets than one owner can hold
// exactly: it splits them into cells, each with a Pool of its own, and chooses
// between few cells for each request, so that a decision costs the same however
// large the pool.
package cells

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/scheduling"
)

// usualSize is the number of targets that a cell is meant to have. Cells may
// grow to scheduling.MaxCellTargets before targets move to the next in rank.
const usualSize = 12

// Split divides targets into cells of at most scheduling.MaxCellTargets, by
// highest random weight among the cells with room. It is a function of the names
// alone, so that all hosts agree; a target that comes or goes moves few others
// unless the number of cells changes.
func Split(targets []string) [][]string {
	count := max(1, (len(targets)+usualSize-1)/usualSize)
	keys := make([]uint64, count)
	for i := range keys {
		keys[i] = xxhash.Sum64String(Name(i))
	}
	cells := make([][]string, count)
	for _, target := range slices.Sorted(slices.Values(targets)) {
		i := place(xxhash.Sum64String(target), keys, cells)
		cells[i] = append(cells[i], target)
	}
	return cells
}

// place returns the cell with room that has the highest weight for the target.
func place(target uint64, keys []uint64, cells [][]string) int {
	best, bestWeight := -1, uint64(0)
	for i, key := range keys {
		w := mix(target ^ key)
		if len(cells[i]) < scheduling.MaxCellTargets && (best < 0 || w > bestWeight) {
			best, bestWeight = i, w
		}
	}
	return best
}

// mix is the finalizer of splitmix64, which spreads each bit over all.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Name returns the name of a cell, the last part of its owner's key.
func Name(index int) string { return "cell-" + strconv.Itoa(index) }
