package suspicion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/internal/scheduling/suspicion"
)

func TestReportsOfOneDeathCountOnce(t *testing.T) {
	var r Register
	now := time.Unix(1000, 0)
	died := func(at time.Time, target string, fingerprint uint64, beside ...uint64) {
		r.Add(at, control.News{Kind: control.NewsCrash, Target: target, Fingerprint: fingerprint, Beside: beside})
	}
	verdict := func(at time.Time, fingerprint uint64) suspicion.Verdict {
		v, _ := r.Verdict(at, fingerprint)
		return v
	}
	died(now, "e1", 1, 2)
	died(now.Add(sameCrash/2), "e1", 2, 1)
	require.Equal(t, suspicion.Spread, verdict(now, 1))
	require.Equal(t, suspicion.Spread, verdict(now, 2))

	died(now.Add(time.Second), "e2", 1, 3)
	require.Equal(t, suspicion.Refuse, verdict(now.Add(time.Second), 1))
	require.Equal(t, suspicion.Clear, verdict(now.Add(time.Second), 2))

	r.Add(now, control.News{Kind: control.NewsCleared, Fingerprint: 1})
	require.Equal(t, suspicion.Clear, verdict(now.Add(time.Second), 1))
}
