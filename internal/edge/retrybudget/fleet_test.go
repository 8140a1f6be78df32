package retrybudget

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

const (
	fleetRatio = 0.2
	fleetSlack = 56
	fleetHosts = 8
	// slotRequests of each host in a slot make up 480 requests of the fleet in a window, if all
	// hosts take callers.
	slotRequests = 6
	// listSlots is the time between two reads of the host list.
	listSlots = slotsPerWindow / 2
	// fleetWindow is so long that the clock stays in one slot during a test; nextSlot
	// makes what was counted one slot older.
	fleetWindow = 1000 * time.Hour
)

// simulatedHost is a host whose current process has a budget of its own.
type simulatedHost struct {
	budget *Budget // nil while the host is down
	known  int     // hosts in the list that it read last; 0 before the first
	listIn int     // slots until it reads the list
}

// fleet counts the requests and repeats of all hosts by slot.
type fleet struct {
	hosts             [fleetHosts]simulatedHost
	failing           bool   // every request is to be repeated
	callersAt         [2]int // the first and the last of the hosts to which callers send
	requests, repeats []int
}

func newFleet() *fleet {
	f := &fleet{callersAt: [2]int{0, fleetHosts - 1}}
	for i := range f.hosts {
		f.start(i, 0)
	}
	f.run(3 * slotsPerWindow)
	return f
}

func (f *fleet) stop(i int) { f.hosts[i].budget = nil }

// start starts a process that reads the host list after the given slots.
func (f *fleet) start(i, listIn int) {
	h := &f.hosts[i]
	*h = simulatedHost{listIn: listIn}
	h.budget = New(fleetRatio, fleetSlack, fleetWindow, bootclock.Now(), func() int { return h.known })
}

// takesCallers reports whether callers send requests to a host.
func (f *fleet) takesCallers(i int) bool {
	return f.hosts[i].budget != nil && f.callersAt[0] <= i && i <= f.callersAt[1]
}

// count returns how many hosts are up, and how many of them take callers.
func (f *fleet) count() (up, taking int) {
	for i := range f.hosts {
		if f.hosts[i].budget != nil {
			up++
		}
		if f.takesCallers(i) {
			taking++
		}
	}
	return up, taking
}

// run lets slots pass. The requests are spread over the hosts that take callers.
func (f *fleet) run(slots int) {
	for range slots {
		up, taking := f.count()
		requests, repeats := 0, 0
		for i := range f.hosts {
			h := &f.hosts[i]
			if h.budget == nil {
				continue
			}
			if h.listIn--; h.listIn < 0 {
				h.known, h.listIn = up, listSlots-1
			}
			h.budget.nextSlot()
			if !f.takesCallers(i) {
				continue
			}
			share := slotRequests * fleetHosts / taking
			requests += share
			repeats += f.send(h.budget, share)
		}
		f.requests, f.repeats = append(f.requests, requests), append(f.repeats, repeats)
	}
}

// send sends requests to a host and returns how many it repeats.
func (f *fleet) send(b *Budget, requests int) (repeats int) {
	for range requests {
		b.RecordRequest()
		if f.failing && b.TakeRetry().Granted {
			repeats++
		}
	}
	return repeats
}

// nextSlot makes all counts one slot older.
func (b *Budget) nextSlot() {
	b.startedSlot--
	for i := range b.sharing.counts {
		b.sharing.counts[i].slot--
	}
	for _, c := range []*slidingCounter{&b.requests, &b.retries} {
		old := *c
		*c = slidingCounter{}
		for i, slot := range old.slots {
			if old.counts[i] > 0 {
				j := ((slot-1)%int64(len(c.slots)) + int64(len(c.slots))) % int64(len(c.slots))
				c.slots[j], c.counts[j] = slot-1, old.counts[i]
			}
		}
	}
}

// requireWithinBound checks the repeats in every window against the published bound. The
// requests are those of that window, the one before it or the one half a window before it,
// whichever has most.
func (f *fleet) requireWithinBound(t *testing.T) {
	t.Helper()
	window := func(counts []int, end int) (sum int) {
		for _, n := range counts[max(0, end-slotsPerWindow):max(0, end)] {
			sum += n
		}
		return sum
	}
	for end := range len(f.repeats) + 1 {
		requests := max(window(f.requests, end), window(f.requests, end-slotsPerWindow/2), window(f.requests, end-slotsPerWindow))
		require.LessOrEqual(t, float64(window(f.repeats, end)), fleetRatio*float64(requests)+fleetSlack, "repeats in the window that ends with slot %d", end)
	}
}

func TestFleetWithoutRestartsKeepsItsRetryBudget(t *testing.T) {
	f := newFleet()
	f.failing = true
	f.run(3 * slotsPerWindow)
	f.requireWithinBound(t)
}

func TestRestartsInSeriesKeepTheFleetsRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name      string
		together  int // hosts that are down at the same time
		firstList int // slots after the start of a process
	}{
		{"one at a time", 1, 1},
		{"one at a time, first list late", 1, slotsPerWindow},
		{"three at a time", 3, 1},
		{"three at a time, first list late", 3, slotsPerWindow},
		{"all at a time", fleetHosts, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.failing = true
			f.run(3)
			for i := range fleetHosts + c.together {
				if i < fleetHosts {
					f.stop(i)
				}
				if i >= c.together {
					f.start(i-c.together, c.firstList)
				}
				if c.together < fleetHosts {
					f.run(1)
				}
			}
			f.run(3 * slotsPerWindow)
			f.requireWithinBound(t)
		})
	}
}

func TestCallersThatChangeHostsExceedTheFleetsRetryBudget(t *testing.T) {
	for slots := range slotsPerWindow {
		t.Run(strconv.Itoa(slots), func(t *testing.T) {
			f := newFleet()
			f.callersAt = [2]int{0, fleetHosts/2 - 1}
			f.run(3 * slotsPerWindow)
			f.failing = true
			f.run(slots)
			f.callersAt = [2]int{fleetHosts / 2, fleetHosts - 1}
			f.run(3 * slotsPerWindow)
			f.requireWithinBound(t)
		})
	}
}
