package prefix

import (
	"slices"
	"sync"
)

const (
	// maxCountedPrefixes bounds each of the two maps of Branches, at about 20 bytes an entry.
	maxCountedPrefixes = 1 << 15
	// maxCountedBlocks bounds the blocks of one prompt that are counted.
	maxCountedBlocks = 1024
	// maxBranchHashes bounds the hashes at branches that Choose returns. The others are at
	// fixed positions.
	maxBranchHashes = 10
)

// Branches counts how many prompts have which prefixes, to find where prompts that begin
// alike branch: there one part of them ends and the next begins. It is safe for concurrent
// use; its zero value is ready.
type Branches struct {
	mu              sync.Mutex
	recent, earlier map[uint64]uint32 // prompts by the hash of a prefix; guarded by mu
}

// Observe counts a prompt by its BlockHashes.
func (b *Branches) Observe(hashes []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recent == nil || len(b.recent) >= maxCountedPrefixes {
		b.recent, b.earlier = make(map[uint64]uint32), b.recent
	}
	for _, hash := range hashes[:min(len(hashes), maxCountedBlocks)] {
		b.recent[hash] = b.count(hash) + 1
	}
}

// count returns the number of prompts with the prefix. The caller holds mu.
func (b *Branches) count(hash uint64) uint32 {
	if n, ok := b.recent[hash]; ok {
		return n
	}
	return b.earlier[hash]
}

// Choose returns at most limit of a prompt's BlockHashes by which its parts can be told
// apart, shortest prefix first: those on both sides of the deepest branches, and those of
// 1, 2, 4, 8 and so on blocks, which all prompts with the same beginning have in common.
func (b *Branches) Choose(hashes []uint64, limit int) []uint64 {
	hashes = hashes[:min(len(hashes), maxCountedBlocks)]
	positions := b.branches(hashes)
	positions = positions[max(0, len(positions)-min(maxBranchHashes, limit)):]
	fixed := 1
	for fixed*2 <= len(hashes) {
		fixed *= 2
	}
	for ; fixed > 0 && fixed <= len(hashes) && len(positions) < limit; fixed /= 2 {
		if !slices.Contains(positions, fixed-1) {
			positions = append(positions, fixed-1)
		}
	}
	slices.Sort(positions)
	chosen := make([]uint64, len(positions))
	for i, position := range positions {
		chosen[i] = hashes[position]
	}
	return chosen
}

// branches returns the positions on both sides of each branch, and the last one if other
// prompts have all blocks.
func (b *Branches) branches(hashes []uint64) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var positions []int
	add := func(position int) {
		if n := len(positions); n == 0 || positions[n-1] != position {
			positions = append(positions, position)
		}
	}
	for i := range hashes {
		switch {
		case i+1 < len(hashes) && b.count(hashes[i]) != b.count(hashes[i+1]):
			add(i)
			add(i + 1)
		case i+1 == len(hashes) && b.count(hashes[i]) > 1:
			add(i)
		}
	}
	return positions
}
