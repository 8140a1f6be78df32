package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/wait"
)

const (
	// snapshotWait is how long an agent may hold a snapshot call while nothing changes.
	// A frozen agent is noticed rpcGrace later.
	snapshotWait = 2 * time.Second
	// rpcGrace is added to the time that an agent may hold a call, for the round trip.
	rpcGrace = 1 * time.Second
	// watchRetryDelay is the pause after a round in which no agent answered.
	watchRetryDelay = 100 * time.Millisecond
)

// watch fetches snapshots until ctx ends, from the own host's agent if it answers,
// else from another.
func (f *Fleet) watch(ctx context.Context) {
	versions := make(map[string]int64)
	for ctx.Err() == nil {
		if !f.fetchFromAnyAgent(ctx, versions) {
			wait.For(ctx, watchRetryDelay)
		}
	}
}

// fetchFromAnyAgent asks the agents in order until one answers, and reports whether
// one did.
func (f *Fleet) fetchFromAnyAgent(ctx context.Context, versions map[string]int64) bool {
	for _, agent := range f.agentOrder() {
		err := f.fetchSnapshot(ctx, agent, versions)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		f.markUnresponsive(purposeSnapshot, agent)
		delete(versions, agent)
		f.options.Log.Debug("snapshot from agent failed", "agent", agent, "error", err)
	}
	return false
}

// agentOrder returns the agents of the settings, then those of the members that are
// alive. Unresponsive agents come last.
func (f *Fleet) agentOrder() []string {
	all := append([]string(nil), f.options.Agents...)
	for _, m := range f.View().Members {
		if m.State == control.MemberAlive && !slices.Contains(all, m.AgentAddr) {
			all = append(all, m.AgentAddr)
		}
	}
	var first, last []string
	for _, agent := range all {
		if f.isUnresponsive(purposeSnapshot, agent) {
			last = append(last, agent)
		} else {
			first = append(first, agent)
		}
	}
	return append(first, last...)
}

// fetchSnapshot waits at one agent for a snapshot newer than the last one from it, and
// applies it.
func (f *Fleet) fetchSnapshot(ctx context.Context, agent string, versions map[string]int64) error {
	callCtx, cancel := context.WithTimeout(ctx, snapshotWait+rpcGrace)
	defer cancel()
	view := f.View()
	args := control.SnapshotArgs{
		Host:        f.options.Host,
		GatewayAddr: f.options.GatewayAddr,
		After:       versions[agent],
		Wait:        snapshotWait,
		Draining:    f.draining.Load(),
	}
	if view.Index != nil {
		args.DocumentRevision = view.Index.Revision()
	}
	reply := new(control.SnapshotReply)
	if err := f.pool.Call(callCtx, agent, "Control.Snapshot", args, reply); err != nil {
		f.pool.Disconnect(agent)
		return err
	}
	if reply.Version != versions[agent] || reply.Document != nil {
		f.applySnapshot(view, reply)
	}
	versions[agent] = reply.Version
	return nil
}

// applySnapshot publishes a reply as the new view. The document is replaced only by
// one of a higher revision.
func (f *Fleet) applySnapshot(old *View, reply *control.SnapshotReply) {
	next := &View{Index: old.Index, Members: reply.Members, ReceivedAt: time.Now()}
	next.Targets = make(map[string]control.TargetState, len(reply.Targets))
	for _, t := range reply.Targets {
		next.Targets[t.Name] = t
	}
	if index := f.newerIndex(old.Index, reply); index != nil {
		next.Index = index
		f.options.Log.Info("document applied", "revision", index.Revision())
	}
	f.publish(next)
}

// newerIndex returns the index of the reply's document, or nil if the reply has none
// that is newer and readable.
func (f *Fleet) newerIndex(current *document.Index, reply *control.SnapshotReply) *document.Index {
	if len(reply.Document) == 0 || (current != nil && reply.DocumentRevision <= current.Revision()) {
		return nil
	}
	var d document.Document
	if err := json.Unmarshal(reply.Document, &d); err != nil {
		f.options.Log.Error("document from agent cannot be decoded", "revision", reply.DocumentRevision, "error", err)
		return nil
	}
	return document.NewIndex(document.Accepted{Revision: reply.DocumentRevision, Document: d})
}
