package drill

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// tally counts the outcomes of a kind of request.
type tally struct{ sent, served, rejected, failed, leftEarly int }

func (t *tally) add(r *record.Request) {
	t.sent++
	switch {
	case r.Status/100 == 2 && r.Complete:
		t.served++
	case r.GaveUp:
		t.leftEarly++
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		t.rejected++
	default:
		t.failed++
	}
}

// printResult prints the table of a run.
func printResult(w io.Writer, d *deployment.Deployment, result *Result) {
	run := result.Run
	fmt.Fprintf(w, "%s, seed %d, %v: %d requests, %d arrivals\n", d.Name, run.Seed, run.Ended.Sub(run.Began).Round(time.Second), len(run.Requests), len(run.Arrivals))
	tallies := make(map[string]*tally)
	for i := range run.Requests {
		r := &run.Requests[i]
		if tallies[r.Route] == nil {
			tallies[r.Route] = &tally{}
		}
		tallies[r.Route].add(r)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "request\tsent\tserved\trejected\tfailed\tleft early\t")
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t\n", name, t.sent, t.served, t.rejected, t.failed, t.leftEarly)
	}
	_ = table.Flush()
	events := make(map[record.Event]int)
	for _, e := range run.HostEvents {
		events[e.Event]++
	}
	continued := 0
	for i := range run.Arrivals {
		if run.Arrivals[i].Continues {
			continued++
		}
	}
	fmt.Fprintf(w, "SIGTERMs %d, reloads %d, kills %d (%d after the grace period), unexpected exits %d; versions %d; targets %d; moved runs %d\n",
		events[record.Term], events[record.Hup], events[record.Killed], result.KilledAfterGrace, result.UnexpectedExits, len(run.Versions), len(run.Targets), continued)
	fmt.Fprintf(w, "timers late: p99 %v, max %v; processor time: hosts %v, drill %v\n",
		result.P99Late.Round(time.Microsecond), result.MaxLate.Round(time.Microsecond), result.HostsProcessor.Round(time.Millisecond), result.OwnProcessor.Round(time.Millisecond))
}
