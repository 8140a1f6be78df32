package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/prefix"
)

// BlockTokens is the number of tokens in a KV block. It equals the block of the
// prefix hashes, since the cache shares whole blocks.
const BlockTokens = prefix.BlockTokens

// blocks returns the number of blocks that hold tokens.
func blocks(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// block is one cached prefix block. Blocks without users are in the LRU list.
type block struct {
	hash       uint64
	users      int
	prev, next *block
}

// blockPool accounts the KV memory. A block is private to one sequence, cached,
// or free. A cached block counts once, however many sequences use it.
type blockPool struct {
	total   int
	private int
	cached  map[uint64]*block
	unused  int   // cached blocks without users
	lru     block // sentinel; lru.next is evicted first
	spare   []*block
	log     *cacheLog
}

func newBlockPool(total int, log *cacheLog) blockPool {
	return blockPool{total: total, cached: make(map[uint64]*block), log: log}
}

// free returns the blocks that hold nothing. It is negative after the memory
// has been made smaller than what is in use.
func (p *blockPool) free() int { return p.total - p.private - len(p.cached) }

// available returns the blocks that are free or can be evicted.
func (p *blockPool) available() int { return p.free() + p.unused }

// used returns the blocks held by sequences.
func (p *blockPool) used() int { return p.private + len(p.cached) - p.unused }

// allocate gives n private blocks to a sequence, or none.
func (p *blockPool) allocate(s *sequence, n int, now time.Time) bool {
	if p.available() < n {
		return false
	}
	p.evict(n, now)
	p.private += n
	s.private += n
	s.capacity = (s.private + len(s.shared)) * BlockTokens
	return true
}

// evict drops the least recently used blocks until n are free or no unused block
// is left.
func (p *blockPool) evict(n int, now time.Time) {
	for p.free() < n && p.unused > 0 {
		b := p.lru.next
		p.unlink(b)
		delete(p.cached, b.hash)
		p.log.add(now, engine.CacheEvicted, b.hash)
		p.spare = append(p.spare, b)
	}
}

// attach makes the sequence use the longest cached prefix of its prompt.
func (p *blockPool) attach(s *sequence) {
	for _, hash := range s.hashes {
		b := p.cached[hash]
		if b == nil {
			return
		}
		p.use(b)
		s.shared = append(s.shared, b)
	}
}

// share puts the whole blocks of a computed prompt into the cache. A block that
// another sequence has stored meanwhile is used in place of the own copy.
func (p *blockPool) share(s *sequence, now time.Time) {
	for _, hash := range s.hashes[len(s.shared):] {
		p.private--
		s.private--
		b := p.cached[hash]
		if b == nil {
			b = p.store(hash, now)
		} else {
			p.use(b)
		}
		s.shared = append(s.shared, b)
	}
}

// store adds a block with one user.
func (p *blockPool) store(hash uint64, now time.Time) *block {
	var b *block
	if n := len(p.spare); n > 0 {
		b = p.spare[n-1]
		p.spare = p.spare[:n-1]
	} else {
		b = new(block)
	}
	*b = block{hash: hash, users: 1}
	p.cached[hash] = b
	p.log.add(now, engine.CacheStored, hash)
	return b
}

// release returns all blocks of a sequence. The end of the prompt is evicted
// before its beginning, which more prompts share.
func (p *blockPool) release(s *sequence) {
	p.private -= s.private
	s.private = 0
	for i := len(s.shared) - 1; i >= 0; i-- {
		b := s.shared[i]
		b.users--
		if b.users == 0 {
			p.link(b)
		}
	}
	s.shared = s.shared[:0]
}

func (p *blockPool) resize(total int, now time.Time) {
	p.total = total
	p.evict(0, now)
}

func (p *blockPool) use(b *block) {
	if b.users == 0 {
		p.unlink(b)
	}
	b.users++
}

// link appends a block to the LRU list.
func (p *blockPool) link(b *block) {
	if p.lru.next == nil {
		p.lru.next, p.lru.prev = &p.lru, &p.lru
	}
	b.prev, b.next = p.lru.prev, &p.lru
	b.prev.next, p.lru.prev = b, b
	p.unused++
}

func (p *blockPool) unlink(b *block) {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
	p.unused--
}
