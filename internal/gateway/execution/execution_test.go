package execution

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
)

func TestRanAtEachPointOfFailure(t *testing.T) {
	cases := []struct {
		point    string
		evidence Evidence
		want     problem.Ran
	}{
		{"rejected by the gateway", Evidence{}, problem.RanNo},
		{"no slot granted", Evidence{}, problem.RanNo},
		{"connection refused", Evidence{}, problem.RanNo},
		{"connection lost before the first byte", Evidence{}, problem.RanNo},
		{"connection lost within the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"connection lost after the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"deadline after the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"target rejected", Evidence{Dispatched: true, RejectedBeforeRunning: true}, problem.RanNo},
		{"one target rejected, the connection to an earlier one was lost", Evidence{Dispatched: true, RejectedBeforeRunning: true, EarlierMayHaveRun: true}, problem.RanUnknown},
		{"not sent, an earlier request may have run", Evidence{EarlierMayHaveRun: true}, problem.RanUnknown},
		{"answer incomplete", Evidence{Dispatched: true}, problem.RanUnknown},
		{"answered", Evidence{Dispatched: true, Answered: true}, problem.RanYes},
		{"tokens delivered, then the generation lost", Evidence{Dispatched: true, Answered: true, EarlierMayHaveRun: true}, problem.RanYes},
		{"answered, and rejected as well", Evidence{Dispatched: true, Answered: true, RejectedBeforeRunning: true}, problem.RanYes},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Ran(c.evidence), c.point)
	}
}

func TestRanNoRequiresProof(t *testing.T) {
	for bits := range 16 {
		e := Evidence{
			Dispatched: bits&1 != 0, RejectedBeforeRunning: bits&2 != 0,
			Answered: bits&4 != 0, EarlierMayHaveRun: bits&8 != 0,
		}
		provedNotRun := !e.Answered && !e.EarlierMayHaveRun && (!e.Dispatched || e.RejectedBeforeRunning)
		require.Equal(t, provedNotRun, Ran(e) == problem.RanNo, "%+v", e)
	}
}
