package cli

import (
	"context"
	"errors"
	"fmt"
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
var errWaitTimeout = eris.New("the revision is accepted, but was not seen in force on every live host; watch \"hitchctl status\"")

// hopeless is a reason that waiting longer does not mend.
type hopeless struct{ error }

// waitInForce waits until every live host reports at least the revision.
func (a *app) waitInForce(ctx context.Context, f *changeFlags, c *change) error {
	// The wait has a bound of its own, apart from --timeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(f.waitFor))
	defer cancel()
	started := time.Now()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval, wait.RandomizationFactor = firstPoll, longestPoll, 0
	for {
		hosts, err := a.inForce(ctx, c.Environment, c.Revision)
		if err == nil {
			seconds := time.Since(started).Seconds()
			c.WaitSeconds, c.Hosts = &seconds, hosts
			return nil
		}
		var final hopeless
		if errors.As(err, &final) {
			return eris.Wrapf(errWaitTimeout, "%v", err)
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(errWaitTimeout, "%v", err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// inForce returns the number of live hosts if all report at least the revision.
func (a *app) inForce(ctx context.Context, environment string, revision int64) (int, error) {
	status, _, err := askAgents[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	if err != nil {
		return 0, err
	}
	if err := sameEnvironment(status, environment); err != nil {
		return 0, err
	}
	if behind := lagging(status.Members, revision); len(behind) > 0 {
		return 0, eris.Errorf("behind: %s", strings.Join(behind, ", "))
	}
	if highest(status.Members) > revision {
		current, err := a.currentOrNone(ctx, environment)
		if err != nil {
			return 0, err
		}
		if err := aheadOfStore(status.Members, current.Revision); err != nil {
			return 0, err
		}
	}
	return len(live(status.Members)), nil
}

// sameEnvironment refuses the state of a fleet of another environment, whose
// revisions mean nothing here.
func sameEnvironment(status control.StatusReply, environment string) error {
	if status.Environment == environment {
		return nil
	}
	return hopeless{fmt.Errorf("the agent asked is of environment %q, not %q; name agents of %q with --agent",
		status.Environment, environment, environment)}
}

// highest returns the highest revision that a live host reports.
func highest(members []control.Member) int64 {
	var top int64
	for _, m := range live(members) {
		top = max(top, m.DocumentRevision, m.GatewayRevision)
	}
	return top
}

// aheadOfStore refuses hosts that hold a revision above the store's. They ignore
// whatever is applied below it.
func aheadOfStore(members []control.Member, stored int64) error {
	top := highest(members)
	if top <= stored {
		return nil
	}
	return hopeless{fmt.Errorf("hosts hold revision %d, but the store has lost it and is at %d; hosts ignore lower revisions: "+
		"check the document with \"hitchctl diff\", then apply it with --above %d", top, stored, top)}
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
