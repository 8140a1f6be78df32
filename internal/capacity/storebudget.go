package capacity

// Timings of the duties that call the store, as their packages state them.
const (
	watchersPerDomain    = 2     // docsync
	watchLife            = 10.0  // seconds; docsync reads again after it
	listReadersPerRegion = 2     // observer
	listInterval         = 2.0   // seconds; observer
	leaseRenewal         = 60.0  // seconds; registration
	registrationList     = 300.0 // seconds; registration
	strangerList         = 30.0  // seconds; registration, while a listed host is not known to live
	startReads           = 6.0   // registration, after a start
	registrationLease    = 180.0 // seconds; how long a lost host stays listed
	placementRenewal     = 5.0   // seconds; placement
	placementLook        = 3.0   // seconds; placement, of the second candidate
	lateWritesPerSecond  = 60.0  // default of --late-writes-per-second
	writesPerChange      = 4.0   // BenchmarkApply at 27,000 accounts
	chunksPerChange      = 2.0   // BenchmarkApply at 27,000 accounts
	writesPerStart       = 2.0   // registration: lease and entry
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
func StoreDuties(s Size) []StoreDuty {
	watchers := watchersPerDomain * s.Domains
	changes := s.ChangesPerDay / secondsPerDay
	starts := s.RestartsPerDay / secondsPerDay
	strangers := s.LossesPerDay * registrationLease / secondsPerDay // share of time with a lost host in the list
	return []StoreDuty{
		{"document watches", 2 * watchers / watchLife, 0, "2 watchers a failure domain; a read and a watch every 10 s"},
		{"document changes", changes * watchers * (1 + chunksPerChange), changes * writesPerChange, "4 writes a change, read by the watchers"},
		{"host list", listReadersPerRegion * s.Regions / listInterval, 0, "2 readers a region, every 2 s"},
		{"registration", s.Nodes/registrationList + strangers*s.Nodes/strangerList, s.Nodes / leaseRenewal, "lease renewed every 60 s; list read every 300 s, or 30 s while a listed host is lost"},
		{"starts of hosts", starts * (startReads + 1 + chunksPerChange), starts * writesPerStart, "document, 6 lists, lease and entry"},
		{"placement", 2 / placementLook, 1 / placementRenewal, "one holder, one waiting candidate"},
		{"late drafts", lateWritesPerSecond / 3, lateWritesPerSecond, "budget --late-writes-per-second; over it drafts are refused as not run"},
	}
}

// StoreLeft returns the writes a second that are left for calls that may run at
// most once.
func StoreLeft(s Size) float64 {
	left := storeWrites
	for _, d := range StoreDuties(s) {
		left -= d.Writes
	}
	return left
}
