// Package affinity remembers which targets hold which cached prompt prefixes,
// from cache events that are late and have gaps, and from own placements.
package affinity

import (
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxSlots is the number of targets that an Index tells apart.
	MaxSlots = 64
	// DefaultMaxBlocks bounds the blocks that an Index remembers, about 100 B each.
	DefaultMaxBlocks = 65536
)

// Index maps block hashes to the set of target slots that hold them. It is not
// safe for concurrent use.
type Index struct {
	blocks *simplelru.LRU[uint64, uint64]
}

// NewIndex returns an Index of at most maxBlocks blocks, or DefaultMaxBlocks if
// that is 0.
func NewIndex(maxBlocks int) *Index {
	if maxBlocks <= 0 {
		maxBlocks = DefaultMaxBlocks
	}
	blocks, _ := simplelru.NewLRU[uint64, uint64](maxBlocks, nil) // fails only for a size below 1
	return &Index{blocks: blocks}
}

// Store notes that the target at the slot holds the blocks.
func (x *Index) Store(slot int, hashes []uint64) {
	if slot >= MaxSlots {
		return
	}
	for _, h := range hashes {
		holders, _ := x.blocks.Get(h)
		x.blocks.Add(h, holders|1<<slot)
	}
}

// Evict notes that the target at the slot no longer holds the blocks.
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

// Forget drops all that is known of the target at the slot.
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

// Match fills depth with the number of leading blocks that each slot holds, for
// hashes given shortest prefix first.
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

func (x *Index) set(hash, holders uint64) {
	if holders == 0 {
		x.blocks.Remove(hash)
		return
	}
	x.blocks.Add(hash, holders)
}
