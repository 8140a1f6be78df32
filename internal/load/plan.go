// Package load drives a running deployment with seeded arrivals, measures what
// callers see, and compares two deployments on the same arrivals.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind is what a request asks for.
type Kind string

// The kinds of requests.
const (
	KindCompletion Kind = "completion"
	KindLookup     Kind = "lookup" // idempotent call of a plain service
	KindHold       Kind = "hold"   // call that may run at most once
)

// Arrival is one request of a plan.
type Arrival struct {
	At      time.Duration // since the start of the run
	Kind    Kind
	ID      string // idempotency key
	Account int    // index of the account's key
	Prompt  string
	Tokens  int // length that the stand-in engine is told by the prompt; 0 lets it draw
}

// Mix describes the arrivals of a run.
type Mix struct {
	Seed              uint64
	RequestsPerSecond float64 // mean of the Poisson arrivals
	Duration          time.Duration
	Accounts          int     // number of account keys; the first sends half of all requests
	LookupShare       float64 // 0 to 1
	HoldShare         float64 // 0 to 1
	MedianTokens      float64 // median output length
	SigmaTokens       float64 // sigma of the lognormal output length
	MaxTokens         int
	PromptTokens      int // mean prompt length
}

// sharedPrefixes is the number of distinct prompt beginnings, which engines can cache.
const distinctPrefixes = 8

// Plan returns the arrivals of a mix in order of time. The same mix gives the
// same plan.
func NewPlan(m Mix) []Arrival {
	r := rand.New(rand.NewPCG(m.Seed, 0x636f7269616e6465))
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / m.RequestsPerSecond * float64(time.Second))
		if at >= m.Duration {
			return plan
		}
		plan = append(plan, newArrival(m, r, at, len(plan)))
	}
}

func newArrival(m Mix, r *rand.Rand, at time.Duration, n int) Arrival {
	a := Arrival{At: at, Kind: drawKind(m, r.Float64()), ID: fmt.Sprintf("load-%d-%d", m.Seed, n), Account: drawAccount(m, r)}
	if a.Kind != KindCompletion {
		return a
	}
	a.Tokens = drawLength(m, r)
	a.Prompt = makePrompt(m, r, n, a.Tokens)
	return a
}

func drawKind(m Mix, x float64) Kind {
	switch {
	case x < m.LookupShare:
		return KindLookup
	case x < m.LookupShare+m.HoldShare:
		return KindHold
	default:
		return KindCompletion
	}
}

func drawAccount(m Mix, r *rand.Rand) int {
	if m.Accounts < 2 || r.Float64() < 0.5 {
		return 0
	}
	return 1 + r.IntN(m.Accounts-1)
}

func drawLength(m Mix, r *rand.Rand) int {
	n := int(m.MedianTokens * math.Exp(m.SigmaTokens*r.NormFloat64()))
	return min(max(1, n), m.MaxTokens)
}

func makePrompt(m Mix, r *rand.Rand, n, tokens int) string {
	prefix := fmt.Sprintf("Trip briefing %d. ", r.IntN(distinctPrefixes))
	const bytesPerToken = 4
	size := max(1, int(float64(m.PromptTokens)*(0.5+r.Float64()))) * bytesPerToken
	body := strings.Repeat(prefix, size/len(prefix)+1)[:size]
	return fmt.Sprintf("%s Case %d. #len=%d", body, n, tokens)
}
