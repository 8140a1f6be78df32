package membership

import "corianderhitch/api/control"

// severity orders the states of one record: of two records with the same incarnation
// and heartbeat the one with the more severe state wins. It is -1 for an unknown
// state.
func severity(s control.MemberState) int {
	switch s {
	case control.MemberAlive:
		return 0
	case control.MemberDraining:
		return 1
	case control.MemberSuspect:
		return 2
	case control.MemberDead:
		return 3
	case control.MemberLeft:
		return 4
	}
	return -1
}

// Newer reports whether a replaces b, both being records of the same host.
func Newer(a, b control.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if (a.State == control.MemberLeft) != (b.State == control.MemberLeft) {
		return a.State == control.MemberLeft
	}
	if a.Heartbeat != b.Heartbeat {
		return a.Heartbeat > b.Heartbeat
	}
	return severity(a.State) > severity(b.State)
}

// IsLive reports whether a member in this state can own pools, targets and other
// duties. A suspect keeps its duties, so that one lost message does not move them.
func IsLive(s control.MemberState) bool {
	return s == control.MemberAlive || s == control.MemberDraining || s == control.MemberSuspect
}

func valid(m control.Member) bool {
	return m.Host != "" && m.Incarnation > 0 && severity(m.State) >= 0
}
