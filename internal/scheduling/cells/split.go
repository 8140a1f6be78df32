// Package cells schedules over pools of more targets than one owner can track
// exactly. It splits the targets into cells, each with a scheduling.Pool of its own,
// and considers only a few cells for each request, so that the cost of a decision
// does not depend on the size of the pool.
package cells

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/scheduling"
)

// preferredCellSize is the number of targets per cell that determines the number of
// cells. A cell may hold up to scheduling.MaxCellTargets; further targets go to the
// cell with the next highest weight.
const preferredCellSize = 12

// Split divides targets into cells of at most scheduling.MaxCellTargets, by
// rendezvous hashing (highest random weight) among the cells with room. The result
// depends only on the names, so that all hosts compute the same. A target that joins
// or leaves moves few others unless the number of cells changes.
func Split(targets []string) [][]string {
	count := max(1, (len(targets)+preferredCellSize-1)/preferredCellSize)
	keys := make([]uint64, count)
	for i := range keys {
		keys[i] = xxhash.Sum64String(Name(i))
	}
	cells := make([][]string, count)
	for _, target := range slices.Sorted(slices.Values(targets)) {
		i := cellWithRoom(xxhash.Sum64String(target), keys, cells)
		cells[i] = append(cells[i], target)
	}
	return cells
}

// cellWithRoom returns the cell with the highest weight for the target among those
// that have room.
func cellWithRoom(target uint64, keys []uint64, cells [][]string) int {
	best, bestWeight := -1, uint64(0)
	for i, key := range keys {
		weight := mix(target ^ key)
		if len(cells[i]) < scheduling.MaxCellTargets && (best < 0 || weight > bestWeight) {
			best, bestWeight = i, weight
		}
	}
	return best
}

// mix is the finalizer of splitmix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Name returns the name of a cell, which is the last part of the key by which its
// owner is chosen.
func Name(index int) string { return "cell-" + strconv.Itoa(index) }
