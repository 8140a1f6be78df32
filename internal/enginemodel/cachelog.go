package enginemodel

import (
	"math/rand/v2"
	"time"

	"corianderhitch/api/engine"
)

// cacheLog keeps the latest cache events in a ring buffer.
type cacheLog struct {
	ring            []cacheRecord
	lastSeq         int64 // sequence number of the latest event
	lastVisibleAt   time.Time
	lag             time.Duration
	jitter          time.Duration
	lossProbability float64
	loseNext        int // number of next events to lose
	random          *rand.Rand
}

type cacheRecord struct {
	event     engine.CacheEvent
	visibleAt time.Time
	lost      bool
}

func newCacheLog(c Config) *cacheLog {
	return &cacheLog{
		ring:            make([]cacheRecord, c.CacheEventBuffer),
		lag:             c.CacheLag,
		jitter:          c.CacheJitter,
		lossProbability: c.CacheLoss,
		random:          rand.New(rand.NewPCG(c.Seed, c.Seed+1)),
	}
}

// add records an event, which becomes visible after the lag unless it is lost.
func (l *cacheLog) add(now time.Time, kind engine.CacheEventKind, hash uint64) {
	l.lastSeq++
	visibleAt := now.Add(l.lag)
	if l.jitter > 0 {
		visibleAt = visibleAt.Add(time.Duration(l.random.Int64N(int64(l.jitter))))
	}
	if visibleAt.After(l.lastVisibleAt) {
		l.lastVisibleAt = visibleAt
	}
	r := cacheRecord{event: engine.CacheEvent{Seq: l.lastSeq, Kind: kind, Hash: hash}, visibleAt: l.lastVisibleAt}
	switch {
	case l.loseNext > 0:
		l.loseNext--
		r.lost = true
	case l.lossProbability > 0:
		r.lost = l.random.Float64() < l.lossProbability
	}
	l.ring[l.lastSeq%int64(len(l.ring))] = r
}

// CacheEvents returns the cache events with a sequence number above after that are
// visible at now. Lost events leave gaps in the numbers; lost events at the end show up
// as a gap in a later call. A restarted engine numbers its events from 1 again; Next is
// then below after.
func (e *Engine) CacheEvents(now time.Time, after int64) engine.CacheEvents {
	l := e.pool.log
	if after > l.lastSeq {
		return engine.CacheEvents{Next: l.lastSeq}
	}
	reply := engine.CacheEvents{Next: after}
	first := max(after, l.lastSeq-int64(len(l.ring))) + 1
	for seq := first; seq <= l.lastSeq; seq++ {
		r := &l.ring[seq%int64(len(l.ring))]
		if r.visibleAt.After(now) {
			break
		}
		if !r.lost {
			reply.Events = append(reply.Events, r.event)
			reply.Next = seq
		}
	}
	return reply
}

// LoseCacheEvents loses the next n cache events, and each later one with the given
// probability.
func (e *Engine) LoseCacheEvents(n int, probability float64) {
	e.pool.log.loseNext = n
	e.pool.log.lossProbability = probability
}
