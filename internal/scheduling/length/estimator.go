// Package length learns online how long outputs are, per model, class and
// client account, and estimates how many tokens a generation still has to come.
package length

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// DefaultMaxAccounts bounds the accounts of which an Estimator keeps a
	// histogram (about 1 kB each with its curve). An account that is dropped
	// keeps counting in its class.
	DefaultMaxAccounts = 8192
	// Half-lives in samples. An account follows its drift within a few dozen
	// requests; the model stays a steady base.
	accountHalfLife = 200
	classHalfLife   = 1000
	modelHalfLife   = 4000
	// priorSamples is the weight of the next coarser distribution, so that an
	// account with as many requests counts half by its own.
	priorSamples = 12
	// refreshShare is the share of new samples after which a curve is built again.
	refreshShare = 0.05
)

// Key names a distribution.
type Key struct {
	Model   string
	Account string
	Class   string
}

// Estimator holds the distributions of a pool. It is not safe for concurrent use.
type Estimator struct {
	accounts *simplelru.LRU[Key, *entry]
	coarse   map[Key]*entry // per class (no account) and model (no account, no class)
}

type entry struct {
	histogram *Histogram
	curve     *Curve
	samples   float64 // samples added since the start
	builtAt   float64 // samples at which curve was built
	builtFrom *Curve
}

// NewEstimator returns an Estimator of at most maxAccounts accounts, or
// DefaultMaxAccounts if that is 0.
func NewEstimator(maxAccounts int) *Estimator {
	if maxAccounts <= 0 {
		maxAccounts = DefaultMaxAccounts
	}
	accounts, _ := simplelru.NewLRU[Key, *entry](maxAccounts, nil) // fails only for a size below 1
	return &Estimator{accounts: accounts, coarse: make(map[Key]*entry)}
}

// Observe learns from an output of n tokens. It is censored unless complete.
func (e *Estimator) Observe(key Key, n int, complete bool) {
	e.account(key).add(n, complete)
	e.coarseEntry(Key{Model: key.Model, Class: key.Class}, classHalfLife).add(n, complete)
	e.coarseEntry(Key{Model: key.Model}, modelHalfLife).add(n, complete)
}

// Curve returns the distribution of an account, leaning on its class and model
// as far as it has few samples of its own.
func (e *Estimator) Curve(key Key) *Curve {
	model := e.coarseEntry(Key{Model: key.Model}, modelHalfLife).current(uninformed)
	class := e.coarseEntry(Key{Model: key.Model, Class: key.Class}, classHalfLife).current(model)
	own, ok := e.accounts.Get(key)
	if !ok {
		return class
	}
	return own.current(class)
}

func (e *Estimator) account(key Key) *entry {
	if own, ok := e.accounts.Get(key); ok {
		return own
	}
	own := &entry{histogram: NewHistogram(accountHalfLife)}
	e.accounts.Add(key, own)
	return own
}

func (e *Estimator) coarseEntry(key Key, halfLife float64) *entry {
	if found, ok := e.coarse[key]; ok {
		return found
	}
	made := &entry{histogram: NewHistogram(halfLife)}
	e.coarse[key] = made
	return made
}

func (e *entry) add(n int, complete bool) {
	e.histogram.Add(n, complete)
	e.samples++
}

// current returns the curve, built again if enough samples are new.
func (e *entry) current(prior *Curve) *Curve {
	fresh := e.samples - e.builtAt
	stale := fresh > math.Min(e.samples, accountHalfLife)*refreshShare
	priorMoved := e.builtFrom != prior && e.samples < accountHalfLife
	if e.curve == nil || stale || priorMoved {
		e.curve = newCurve(e.histogram, prior, priorSamples)
		e.builtAt = e.samples
		e.builtFrom = prior
	}
	return e.curve
}

func growthOf(halfLife float64) float64 { return math.Exp2(1 / halfLife) }
