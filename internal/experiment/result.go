package experiment

// Bounds of the issue, in milliseconds.
const (
	firstTokenBoundMS = 800.0
	interTokenBoundMS = 34.0
)

// StallBoundMS is the time between two tokens of an answer beyond which its
// caller sees it pause. Only the part beyond the bound counts as stall.
const StallThresholdMS = 100.0

// Result is what one policy did with one scenario and seed. All figures have the
// same definition for all policies.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Offered counts the requests; each is then Completed (its caller has the
	// whole answer), Refused (its caller has a final refusal) or Lost.
	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	Rejected  int `json:"refused"`
	Lost      int `json:"lost"`
	// DuplicatedTokens counts tokens that reached a caller twice, out of order,
	// or after a gap.
	DuplicatedTokens int `json:"duplicated_tokens"`
	// Preemptions counts sequences that an engine put out of its batch because
	// its memory was full.
	Preemptions        int64   `json:"preemptions"`
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"` // per completed request
	// StallSeconds is the sum, over all tokens but the first of each answer, of
	// the time since the token before beyond StallBoundMS: time preempted, time
	// behind prefill of others, on a stalled link, and until a dead engine's
	// work goes on elsewhere.
	StallSeconds float64 `json:"stall_seconds"`
	// FirstTokenP95MS is from the request's submission to its first token at the
	// caller, over completed requests.
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	// Inter-token figures are over the gaps between tokens of all answers.
	InterTokenP50MS float64 `json:"inter_token_p50_ms"`
	InterTokenP95MS float64 `json:"inter_token_p95_ms"`
	InterTokenP99MS float64 `json:"inter_token_p99_ms"`
	// LookupP99MS is from submission to the last token of lookups, over the
	// accounts that are not large.
	LookupP99MS float64 `json:"lookup_p99_ms"`
	// TokensPerSecond is the output that reached callers within the arrival
	// window, over its length.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// FairnessJain is Jain's index over accounts of the tokens that reached the
	// account within the arrival window, divided by its weighted max-min share
	// of all those tokens, given what the account asked for in the window.
	FairnessJain float64 `json:"fairness_jain"`

	interrupted  int     // generations that lost their engine, or were on a stalled link
	calmLookupMS float64 // LookupP99MS of the scenario without its surge
}
