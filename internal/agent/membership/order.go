package membership

import "corianderhitch/api/control"

// rank orders the states of one record: of two claims about the same
// incarnation and heartbeat the graver one holds.
func rank(s control.MemberState) int {
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

// Newer tells whether a replaces b, both being records of the same host.
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
	return rank(a.State) > rank(b.State)
}

// Live tells whether a member in this state takes duties. A suspect keeps them,
// so that one lost message moves nothing.
func IsLive(s control.MemberState) bool {
	return s == control.MemberAlive || s == control.MemberDraining || s == control.MemberSuspect
}

func valid(m control.Member) bool {
	return m.Host != "" && m.Incarnation > 0 && rank(m.State) >= 0
}
