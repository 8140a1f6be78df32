package judge

import (
	"fmt"
	"maps"
	"slices"

	"corianderhitch/internal/drill/record"
)

const (
	// servedShare is how often first tries at hosts that are cut off must be served, as a share
	// of how often those at the others are.
	servedShare = 2.0 / 3
	// maxCutFailures, and one in cutFailuresPer first tries, may fail at hosts that are cut off.
	maxCutFailures = 10
	cutFailuresPer = 50
)

// tries counts callers' first tries.
type tries struct{ sent, served int }

func (t tries) failed() int { return t.sent - t.served }

func (t tries) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// unservedWhileCut finds cuts between hosts and all targets in which callers of these hosts were
// served far worse than those of the others.
func unservedWhileCut(x *index) []Violation {
	var all []Violation
	for _, c := range x.run.Cuts {
		cut, others := x.firstTries(c)
		if cut.share() >= servedShare*others.share() || cut.failed() <= maxCutFailures+(cut.sent+others.sent)/cutFailuresPer {
			continue
		}
		all = append(all, Violation{Rule: Recover, At: c.To, Text: fmt.Sprintf("%v, cut off from all targets since %s, served %d of %d first tries, the others %d of %d",
			c.Hosts, x.clock(c.From), cut.served, cut.sent, others.served, others.sent)})
	}
	return all
}

// firstTries counts the first tries in a cut at the hosts that are cut off and at the others,
// from the bound on, at hosts in touch, without requests that crash their targets. While no other
// host in touch reaches the targets there
// is nothing to compare them with.
func (x *index) firstTries(c record.Cut) (cut, others tries) {
	known := make(map[string]bool) // calls
	hosts := x.hosts()
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		first := !known[q.Call]
		known[q.Call] = true
		if !first || q.Crashes || q.Sent.Before(c.From.Add(x.bounds.Contact)) || q.Sent.After(c.To) || q.GaveUp && q.Ended.Sub(q.Sent) < q.Deadline {
			continue
		}
		reaches := func(host string) bool {
			return !slices.Contains(c.Hosts, host) && x.contact.inTouchDuring(host, q.Sent, q.Ended) && !overlaps(x.contact.of(host).cuts, q.Sent, q.Ended)
		}
		if !x.contact.inTouchDuring(q.Host, q.Sent, q.Ended) || !slices.ContainsFunc(hosts, reaches) {
			continue
		}
		counted := &others
		if slices.Contains(c.Hosts, q.Host) {
			counted = &cut
		}
		counted.sent++
		if succeeded(q.Status) && q.Complete {
			counted.served++
		}
	}
	return cut, others
}

// hosts returns the names of the hosts of the run.
func (x *index) hosts() []string {
	names := make(map[string]bool)
	for _, e := range x.run.HostEvents {
		names[e.Host] = true
	}
	for i := range x.run.Requests {
		names[x.run.Requests[i].Host] = true
	}
	return slices.Sorted(maps.Keys(names))
}
