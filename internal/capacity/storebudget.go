package capacity

// Timings of the duties that call the store, as their packages state them.
const (
	watchersPerDomain        = 2     // docsync
	watchDuration            = 10.0  // seconds; docsync reads again after it
	listReadersPerRegion     = 2     // observer
	listReadInterval         = 2.0   // seconds; observer
	leaseRenewalInterval     = 60.0  // seconds; registration
	hostListInterval         = 300.0 // seconds; registration
	probeListInterval        = 30.0  // seconds; registration, while a listed host is not known to live
	readsPerStart            = 6.0   // registration, after a start
	registrationLeaseTTL     = 180.0 // seconds; how long a lost host stays listed
	placementRenewalInterval = 5.0   // seconds; placement
	candidateCheckInterval   = 3.0   // seconds; placement, of the second candidate
	lateWritesPerSecond      = 60.0  // default of --late-writes-per-second
	writesPerChange          = 4.0   // BenchmarkApply at 27,000 accounts
	chunksPerChange          = 2.0   // BenchmarkApply at 27,000 accounts
	writesPerStart           = 2.0   // registration: lease and entry
)

// StoreDuty is what one duty asks of the store.
type StoreDuty struct {
	Name   string
	Reads  float64 // a second
	Writes float64 // a second
	Basis  string
}

// StoreDuties lists what a fleet asks of the store without calls that may run
// at most once.
func ListStoreDuties(s Size) []StoreDuty {
	watchers := watchersPerDomain * s.Domains
	changes := s.DocumentChangesPerDay / secondsPerDay
	starts := s.HostRestartsPerDay / secondsPerDay
	lostHostShare := s.HostLossesPerDay * registrationLeaseTTL / secondsPerDay // share of time with a lost host in the list
	return []StoreDuty{
		{"document watches", 2 * watchers / watchDuration, 0, "2 watchers a failure domain; a read and a watch every 10 s"},
		{"document changes", changes * watchers * (1 + chunksPerChange), changes * writesPerChange, "4 writes a change, read by the watchers"},
		{"host list", listReadersPerRegion * s.Regions / listReadInterval, 0, "2 readers a region, every 2 s"},
		{"registration", s.Hosts/hostListInterval + lostHostShare*s.Hosts/probeListInterval, s.Hosts / leaseRenewalInterval, "lease renewed every 60 s; list read every 300 s, or 30 s while a listed host is lost"},
		{"starts of hosts", starts * (readsPerStart + 1 + chunksPerChange), starts * writesPerStart, "document, 6 lists, lease and entry"},
		{"placement", 2 / candidateCheckInterval, 1 / placementRenewalInterval, "one holder, one waiting candidate"},
		{"late drafts", lateWritesPerSecond / 3, lateWritesPerSecond, "budget --late-writes-per-second; over it drafts are refused as not run"},
	}
}

// StoreLeft returns the writes a second that are left for calls that may run at
// most once.
func RemainingStoreWrites(s Size) float64 {
	remaining := storeWriteBudget
	for _, d := range ListStoreDuties(s) {
		remaining -= d.Writes
	}
	return remaining
}
