package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/wait"
)

const (
	// directoryTimeout bounds the wait for an agent's directory while a request waits
	// for it: the directory is only best effort.
	directoryTimeout = 300 * time.Millisecond
	// directoryLongTimeout bounds a call that no request waits for, or that is the last
	// try to find a generation.
	directoryLongTimeout = 1 * time.Second
	// directoryReplicas is the number of hosts, in rank order, that keep an entry.
	directoryReplicas = 2
	// directoryCandidates is the number of hosts, in rank order, that are asked. It
	// exceeds directoryReplicas, since gateways that cannot reach all agents register
	// at different hosts.
	directoryCandidates = 3
	// replicationQueueSize bounds the entries that wait for replication. More are
	// dropped.
	replicationQueueSize = 1024
)

// entryReplication is an entry that is still to be sent to further owners.
type entryReplication struct {
	entry   control.DirectoryEntry
	owners  []string // in rank order
	missing int      // number of owners that still need the entry
}

// Register records at the owner of the request id where its generation runs. It
// returns the entry that the owner holds and whether that is the given one. The next
// owner gets the entry in the background, so that it survives the failure of the
// first. If no owner can be reached, the given entry counts as registered and is
// sent in the background as well.
func (f *Fleet) Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool) {
	owners := f.directoryOwners(entry.Account, entry.RequestID)
	for i, agent := range owners {
		reply := new(control.RegisterReply)
		if f.isUnresponsive(purposeDirectory, agent) || f.callDirectory(ctx, directoryTimeout, agent, "Directory.Register", entry, reply) != nil {
			continue
		}
		if reply.Won {
			f.queueReplication(entryReplication{entry: entry, owners: append(owners[:i:i], owners[i+1:]...), missing: directoryReplicas - 1})
		}
		return reply.Entry, reply.Won
	}
	f.queueReplication(entryReplication{entry: entry, owners: owners, missing: directoryReplicas})
	return entry, true
}

func (f *Fleet) queueReplication(r entryReplication) {
	select {
	case f.replications <- r:
	default:
		f.options.Log.Debug("directory entry is not replicated: the queue is full")
	}
}

// replicateEntries sends queued entries to their further owners until ctx ends, and then the
// rest within directoryLongTimeout.
func (f *Fleet) replicateEntries(ctx context.Context) {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		wait.For(calls, directoryLongTimeout)
		cancel()
	})()
	for calls.Err() == nil {
		select {
		case r := <-f.replications:
			f.replicateEntry(calls, r)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case r := <-f.replications:
			f.replicateEntry(calls, r)
		}
	}
}

func (f *Fleet) replicateEntry(ctx context.Context, r entryReplication) {
	for _, agent := range r.owners {
		if r.missing == 0 {
			return
		}
		if f.callDirectory(ctx, directoryLongTimeout, agent, "Directory.Register", r.entry, new(control.RegisterReply)) == nil {
			r.missing--
		}
	}
}

// Lookup returns where the generation of a request id runs. It skips owners that
// recently did not answer.
func (f *Fleet) Lookup(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool) {
	entry, found, _ := f.lookup(ctx, directoryTimeout, account, requestID, f.responsive(f.directoryOwners(account, requestID)))
	return entry, found
}

// LookupWithRetry is Lookup for a caller that has nothing but the request id: it asks
// all owners, and those that did not answer a second time with a longer timeout.
func (f *Fleet) LookupWithRetry(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool) {
	owners := f.directoryOwners(account, requestID)
	entry, found, unanswered := f.lookup(ctx, directoryTimeout, account, requestID, owners)
	if !found {
		entry, found, _ = f.lookup(ctx, directoryLongTimeout, account, requestID, unanswered)
	}
	return entry, found
}

// lookup asks agents in order until one has the entry. If none has it, unanswered are
// those that did not answer.
func (f *Fleet) lookup(ctx context.Context, timeout time.Duration, account, requestID string, agents []string) (entry control.DirectoryEntry, found bool, unanswered []string) {
	key := control.DirectoryKey{Account: account, RequestID: requestID}
	for _, agent := range agents {
		reply := new(control.LookupReply)
		if f.callDirectory(ctx, timeout, agent, "Directory.Lookup", key, reply) != nil {
			unanswered = append(unanswered, agent)
			continue
		}
		if reply.Found {
			return reply.Entry, true, nil
		}
	}
	return control.DirectoryEntry{}, false, unanswered
}

// responsive returns the agents that are not marked unresponsive.
func (f *Fleet) responsive(agents []string) []string {
	var kept []string
	for _, agent := range agents {
		if !f.isUnresponsive(purposeDirectory, agent) {
			kept = append(kept, agent)
		}
	}
	return kept
}

// directoryOwners returns the addresses of the agents that may keep the entry of a
// request id, in rank order.
func (f *Fleet) directoryOwners(account, requestID string) []string {
	view := f.View()
	var agents []string
	for _, host := range view.rankedHosts(account + "/" + requestID) {
		if address := view.agentAddress(host); address != "" && len(agents) < directoryCandidates {
			agents = append(agents, address)
		}
	}
	return agents
}

// callDirectory calls an agent's directory and marks the agent unresponsive if the call
// fails.
func (f *Fleet) callDirectory(ctx context.Context, timeout time.Duration, agent, method string, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.pool.Call(callCtx, agent, method, args, reply)
	if err != nil && ctx.Err() == nil {
		f.markUnresponsive(purposeDirectory, agent)
	}
	return err
}
