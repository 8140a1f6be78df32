// Package length learns the distribution of output lengths per model, class and
// client account while requests run, and estimates how many more tokens a
// generation will produce.
package length

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// DefaultMaxAccounts is the default number of accounts for which an Estimator
	// keeps a histogram and a curve, about 1 kB together. The samples of an account
	// that is evicted still count in its class and model.
	DefaultMaxAccounts = 8192
	// Half-lives in samples. The curve of an account follows a change within a few
	// dozen requests, while that of the model changes slowly and is a stable prior.
	accountHalfLife = 200
	classHalfLife   = 1000
	modelHalfLife   = 4000
	// priorSamples is the weight, in samples, of the next coarser distribution. An
	// account with as many samples of its own has a curve halfway between them and
	// the curve of its class.
	priorSamples = 12
	// rebuildShare is the share of new samples above which a curve is recomputed.
	rebuildShare = 0.05
)

// Key identifies a distribution of output lengths.
type Key struct {
	Model   string
	Account string
	Class   string
}

// Estimator learns the distributions of output lengths. It is not safe for
// concurrent use.
type Estimator struct {
	accounts   *simplelru.LRU[Key, *entry]
	aggregates map[Key]*entry // by class (Key without account) and by model (Key without account and class)
}

// entry is one learned distribution.
type entry struct {
	histogram       *Histogram
	curve           *Curve
	observed        float64 // samples ever added, without decay
	observedAtBuild float64 // value of observed when the curve was computed
	priorAtBuild    *Curve
}

// NewEstimator returns an Estimator that keeps at most maxAccounts accounts, or
// DefaultMaxAccounts if that is 0 or less. The least recently used is evicted.
func NewEstimator(maxAccounts int) *Estimator {
	if maxAccounts <= 0 {
		maxAccounts = DefaultMaxAccounts
	}
	accounts, _ := simplelru.NewLRU[Key, *entry](maxAccounts, nil) // fails only if maxAccounts < 1
	return &Estimator{accounts: accounts, aggregates: make(map[Key]*entry)}
}

// Observe adds an output of n tokens. An output that is not complete is a censored
// sample.
func (e *Estimator) Observe(key Key, n int, complete bool) {
	e.accountEntry(key).add(n, complete)
	e.aggregateEntry(Key{Model: key.Model, Class: key.Class}, classHalfLife).add(n, complete)
	e.aggregateEntry(Key{Model: key.Model}, modelHalfLife).add(n, complete)
}

// Curve returns the distribution for an account. The fewer samples the account has,
// the closer it is to that of its class, and likewise of its model. An account
// without samples has the curve of its class.
func (e *Estimator) Curve(key Key) *Curve {
	model := e.aggregateEntry(Key{Model: key.Model}, modelHalfLife).currentCurve(uninformedCurve)
	class := e.aggregateEntry(Key{Model: key.Model, Class: key.Class}, classHalfLife).currentCurve(model)
	own, ok := e.accounts.Get(key)
	if !ok {
		return class
	}
	return own.currentCurve(class)
}

func (e *Estimator) accountEntry(key Key) *entry {
	if own, ok := e.accounts.Get(key); ok {
		return own
	}
	own := &entry{histogram: NewHistogram(accountHalfLife)}
	e.accounts.Add(key, own)
	return own
}

func (e *Estimator) aggregateEntry(key Key, halfLife float64) *entry {
	if found, ok := e.aggregates[key]; ok {
		return found
	}
	created := &entry{histogram: NewHistogram(halfLife)}
	e.aggregates[key] = created
	return created
}

func (e *entry) add(n int, complete bool) {
	e.histogram.Add(n, complete)
	e.observed++
}

// currentCurve returns the curve. It recomputes it if enough samples have been added
// or if the prior has changed while the samples are few.
func (e *entry) currentCurve(prior *Curve) *Curve {
	added := e.observed - e.observedAtBuild
	stale := added > math.Min(e.observed, accountHalfLife)*rebuildShare
	priorChanged := e.priorAtBuild != prior && e.observed < accountHalfLife
	if e.curve == nil || stale || priorChanged {
		e.curve = newCurve(e.histogram, prior, priorSamples)
		e.observedAtBuild = e.observed
		e.priorAtBuild = prior
	}
	return e.curve
}

// growthForHalfLife returns the factor by which the weight of each sample must exceed
// that of the previous one.
func growthForHalfLife(halfLife float64) float64 { return math.Exp2(1 / halfLife) }
