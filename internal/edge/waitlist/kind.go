package waitlist

import (
	"math"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/placement"
)

const (
	// demandTimeConstant is the time over which demand is averaged. The memory that is kept
	// free for a kind follows its demand within about this time.
	demandTimeConstant = 4 * time.Second
	// fastTimeConstant and slowTimeConstant are the same for the rate at which a kind gets room.
	// The larger of both rates counts: the fast one falls as soon as few runs wait.
	fastTimeConstant = time.Second
	slowTimeConstant = 4 * time.Second
	// tokenTime is the usual time between two output tokens of a run.
	tokenTime = 16 * time.Millisecond
	// reportDelay is the usual time until it is known that a run has ended.
	reportDelay = 200 * time.Millisecond
	// minRate is the rate, in tokens a second, below which a kind counts as getting no room.
	minRate = 100.0
)

// average is an exponentially decaying rate.
type average struct {
	value    float64 // per second as of at
	at       bootclock.Instant
	constant time.Duration
}

func (a *average) add(now bootclock.Instant, amount float64) {
	a.value = a.rate(now) + amount/a.constant.Seconds()
	a.at = now
}

func (a *average) rate(now bootclock.Instant) float64 {
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/a.constant.Seconds())
}

// kind is what is known of the runs of one urgency of a service.
type kind struct {
	began     bootclock.Instant
	objective time.Duration
	demand    average // tokens x seconds in memory, of all that asked
	asked     average // tokens
	runs      average // that asked
	missed    average // tokens that found no room at their first ask
	fast      average // tokens that got room
	slow      average // the same
	held      average // tokens that placed runs still hold; its constant is their residence
	// nextReturn is when the next caller may be told to come back.
	nextReturn bootclock.Instant
}

func newKind(now bootclock.Instant) *kind {
	return &kind{began: now, demand: average{constant: demandTimeConstant}, asked: average{constant: demandTimeConstant},
		runs: average{constant: demandTimeConstant}, missed: average{constant: demandTimeConstant},
		fast: average{constant: fastTimeConstant}, slow: average{constant: slowTimeConstant}, held: average{constant: time.Second}}
}

// residence estimates how long a run holds memory.
func residence(a *Ask) time.Duration {
	return placement.PrefillTime(2*a.Unread) + time.Duration(a.Output)*tokenTime + reportDelay
}

func (k *kind) recordAsked(now bootclock.Instant, a *Ask) {
	k.objective = a.Objective
	k.demand.add(now, float64(a.Tokens)*residence(a).Seconds())
	k.asked.add(now, float64(a.Tokens))
	k.runs.add(now, 1)
}

func (k *kind) recordServed(now bootclock.Instant, a *Ask) {
	k.fast.add(now, float64(a.Tokens))
	k.slow.add(now, float64(a.Tokens))
	k.held.add(now, float64(a.Tokens)*k.held.constant.Seconds())
	k.held.constant = max(100*time.Millisecond, k.meanResidence(now))
}

// meanResidence returns the mean residence of the runs that asked.
func (k *kind) meanResidence(now bootclock.Instant) time.Duration {
	asked := k.asked.rate(now)
	if asked < minRate {
		return time.Second
	}
	return time.Duration(k.demand.rate(now) / asked * float64(time.Second))
}

// meanTokens returns the mean size of the runs that asked.
func (k *kind) meanTokens(now bootclock.Instant) float64 {
	return k.asked.rate(now) / max(1e-9, k.runs.rate(now))
}

// predict returns how long it takes until so many tokens get room; -1 if unknown.
func (k *kind) predict(now bootclock.Instant, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if now.Sub(k.began) < slowTimeConstant/2 {
		return -1
	}
	return time.Duration(min(float64(tokens)/max(minRate, k.fast.rate(now), k.slow.rate(now)), 3600) * float64(time.Second))
}

// pressure returns the share of what asked that found no room at its first ask.
func (k *kind) pressure(now bootclock.Instant) float64 {
	return min(1, k.missed.rate(now)/max(minRate, k.asked.rate(now)))
}
