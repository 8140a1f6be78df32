// Package affinity tracks which targets have which prompt prefixes in their cache,
// from cache events, which are late and may be missed, and from the placements of
// the pool itself.
package affinity

import (
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxSlots is the number of targets that an Index can track: one bit each of a
	// 64-bit set.
	MaxSlots = 64
	// DefaultMaxBlocks is the default number of blocks in an Index, which take about
	// 100 B each.
	DefaultMaxBlocks = 65536
)

// Index maps block hashes to the set of targets that have them cached. Targets are
// numbered by slots from 0 to MaxSlots-1; calls for higher slots do nothing. It
// drops the least recently used blocks when it is full, and is not safe for
// concurrent use.
type Index struct {
	blocks *simplelru.LRU[uint64, uint64]
}

// NewIndex returns an Index of at most maxBlocks blocks, or of DefaultMaxBlocks if
// maxBlocks is 0.
func NewIndex(maxBlocks int) *Index {
	if maxBlocks <= 0 {
		maxBlocks = DefaultMaxBlocks
	}
	blocks, _ := simplelru.NewLRU[uint64, uint64](maxBlocks, nil) // fails only for a size below 1
	return &Index{blocks: blocks}
}

// Store records that the target at the slot has cached the blocks.
func (x *Index) Store(slot int, hashes []uint64) {
	if slot >= MaxSlots {
		return
	}
	for _, h := range hashes {
		holders, _ := x.blocks.Get(h)
		x.blocks.Add(h, holders|1<<slot)
	}
}

// Evict records that the target at the slot no longer has the blocks cached.
func (x *Index) Evict(slot int, hashes []uint64) {
	if slot >= MaxSlots {
		return
	}
	for _, h := range hashes {
		if holders, ok := x.blocks.Peek(h); ok {
			x.set(h, holders&^(1<<slot))
		}
	}
}

// Forget removes the target at the slot from all blocks.
func (x *Index) Forget(slot int) {
	if slot >= MaxSlots {
		return
	}
	for _, h := range x.blocks.Keys() {
		holders, _ := x.blocks.Peek(h)
		if holders&(1<<slot) != 0 {
			x.set(h, holders&^(1<<slot))
		}
	}
}

// Match sets depth, for each slot, to the number of leading hashes whose blocks the
// target has cached. The hashes are ordered from the shortest prefix to the
// longest.
func (x *Index) Match(hashes []uint64, depth *[MaxSlots]int) {
	*depth = [MaxSlots]int{}
	holders := ^uint64(0)
	for i, h := range hashes {
		blockHolders, _ := x.blocks.Get(h)
		holders &= blockHolders
		if holders == 0 {
			return
		}
		for rest := holders; rest != 0; rest &= rest - 1 {
			depth[bits.TrailingZeros64(rest)] = i + 1
		}
	}
}

// set stores the holders of a block and removes a block without holders.
func (x *Index) set(hash, holders uint64) {
	if holders == 0 {
		x.blocks.Remove(hash)
		return
	}
	x.blocks.Add(hash, holders)
}
