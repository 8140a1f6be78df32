package targetconn

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetnotice"
)

// A refused send must be tried at another target, and must not count against the target's health; one
// that the evacuation of a domain ended must not be waited for.
func TestRefusalOfEvacuatedTargetIsNotSentAndLasting(t *testing.T) {
	for verdict, evacuated := range map[targetnotice.Verdict]bool{targetnotice.Evacuated: true, targetnotice.Leaving: false, targetnotice.Paused: false} {
		err := &refusal{verdict}
		require.ErrorIs(t, err, ErrNotSent)
		require.ErrorIs(t, err, ErrRefused)
		require.NotErrorIs(t, err, ErrNotYet)
		require.Equal(t, evacuated, errors.Is(err, ErrEvacuated))
		require.Equal(t, ForwardRefused, OutcomeOf(err), "earlier builds take an unknown outcome for a request that may have run")
	}
	require.ErrorContains(t, &refusal{targetnotice.Evacuated}, "evacuated")
}
