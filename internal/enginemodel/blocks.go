package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/prefix"
)

// BlockTokens is the number of tokens in a KV block. It equals the block size of prefix
// hashes, since the prefix cache shares whole blocks.
const BlockTokens = prefix.BlockTokens

// blocksFor returns the number of blocks needed for a number of tokens.
func blocksFor(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// block is a block in the prefix cache. Blocks that no sequence uses are in the LRU
// list.
type block struct {
	hash       uint64
	refCount   int
	prev, next *block
}

// blockPool accounts for the blocks of the KV memory. A block is private to one
// sequence, in the prefix cache, or free. A cached block counts once, however many
// sequences use it.
type blockPool struct {
	total         int
	privateBlocks int
	cached        map[uint64]*block
	evictable     int   // cached blocks that no sequence uses
	lru           block // sentinel; lru.next is evicted first
	recycled      []*block
	log           *cacheLog
}

func newBlockPool(total int, log *cacheLog) blockPool {
	return blockPool{total: total, cached: make(map[uint64]*block), log: log}
}

// free returns the number of blocks that hold nothing. It is negative after the memory
// has been reduced below what is in use.
func (p *blockPool) free() int { return p.total - p.privateBlocks - len(p.cached) }

// available returns the number of blocks that are free or can be evicted.
func (p *blockPool) available() int { return p.free() + p.evictable }

// used returns the number of blocks that sequences use.
func (p *blockPool) used() int { return p.privateBlocks + len(p.cached) - p.evictable }

// allocate adds n private blocks to a sequence, evicting cached blocks if necessary. It
// allocates nothing and returns false if fewer are available.
func (p *blockPool) allocate(s *sequence, n int, now time.Time) bool {
	if p.available() < n {
		return false
	}
	p.evict(n, now)
	p.privateBlocks += n
	s.privateBlocks += n
	s.capacity = (s.privateBlocks + len(s.sharedBlocks)) * BlockTokens
	return true
}

// evict removes the least recently used blocks from the cache until n blocks are free
// or no block can be evicted.
func (p *blockPool) evict(n int, now time.Time) {
	for p.free() < n && p.evictable > 0 {
		b := p.lru.next
		p.removeLRU(b)
		delete(p.cached, b.hash)
		p.log.add(now, engine.CacheEvicted, b.hash)
		p.recycled = append(p.recycled, b)
	}
}

// attachCachedPrefix adds the blocks of the longest cached prefix of the prompt to the
// sequence.
func (p *blockPool) attachCachedPrefix(s *sequence) {
	for _, hash := range s.prefixHashes {
		b := p.cached[hash]
		if b == nil {
			return
		}
		p.acquire(b)
		s.sharedBlocks = append(s.sharedBlocks, b)
	}
}

// sharePrompt moves the whole blocks of a computed prompt from the sequence's private
// blocks to the cache. If another sequence has cached an equal block meanwhile, the
// sequence uses that one and frees its own.
func (p *blockPool) sharePrompt(s *sequence, now time.Time) {
	for _, hash := range s.prefixHashes[len(s.sharedBlocks):] {
		p.privateBlocks--
		s.privateBlocks--
		b := p.cached[hash]
		if b == nil {
			b = p.addCached(hash, now)
		} else {
			p.acquire(b)
		}
		s.sharedBlocks = append(s.sharedBlocks, b)
	}
}

// addCached adds a block with one user to the cache.
func (p *blockPool) addCached(hash uint64, now time.Time) *block {
	var b *block
	if n := len(p.recycled); n > 0 {
		b = p.recycled[n-1]
		p.recycled = p.recycled[:n-1]
	} else {
		b = new(block)
	}
	*b = block{hash: hash, refCount: 1}
	p.cached[hash] = b
	p.log.add(now, engine.CacheStored, hash)
	return b
}

// release frees all blocks of a sequence. Its cached blocks enter the LRU list from the
// end of the prompt to its beginning, so that the beginning, which more prompts share,
// is evicted last.
func (p *blockPool) release(s *sequence) {
	p.privateBlocks -= s.privateBlocks
	s.privateBlocks = 0
	for i := len(s.sharedBlocks) - 1; i >= 0; i-- {
		b := s.sharedBlocks[i]
		b.refCount--
		if b.refCount == 0 {
			p.pushLRU(b)
		}
	}
	s.sharedBlocks = s.sharedBlocks[:0]
}

func (p *blockPool) resize(total int, now time.Time) {
	p.total = total
	p.evict(0, now)
}

func (p *blockPool) acquire(b *block) {
	if b.refCount == 0 {
		p.removeLRU(b)
	}
	b.refCount++
}

// pushLRU appends a block to the LRU list.
func (p *blockPool) pushLRU(b *block) {
	if p.lru.next == nil {
		p.lru.next, p.lru.prev = &p.lru, &p.lru
	}
	b.prev, b.next = p.lru.prev, &p.lru
	b.prev.next, p.lru.prev = b, b
	p.evictable++
}

func (p *blockPool) removeLRU(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	p.evictable--
}
