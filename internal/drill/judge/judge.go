// Package judge decides by the record of a drill which rules of the platform were broken.
package judge

import (
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// Rule is the name of a rule of the platform.
type Rule string

// The rules that are judged.
const (
	Lost    Rule = "LOST"
	Budget  Rule = "BUDGET"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Order   Rule = "ORDER"
	Mixed   Rule = "MIXED"
	Drain   Rule = "DRAIN"
	Denied  Rule = "DENIED"
	Limit   Rule = "LIMIT"
	Recover Rule = "RECOVER"
	Evac    Rule = "EVAC"
	// Exit is no rule of the platform by itself: a process that nobody ended has lost all its requests.
	Exit Rule = "EXIT"
)

// Violation is one case of a broken rule.
type Violation struct {
	Rule     Rule
	At       time.Time
	Host     string   // empty if several are involved
	Requests []string // ids
	Text     string
}

// Judge returns the violations of a run in the order of their times.
func Judge(run *record.Run) []Violation {
	x := newIndex(run)
	var all []Violation
	for _, judge := range []func(*index) []Violation{
		lostAroundPlannedWork, lostKeptConnections,
		excessRetries, excessAttempts, excessTime, crashRetries, sentIntoPauses,
		ranTwice, ranAtTwo, rejectedAndRan, outOfOrder, mixedUp, sentToLeaving, sentAfterNotice, deniedProper, unaskedExits, overLimits, fallenTooOften, unservedWhileCut, sentToEvacuated,
	} {
		all = append(all, judge(x)...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return a.At.Compare(b.At) })
	return all
}
