package cli

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

// Bounds of --wait.
const (
	defaultWaitFor = 60 * time.Second
	firstPoll      = 50 * time.Millisecond // most changes are in force within a few of these
	longestPoll    = time.Second           // the agent asks every host for each poll
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
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval, wait.RandomizationFactor = firstPoll, longestPoll, 0
	for {
		hosts, err := a.inForce(ctx, c.Revision)
		if err == nil {
			seconds := time.Since(started).Seconds()
			c.WaitSeconds, c.Hosts = &seconds, hosts
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(errWaitTimeout, "%v", err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// inForce returns the number of live hosts if all report at least the revision.
func (a *app) inForce(ctx context.Context, revision int64) (int, error) {
	status, _, err := askAgents[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	if err != nil {
		return 0, err
	}
	if behind := lagging(status.Members, revision); len(behind) > 0 {
		return 0, eris.Errorf("behind: %s", strings.Join(behind, ", "))
	}
	return len(live(status.Members)), nil
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
