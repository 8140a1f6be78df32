package prove

import "runtime"

// processesPerSlot is the number of processes that one core carries without
// delaying heartbeats.
const coresPerCluster = 2

// slots bounds the clusters that run at the same time.
var slots = make(chan struct{}, max(1, runtime.NumCPU()/coresPerCluster))

// slot takes a place for a cluster and returns the function that frees it.
func slot() func() {
	slots <- struct{}{}
	return func() { <-slots }
}
