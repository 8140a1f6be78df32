// Package load sends seeded requests to a running deployment, measures what callers
// see, and compares two deployments under the same requests.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind is the type of a request.
type Kind string

// The types of requests.
const (
	KindCompletion Kind = "completion"
	KindLookup     Kind = "lookup" // idempotent call of a plain service
	KindHold       Kind = "hold"   // seat hold: non-idempotent call of a plain service
)

// Arrival is one request of a plan.
type Arrival struct {
	At      time.Duration // since the start of the run
	Kind    Kind
	ID      string // idempotency key
	Account int    // index of the account's key
	Prompt  string
	Tokens  int // output length that the prompt requests from a stand-in engine; 0 lets the engine draw it
}

// Mix describes the workload of a run.
type Mix struct {
	Seed              uint64
	RequestsPerSecond float64 // mean rate of the Poisson arrivals
	Duration          time.Duration
	Accounts          int     // number of client accounts; the first sends half of all requests
	LookupShare       float64 // share of lookups, 0 to 1
	HoldShare         float64 // share of holds, 0 to 1
	MedianTokens      float64 // median output length
	SigmaTokens       float64 // sigma of the lognormal output length
	MaxTokens         int     // largest output length
	PromptTokens      int     // mean prompt length
}

// distinctPrefixes is the number of distinct prompt prefixes. Requests share them, so
// that engines can reuse cached prefixes.
const distinctPrefixes = 8

// NewPlan returns the arrivals of a mix, ordered by time. The same mix always gives the
// same plan.
func NewPlan(m Mix) []Arrival {
	r := rand.New(rand.NewPCG(m.Seed, 0x636f7269616e6465)) // an arbitrary constant, "coriande" in ASCII
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
