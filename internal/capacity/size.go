package capacity

// Size is the size of a deployment for which usage is computed.
type Size struct {
	Hosts                 float64
	Targets               float64 // engines and plain service instances
	RequestsPerSecond     float64
	TokensPerSecond       float64
	Accounts              float64
	Models                float64
	Regions               float64
	Domains               float64 // failure domains
	DocumentChangesPerDay float64 // accepted changes of the environment document
	HostLossesPerDay      float64 // hosts that fail
	HostRestartsPerDay    float64 // hosts restarted or replaced
	SecondsPerToken       float64 // time between two tokens of one generation
}

// ProjectedSize is the size that the users expect within two years.
var ProjectedSize = Size{
	Hosts: 410, Targets: 2700, RequestsPerSecond: 11_000, TokensPerSecond: 4.8e6, Accounts: 27_000, Models: 14,
	Regions: 4, Domains: 16, DocumentChangesPerDay: 1600, HostLossesPerDay: 62, HostRestartsPerDay: 980, SecondsPerToken: 0.034,
}

const secondsPerDay = 86_400

// TargetsPerHost returns the number of targets that one host observes.
func (s Size) TargetsPerHost() float64 { return s.Targets / s.Hosts }

// RequestsPerHost returns the requests per second at one gateway.
func (s Size) RequestsPerHost() float64 { return s.RequestsPerSecond / s.Hosts }

// TokensPerHost returns the tokens per second at one gateway.
func (s Size) TokensPerHost() float64 { return s.TokensPerSecond / s.Hosts }

// Pools returns the number of pools, one per model and region.
func (s Size) Pools() float64 { return s.Models * s.Regions }

// OpenStreams returns the number of generations that run at the same time.
func (s Size) OpenStreams() float64 { return s.TokensPerSecond * s.SecondsPerToken }

// Budgets of the control plane on one host, and of the store.
const (
	cpuPercentBudget         = 1.4
	memoryMBBudget           = 32.0
	networkKBPerSecondBudget = 10.0
	// storeWriteBudget and storeReadBudget are calls per second. The requirements say
	// several hundred writes and about two thousand reads.
	storeWriteBudget = 400.0
	storeReadBudget  = 2000.0
)
