// Package services implements the net/rpc services of an agent: Control, Scheduler,
// Directory and Peer (see api/control).
package services

import (
	"context"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/agent/state"
	"corianderhitch/internal/rpcconn"
)

const (
	// maxSnapshotWait bounds a long poll.
	maxSnapshotWait = 30 * time.Second
	// coalesceDelay is how long a snapshot waits for further changes after the first,
	// so that one answer carries a burst.
	coalesceDelay = 20 * time.Millisecond
	// memberCallTimeout bounds the calls to other members for one call of an operator.
	memberCallTimeout = time.Second
	// maxConcurrentCalls is the number of members that are called concurrently.
	maxConcurrentCalls = 32
)

// Control is the service for gateways and operators.
type Control struct {
	state       *state.State
	scheduler   *scheduler.Scheduler
	dial        rpcconn.Dialer
	presence    *GatewayPresence
	environment string
	stopping    <-chan struct{}
}

// NewControl returns the service. Waiting calls end when stopping is closed.
func NewControl(s *state.State, sched *scheduler.Scheduler, dial rpcconn.Dialer, presence *GatewayPresence, environment string, stopping <-chan struct{}) *Control {
	return &Control{state: s, scheduler: sched, dial: dial, presence: presence, environment: environment, stopping: stopping}
}

// Snapshot returns the fleet's state once its version differs from the one in args, or
// when the wait ends.
func (c *Control) Snapshot(args control.SnapshotArgs, reply *control.SnapshotReply) error {
	c.presence.RecordSnapshotCall(time.Now(), args)
	defer func() { c.presence.RecordSnapshotCall(time.Now(), args) }()
	c.await(args)
	version, _ := c.state.Version()
	now := time.Now()
	reply.Version = version
	reply.Members = c.state.Members()
	reply.Targets = c.state.Targets(now)
	current := c.state.Document()
	reply.DocumentRevision = current.Revision
	if current.Revision != args.DocumentRevision {
		reply.Document = current.Content
	}
	return nil
}

// await blocks while the gateway has the current version. Any other version is
// answered immediately: one above the current comes from an earlier process of this agent.
func (c *Control) await(args control.SnapshotArgs) {
	version, changed := c.state.Version()
	if args.After != version {
		return
	}
	timer := time.NewTimer(min(max(args.Wait, 0), maxSnapshotWait))
	defer timer.Stop()
	select {
	case <-c.stopping:
	case <-timer.C:
	case <-changed:
		coalesced := time.NewTimer(coalesceDelay)
		defer coalesced.Stop()
		<-coalesced.C
	}
}

// News records events that a gateway saw on the data path, or an operator's release.
func (c *Control) News(args control.EventsArgs, _ *control.Empty) error {
	c.state.AddEvents(time.Now(), args.News)
	return nil
}

// Status returns the fleet as this agent sees it, with the document revisions that the
// live members themselves report.
func (c *Control) Status(_ control.Empty, reply *control.StatusReply) error {
	reply.Members = c.state.Members()
	c.callLiveMembers(reply.Members, func(ctx context.Context, pool *rpcconn.Pool, i int) {
		own := new(control.Member)
		if pool.Call(ctx, reply.Members[i].AgentAddr, "Peer.Self", control.Empty{}, own) == nil && own.Host == reply.Members[i].Host {
			reply.Members[i].DocumentRevision = own.DocumentRevision
			reply.Members[i].GatewayRevision = own.GatewayRevision
			reply.Members[i].GatewayAddr = own.GatewayAddr
		}
	})
	reply.Targets = c.state.Targets(time.Now())
	reply.Held = c.scheduler.HeldPrefixes(time.Now())
	reply.DocumentRevision = c.state.Document().Revision
	reply.Environment = c.environment
	reply.StoreReachable = c.state.StoreReachable()
	return nil
}

// Explain returns the recent decisions of all agents about a request.
func (c *Control) Explain(args control.ExplainArgs, reply *control.ExplainReply) error {
	members := c.state.Members()
	lines := make([][]string, len(members))
	c.callLiveMembers(members, func(ctx context.Context, pool *rpcconn.Pool, i int) {
		answer := new(control.DecisionsReply)
		if pool.Call(ctx, members[i].AgentAddr, "Peer.Decisions", args, answer) == nil {
			lines[i] = answer.Lines
		}
	})
	reply.Lines = c.scheduler.Explain(args)
	for i, l := range lines {
		for _, line := range l {
			reply.Lines = append(reply.Lines, members[i].Host+": "+line)
		}
	}
	reply.Found = len(reply.Lines) > 0
	return nil
}

// callLiveMembers runs call for all live members except this host and waits until all
// have ended. It closes its connections afterwards, since most members are not
// exchange partners of this host.
func (c *Control) callLiveMembers(members []control.Member, call func(ctx context.Context, pool *rpcconn.Pool, i int)) {
	pool := rpcconn.NewPool(c.dial)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), memberCallTimeout)
	defer cancel()
	self := c.state.Self().Host
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		if m.Host == self || m.State == control.MemberDead || m.State == control.MemberLeft {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			call(ctx, pool, i)
		})
	}
	wg.Wait()
}
