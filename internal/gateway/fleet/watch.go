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
	// pollWait is how long an agent may hold a snapshot call without news. A
	// frozen agent is noticed a second later.
	pollWait = 2 * time.Second
	// pollGrace is added to pollWait for the way there and back.
	pollGrace = 1 * time.Second
	// watchPause separates rounds in which no agent answered.
	watchPause = 100 * time.Millisecond
)

// watch follows the agents: the own host's first, then the others.
func (f *Fleet) watch(ctx context.Context) {
	versions := make(map[string]int64)
	for ctx.Err() == nil {
		if !f.pollOnce(ctx, versions) {
			wait.For(ctx, watchPause)
		}
	}
}

// pollOnce asks the agents in order until one answers.
func (f *Fleet) pollOnce(ctx context.Context, versions map[string]int64) bool {
	for _, agent := range f.agentOrder() {
		err := f.poll(ctx, agent, versions)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		f.cut(forSnapshot, agent)
		delete(versions, agent)
		f.options.Log.Debug("agent gave no snapshot", "agent", agent, "error", err)
	}
	return false
}

// agentOrder lists the agents of the settings, then those of the members. Those
// that gave no answer lately come last.
func (f *Fleet) agentOrder() []string {
	all := append([]string(nil), f.options.Agents...)
	for _, m := range f.View().Members {
		if m.State == control.MemberAlive && !slices.Contains(all, m.AgentAddr) {
			all = append(all, m.AgentAddr)
		}
	}
	var first, last []string
	for _, agent := range all {
		if f.isCut(forSnapshot, agent) {
			last = append(last, agent)
		} else {
			first = append(first, agent)
		}
	}
	return append(first, last...)
}

func (f *Fleet) poll(ctx context.Context, agent string, versions map[string]int64) error {
	callCtx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	view := f.View()
	args := control.SnapshotArgs{
		Host:        f.options.Host,
		GatewayAddr: f.options.GatewayAddr,
		After:       versions[agent],
		Wait:        pollWait,
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
		f.apply(view, reply)
	}
	versions[agent] = reply.Version
	return nil
}

// apply publishes a reply. A lower document revision is never taken.
func (f *Fleet) apply(old *View, reply *control.SnapshotReply) {
	next := &View{Index: old.Index, Members: reply.Members, ReceivedAt: time.Now()}
	next.Targets = make(map[string]control.TargetState, len(reply.Targets))
	for _, t := range reply.Targets {
		next.Targets[t.Name] = t
	}
	if index := f.decode(old.Index, reply); index != nil {
		next.Index = index
		f.options.Log.Info("document in force", "revision", index.Revision())
	}
	f.publish(next)
}

func (f *Fleet) decode(current *document.Index, reply *control.SnapshotReply) *document.Index {
	if len(reply.Document) == 0 || (current != nil && reply.DocumentRevision <= current.Revision()) {
		return nil
	}
	var d document.Document
	if err := json.Unmarshal(reply.Document, &d); err != nil {
		f.options.Log.Error("document of an agent cannot be read", "revision", reply.DocumentRevision, "error", err)
		return nil
	}
	return document.NewIndex(document.Accepted{Revision: reply.DocumentRevision, Document: d})
}
