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

// Timing of --wait.
const (
	defaultWaitFor      = 60 * time.Second
	initialPollInterval = 50 * time.Millisecond // most changes are in force within a few polls
	maxPollInterval     = time.Second           // for each poll the agent calls every live host
)

// errWaitTimeout means that a revision was accepted, but was not reported by every
// live host in time.
var errWaitTimeout = eris.New("the revision is accepted, but was not seen in force on every live host; watch \"hitchctl status\"")

// permanentError is a condition that does not change by waiting longer.
type permanentError struct{ error }

// waitUntilInForce waits until every live host reports at least the revision.
func (a *app) waitUntilInForce(ctx context.Context, flags *changeFlags, result *changeResult) error {
	// The wait is limited by --wait-for instead of --timeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(flags.waitFor))
	defer cancel()
	start := time.Now()
	pollBackoff := backoff.NewExponentialBackOff()
	pollBackoff.InitialInterval, pollBackoff.MaxInterval, pollBackoff.RandomizationFactor = initialPollInterval, maxPollInterval, 0
	for {
		hosts, err := a.liveHostsInForce(ctx, result.Environment, result.Revision)
		if err == nil {
			seconds := time.Since(start).Seconds()
			result.WaitSeconds, result.Hosts = &seconds, hosts
			return nil
		}
		var permanent permanentError
		if errors.As(err, &permanent) {
			return eris.Wrapf(errWaitTimeout, "%v", err)
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(errWaitTimeout, "%v", err)
		case <-time.After(pollBackoff.NextBackOff()):
		}
	}
}

// liveHostsInForce returns the number of live hosts if all of them report at least the
// revision, or an error that says which do not.
func (a *app) liveHostsInForce(ctx context.Context, environment string, revision int64) (int, error) {
	status, _, err := callAnyAgent[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	if err != nil {
		return 0, err
	}
	if err := checkEnvironment(status, environment); err != nil {
		return 0, err
	}
	if behind := hostsBehind(status.Members, revision); len(behind) > 0 {
		return 0, eris.Errorf("behind: %s", strings.Join(behind, ", "))
	}
	if highestRevision(status.Members) > revision {
		current, err := a.currentOrEmpty(ctx, environment)
		if err != nil {
			return 0, err
		}
		if err := checkNotAheadOfStore(status.Members, current.Revision); err != nil {
			return 0, err
		}
	}
	return len(liveMembers(status.Members)), nil
}

// checkEnvironment rejects the status of agents of another environment, because their
// revisions are not comparable.
func checkEnvironment(status control.StatusReply, environment string) error {
	if status.Environment == environment {
		return nil
	}
	return permanentError{fmt.Errorf("the agent asked is of environment %q, not %q; name agents of %q with --agent",
		status.Environment, environment, environment)}
}

// highestRevision returns the highest revision that a live host reports.
func highestRevision(members []control.Member) int64 {
	var highest int64
	for _, m := range liveMembers(members) {
		highest = max(highest, m.DocumentRevision, m.GatewayRevision)
	}
	return highest
}

// checkNotAheadOfStore returns an error if a live host has a higher revision than the
// store. Such a host ignores revisions below its own.
func checkNotAheadOfStore(members []control.Member, stored int64) error {
	held := highestRevision(members)
	if held <= stored {
		return nil
	}
	return permanentError{fmt.Errorf("hosts hold revision %d, but the store has lost it and is at %d; hosts ignore lower revisions: "+
		"check the document with \"hitchctl diff\", then apply it with --above %d", held, stored, held)}
}

// liveMembers returns the members that may still serve callers, including suspected and
// draining ones: all but the dead and those that left.
func liveMembers(members []control.Member) []control.Member {
	var list []control.Member
	for _, m := range members {
		if m.State != control.MemberDead && m.State != control.MemberLeft {
			list = append(list, m)
		}
	}
	return list
}

// hostsBehind names the live hosts whose agent or gateway reports a lower revision. If
// no live host is known, it returns a text that says so.
func hostsBehind(members []control.Member, revision int64) []string {
	var behind []string
	live := liveMembers(members)
	if len(live) == 0 {
		return []string{"no live host is known"}
	}
	for _, m := range live {
		if m.DocumentRevision < revision {
			behind = append(behind, m.Host+" (agent)")
		}
		if m.GatewayAddr != "" && m.GatewayRevision < revision {
			behind = append(behind, m.Host+" (gateway)")
		}
	}
	return behind
}
