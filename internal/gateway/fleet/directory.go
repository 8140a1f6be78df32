package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
)

const (
	// directoryTimeout bounds the wait for the directory, which is only a hint.
	directoryTimeout = 300 * time.Millisecond
	// directoryOwners is the number of hosts in rank that are asked.
	directoryOwners = 2
)

// Register tells the owner of the request id where its generation runs. It
// returns the entry that the owner holds and whether it is the given one. The
// given entry counts as registered if no owner can be reached.
func (f *Fleet) Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool) {
	for _, agent := range f.directoryAgents(entry.Account, entry.RequestID) {
		reply := new(control.RegisterReply)
		if f.callDirectory(ctx, agent, "Directory.Register", entry, reply) == nil {
			return reply.Entry, reply.Won
		}
	}
	return entry, true
}

// Lookup returns where the generation of a request id runs.
func (f *Fleet) Lookup(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool) {
	key := control.DirectoryKey{Account: account, RequestID: requestID}
	for _, agent := range f.directoryAgents(account, requestID) {
		reply := new(control.LookupReply)
		if f.callDirectory(ctx, agent, "Directory.Lookup", key, reply) == nil && reply.Found {
			return reply.Entry, true
		}
	}
	return control.DirectoryEntry{}, false
}

func (f *Fleet) directoryAgents(account, requestID string) []string {
	view := f.View()
	ranked := view.rankedHosts(account + "/" + requestID)
	var agents []string
	for _, host := range ranked {
		if address := view.agentAddress(host); address != "" && !f.isCut(address) && len(agents) < directoryOwners {
			agents = append(agents, address)
		}
	}
	return agents
}

func (f *Fleet) callDirectory(ctx context.Context, agent, method string, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	err := f.pool.Call(callCtx, agent, method, args, reply)
	if err != nil && ctx.Err() == nil {
		f.cut(agent)
	}
	return err
}
