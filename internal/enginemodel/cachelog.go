package enginemodel

import (
	"math/rand/v2"
	"time"

	"corianderhitch/api/engine"
)

// cacheLog keeps the latest cache events in a ring.
type cacheLog struct {
	ring    []cacheRecord
	last    int64 // sequence number of the latest event
	visible time.Time
	lag     time.Duration
	jitter  time.Duration
	loss    float64
	lose    int // next events that are lost
	random  *rand.Rand
}

type cacheRecord struct {
	event   engine.CacheEvent
	visible time.Time
	lost    bool
}

func newCacheLog(c Config) *cacheLog {
	return &cacheLog{
		ring:   make([]cacheRecord, c.CacheEventBuffer),
		lag:    c.CacheLag,
		jitter: c.CacheJitter,
		loss:   c.CacheLoss,
		random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)),
	}
}

func (l *cacheLog) add(now time.Time, kind engine.CacheEventKind, hash uint64) {
	l.last++
	visible := now.Add(l.lag)
	if l.jitter > 0 {
		visible = visible.Add(time.Duration(l.random.Int64N(int64(l.jitter))))
	}
	if visible.After(l.visible) {
		l.visible = visible
	}
	r := cacheRecord{event: engine.CacheEvent{Seq: l.last, Kind: kind, Hash: hash}, visible: l.visible}
	switch {
	case l.lose > 0:
		l.lose--
		r.lost = true
	case l.loss > 0:
		r.lost = l.random.Float64() < l.loss
	}
	l.ring[l.last%int64(len(l.ring))] = r
}

// CacheEvents returns the cache events behind a sequence number that are seen at
// now. Lost events leave gaps in the numbers; those at the end show as a gap
// in a later poll. An engine that was started anew counts from 1 again, so Next
// is below after.
func (e *Engine) CacheEvents(now time.Time, after int64) engine.CacheEvents {
	l := e.pool.log
	if after > l.last {
		return engine.CacheEvents{Next: l.last}
	}
	answer := engine.CacheEvents{Next: after}
	first := max(after, l.last-int64(len(l.ring))) + 1
	for seq := first; seq <= l.last; seq++ {
		r := &l.ring[seq%int64(len(l.ring))]
		if r.visible.After(now) {
			break
		}
		if !r.lost {
			answer.Events = append(answer.Events, r.event)
			answer.Next = seq
		}
	}
	return answer
}

// LoseCacheEvents makes the next n cache events get lost, and each later one
// with the probability.
func (e *Engine) LoseCacheEvents(n int, probability float64) {
	e.pool.log.lose = n
	e.pool.log.loss = probability
}
