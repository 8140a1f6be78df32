package retrybudget

// hostCounts holds the number of hosts over the last window. A number holds until the next
// one is added.
type hostCounts struct {
	counts []hostCount // in order of time
}

// hostCount is a number of hosts that was known from the given slot on.
type hostCount struct {
	slot  int64
	hosts int
}

// add records the number of hosts from the given slot on; 0 means that it is not known.
func (h *hostCounts) add(slot int64, hosts int) {
	n := len(h.counts)
	if hosts == 0 || (n > 0 && h.counts[n-1].hosts == hosts) {
		return
	}
	for len(h.counts) > 1 && slot-h.counts[1].slot > slotsPerWindow {
		h.counts = h.counts[1:]
	}
	h.counts = append(h.counts, hostCount{slot: slot, hosts: hosts})
}

// largestOfWindow returns the largest number of hosts that was known within the window that
// ends with the slot, 0 if none was known at its start.
func (h *hostCounts) largestOfWindow(slot int64) int {
	largest := 0
	for i := len(h.counts) - 1; i >= 0; i-- {
		largest = max(largest, h.counts[i].hosts)
		if slot-h.counts[i].slot > slotsPerWindow {
			return largest
		}
	}
	return 0
}
