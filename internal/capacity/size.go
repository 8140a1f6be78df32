package capacity

// Size is the size of a deployment that roles are worked out for.
type Size struct {
	Nodes             float64
	Servers           float64 // targets
	RequestsPerSecond float64
	TokensPerSecond   float64
	Accounts          float64
	Models            float64
	Regions           float64
	Domains           float64 // failure domains
	ChangesPerDay     float64 // accepted documents
	LossesPerDay      float64 // hosts that fail
	RestartsPerDay    float64 // hosts restarted or replaced
	InterToken        float64 // seconds between two tokens of one answer
}

// Foreseen is the size that the users expect within two years.
var Foreseen = Size{
	Nodes: 410, Servers: 2700, RequestsPerSecond: 11_000, TokensPerSecond: 4.8e6, Accounts: 27_000, Models: 14,
	Regions: 4, Domains: 16, ChangesPerDay: 1600, LossesPerDay: 62, RestartsPerDay: 980, InterToken: 0.034,
}

const secondsPerDay = 86_400

// TargetsPerNode is the number of targets that one node observes.
func (s Size) TargetsPerNode() float64 { return s.Servers / s.Nodes }

// RequestsPerNode is the number of requests a second at one gateway.
func (s Size) RequestsPerNode() float64 { return s.RequestsPerSecond / s.Nodes }

// TokensPerNode is the number of tokens a second at one gateway.
func (s Size) TokensPerNode() float64 { return s.TokensPerSecond / s.Nodes }

// Pools is the number of pools, one a model and region.
func (s Size) Pools() float64 { return s.Models * s.Regions }

// OpenStreams is the number of answers that run at a time.
func (s Size) OpenStreams() float64 { return s.TokensPerSecond * s.InterToken }

// Budgets of one node for control, and of the store.
const (
	budgetCorePercent = 1.4
	budgetMB          = 32.0
	budgetKBPerSecond = 10.0
	// storeWrites and storeReads are a second. The brief says several hundred and
	// about two thousand.
	storeWrites = 400.0
	storeReads  = 2000.0
)
