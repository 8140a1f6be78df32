package capacity

// Rates of store calls. They repeat constants and measurements of the packages that are
// named here.
const (
	watchersPerDomain        = 2     // package docsync
	watchDuration            = 10.0  // seconds; package docsync, which reads the document again after each watch
	listReadersPerRegion     = 2     // package observer
	listReadInterval         = 2.0   // seconds; package observer
	leaseRenewalInterval     = 60.0  // seconds; package registration
	hostListInterval         = 300.0 // seconds; package registration
	unknownHostListInterval  = 30.0  // seconds; package registration, while a listed host is not known to be alive
	readsPerStart            = 6.0   // package registration, at the start of a host
	registrationLeaseTTL     = 180.0 // seconds; a lost host stays listed until its lease expires
	placementRenewalInterval = 5.0   // seconds; package modelplacement
	candidateCheckInterval   = 3.0   // seconds; package modelplacement, by the candidate that does not hold the lease
	lateWritesPerSecond      = 60.0  // default of --late-writes-per-second
	writesPerChange          = 4.0   // BenchmarkApply at 27,000 accounts
	chunksPerChange          = 2.0   // BenchmarkApply at 27,000 accounts
	writesPerStart           = 2.0   // package registration: lease and entry
)

// StoreDuty is the store load of one periodic or event-driven task of the fleet.
type StoreDuty struct {
	Name   string
	Reads  float64 // per second
	Writes float64 // per second
	Basis  string
}

// ListStoreDuties lists the store load of a fleet without the ledger of non-idempotent
// calls.
func ListStoreDuties(s Size) []StoreDuty {
	watchers := watchersPerDomain * s.Domains
	changes := s.DocumentChangesPerDay / secondsPerDay
	starts := s.HostRestartsPerDay / secondsPerDay
	lostHostShare := s.HostLossesPerDay * registrationLeaseTTL / secondsPerDay // fraction of time during which a lost host is listed
	return []StoreDuty{
		{"document watches", 2 * watchers / watchDuration, 0, "2 watchers a failure domain; a read and a watch every 10 s"},
		{"document changes", changes * watchers * (1 + chunksPerChange), changes * writesPerChange, "4 writes a change, read by the watchers"},
		{"host list", listReadersPerRegion * s.Regions / listReadInterval, 0, "2 readers a region, every 2 s"},
		{"registration", s.Hosts/hostListInterval + lostHostShare*s.Hosts/unknownHostListInterval, s.Hosts / leaseRenewalInterval, "lease renewed every 60 s; list read every 300 s, or 30 s while a listed host is lost"},
		{"starts of hosts", starts * (readsPerStart + 1 + chunksPerChange), starts * writesPerStart, "document, 6 lists, lease and entry"},
		{"placement", 2 / candidateCheckInterval, 1 / placementRenewalInterval, "one holder, one waiting candidate"},
		{"late drafts", lateWritesPerSecond / 3, lateWritesPerSecond, "budget --late-writes-per-second; over it drafts are refused as not run"},
	}
}

// RemainingStoreWrites returns the writes per second that remain for the ledger of
// non-idempotent calls.
func RemainingStoreWrites(s Size) float64 {
	remaining := storeWriteBudget
	for _, d := range ListStoreDuties(s) {
		remaining -= d.Writes
	}
	return remaining
}
