package experiment

// Bounds of the acceptance criteria, in milliseconds.
const (
	firstTokenBoundMS = 800.0
	interTokenBoundMS = 34.0
)

// StallThresholdMS is the time between two tokens of an answer from which the caller
// notices a pause. Only the time beyond it counts as stall.
const StallThresholdMS = 100.0

// Result holds the figures of one policy for one scenario and seed. They are defined in
// the same way for all policies.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Offered counts all requests. At the end each is Completed (the caller has the
	// whole answer), Rejected (the caller has a final error) or Lost.
	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	Rejected  int `json:"refused"`
	Lost      int `json:"lost"`
	// DuplicatedTokens counts tokens that reached a caller more than once, out of
	// order or after a gap.
	DuplicatedTokens int `json:"duplicated_tokens"`
	// Preemptions counts how often an engine removed a sequence from its batch because
	// its memory was full.
	Preemptions        int64   `json:"preemptions"`
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"` // per completed request
	// StallSeconds is the sum over all gaps between tokens of the part beyond
	// StallThresholdMS: waits due to preemption, to the prefill of others, to a
	// stalled link, and until the work of a crashed engine continues elsewhere.
	StallSeconds float64 `json:"stall_seconds"`
	// The first-token figures are measured from a request's submission to the arrival of its
	// first token at the caller, over completed requests.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	FirstTokenP99MS float64 `json:"first_token_p99_ms"`
	// The inter-token figures cover the gaps between tokens of all answers.
	InterTokenP50MS float64 `json:"inter_token_p50_ms"`
	InterTokenP95MS float64 `json:"inter_token_p95_ms"`
	InterTokenP99MS float64 `json:"inter_token_p99_ms"`
	// LookupP99MS is measured from submission to the last token, over completed
	// requests of lookup classes from accounts that are not large.
	LookupP99MS float64 `json:"lookup_p99_ms"`
	// TokensPerSecond is the number of output tokens that reached callers within the
	// arrival window, divided by its length.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// FairnessJain is Jain's index over the accounts of the tokens that the account
	// received within the arrival window, divided by its weighted max-min fair share of
	// all such tokens, given the tokens that it requested in the window.
	FairnessJain float64 `json:"fairness_jain"`
	// Interrupted counts the generations that lost their engine or were on a stalled link.
	// BrokenOff counts the Rejected requests whose callers had begun to receive the answer.
	Interrupted int `json:"interrupted"`
	BrokenOff   int `json:"broken_off"`
	// TokensDecodedAgain counts output tokens that their caller already had from an earlier
	// attempt. TokensReadAgain counts the prompt and output tokens with which attempts began
	// after an engine was lost, cached or not.
	TokensDecodedAgain int `json:"tokens_decoded_again"`
	TokensReadAgain    int `json:"tokens_read_again"`
	// ArrivalsInPause counts the requests that reached a target in a pause, which rejects
	// them. ArrivalsOverBudget counts those beyond the two that a gateway may send between
	// half a second after the target's first answer and the end of the pause.
	ArrivalsInPause    int `json:"arrivals_in_pause"`
	ArrivalsOverBudget int `json:"arrivals_over_budget"`
	// PeakReturn is the most requests that reached one target in any 250 ms of the 4 s
	// after a pause of it. ReturnCurve is the mean for each 250 ms of the 4 s.
	PeakReturn  int       `json:"peak_return"`
	ReturnCurve []float64 `json:"return_curve,omitempty"`

	lookupWithoutSurgeMS float64 // LookupP99MS of the scenario without its surge
}
