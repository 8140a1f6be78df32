package cli

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

// Bounds of --wait.
const (
	defaultWaitFor = 60 * time.Second
	pollInterval   = 100 * time.Millisecond // fine enough for figures of a tenth of a second
)

// errWaitTimeout tells that a revision was accepted, but not seen in force on
// every live host in time.
var errWaitTimeout = eris.New("the revision is accepted, but not yet in force on every live host; it will be; watch \"hitchctl status\"")

// waitInForce waits until every live host reports at least the revision.
func (a *app) waitInForce(ctx context.Context, f *changeFlags, c *change) error {
	// The wait has a bound of its own, apart from --timeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(f.waitFor))
	defer cancel()
	started := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last error
	for {
		status, _, err := askAgents[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
		if err != nil {
			last = err
		} else {
			behind := lagging(status.Members, c.Revision)
			if len(behind) == 0 {
				seconds := time.Since(started).Seconds()
				c.WaitSeconds, c.Hosts = &seconds, len(live(status.Members))
				return nil
			}
			last = eris.Errorf("behind: %s", strings.Join(behind, ", "))
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(errWaitTimeout, "%v", last)
		case <-ticker.C:
		}
	}
}

// live returns the members that may serve callers.
func live(members []control.Member) []control.Member {
	var list []control.Member
	for _, m := range members {
		if m.State != control.MemberDead && m.State != control.MemberLeft {
			list = append(list, m)
		}
	}
	return list
}

// lagging names the live hosts whose agent or gateway is below a revision. An
// empty list of members counts as lagging.
func lagging(members []control.Member, revision int64) []string {
	var behind []string
	all := live(members)
	if len(all) == 0 {
		return []string{"no live host is known"}
	}
	for _, m := range all {
		if m.DocumentRevision < revision {
			behind = append(behind, m.Host+" (agent)")
		}
		if m.GatewayAddr != "" && m.GatewayRevision < revision {
			behind = append(behind, m.Host+" (gateway)")
		}
	}
	return behind
}
