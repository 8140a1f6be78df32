package execution

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
)

func TestRanOverEveryPointOfFailure(t *testing.T) {
	cases := []struct {
		point    string
		evidence Evidence
		want     problem.Ran
	}{
		{"refused by the gateway", Evidence{}, problem.RanNo},
		{"no place granted", Evidence{}, problem.RanNo},
		{"connection refused", Evidence{}, problem.RanNo},
		{"cut before the first byte", Evidence{}, problem.RanNo},
		{"cut within the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"cut after the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"deadline after the request", Evidence{Dispatched: true}, problem.RanUnknown},
		{"target refused", Evidence{Dispatched: true, RejectedBeforeRunning: true}, problem.RanNo},
		{"one refused, an earlier one broke", Evidence{Dispatched: true, RejectedBeforeRunning: true, EarlierMayHaveRun: true}, problem.RanUnknown},
		{"not sent, an earlier sending may have run", Evidence{EarlierMayHaveRun: true}, problem.RanUnknown},
		{"answer cut", Evidence{Dispatched: true}, problem.RanUnknown},
		{"answered", Evidence{Dispatched: true, Answered: true}, problem.RanYes},
		{"tokens delivered, then lost", Evidence{Dispatched: true, Answered: true, EarlierMayHaveRun: true}, problem.RanYes},
		{"answered and refused at once", Evidence{Dispatched: true, Answered: true, RejectedBeforeRunning: true}, problem.RanYes},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Ran(c.evidence), c.point)
	}
}

func TestNoNeedsProof(t *testing.T) {
	for bits := range 16 {
		e := Evidence{
			Dispatched: bits&1 != 0, RejectedBeforeRunning: bits&2 != 0,
			Answered: bits&4 != 0, EarlierMayHaveRun: bits&8 != 0,
		}
		proved := !e.Answered && !e.EarlierMayHaveRun && (!e.Dispatched || e.RejectedBeforeRunning)
		require.Equal(t, proved, Ran(e) == problem.RanNo, "%+v", e)
	}
}
