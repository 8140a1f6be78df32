package capacity

// Size is the size of a deployment that roles are worked out for.
type Size struct {
	Hosts                 float64
	Targets               float64 // targets
	RequestsPerSecond     float64
	TokensPerSecond       float64
	Accounts              float64
	Models                float64
	Regions               float64
	Domains               float64 // failure domains
	DocumentChangesPerDay float64 // accepted documents
	HostLossesPerDay      float64 // hosts that fail
	HostRestartsPerDay    float64 // hosts restarted or replaced
	SecondsPerToken       float64 // seconds between two tokens of one answer
}

// Foreseen is the size that the users expect within two years.
var ProjectedSize = Size{
	Hosts: 410, Targets: 2700, RequestsPerSecond: 11_000, TokensPerSecond: 4.8e6, Accounts: 27_000, Models: 14,
	Regions: 4, Domains: 16, DocumentChangesPerDay: 1600, HostLossesPerDay: 62, HostRestartsPerDay: 980, SecondsPerToken: 0.034,
}

const secondsPerDay = 86_400

// TargetsPerNode is the number of targets that one node observes.
func (s Size) TargetsPerHost() float64 { return s.Targets / s.Hosts }

// RequestsPerNode is the number of requests a second at one gateway.
func (s Size) RequestsPerHost() float64 { return s.RequestsPerSecond / s.Hosts }

// TokensPerNode is the number of tokens a second at one gateway.
func (s Size) TokensPerHost() float64 { return s.TokensPerSecond / s.Hosts }

// Pools is the number of pools, one a model and region.
func (s Size) Pools() float64 { return s.Models * s.Regions }

// OpenStreams is the number of answers that run at a time.
func (s Size) OpenStreams() float64 { return s.TokensPerSecond * s.SecondsPerToken }

// Budgets of one node for control, and of the store.
const (
	cpuPercentBudget = 1.4
	memoryMBBudget   = 32.0
	networkKBBudget  = 10.0
	// storeWrites and storeReads are a second. The brief says several hundred and
	// about two thousand.
	storeWriteBudget = 400.0
	storeReadBudget  = 2000.0
)
