package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
)

const (
	// directoryTimeout bounds the wait for the directory, which is only a hint.
	directoryTimeout = 300 * time.Millisecond
	// directoryCopies is the number of hosts in rank that keep an entry.
	directoryCopies = 2
	// directoryAsked is the number of hosts in rank that are asked. It exceeds
	// directoryCopies, since gateways that cannot reach the same agents differ in
	// the first ones.
	directoryAsked = 3
	// copyQueue bounds the entries that wait for their copy. More are dropped.
	copyQueue = 1024
)

// entryCopy is an entry on its way to the owners behind the first.
type entryCopy struct {
	entry  control.DirectoryEntry
	agents []string
}

// Register tells the owner of the request id where its generation runs. It
// returns the entry that the owner holds and whether it is the given one. The
// given entry counts as registered if no owner can be reached. The next owner
// gets a copy later, so that the entry survives the first one's death.
func (f *Fleet) Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool) {
	agents := f.directoryAgents(entry.Account, entry.RequestID)
	for i, agent := range agents {
		reply := new(control.RegisterReply)
		if f.callDirectory(ctx, agent, "Directory.Register", entry, reply) != nil {
			continue
		}
		if reply.Won {
			f.copyLater(entryCopy{entry: entry, agents: agents[i+1:]})
		}
		return reply.Entry, reply.Won
	}
	return entry, true
}

func (f *Fleet) copyLater(c entryCopy) {
	select {
	case f.copies <- c:
	default:
		f.options.Log.Debug("directory entry gets no copy, as too many wait")
	}
}

// sendCopies gives entries to their further owners until ctx ends.
func (f *Fleet) sendCopies(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.copies:
			f.sendCopy(ctx, c)
		}
	}
}

func (f *Fleet) sendCopy(ctx context.Context, c entryCopy) {
	kept := 1
	for _, agent := range c.agents {
		if kept == directoryCopies {
			return
		}
		if f.callDirectory(ctx, agent, "Directory.Register", c.entry, new(control.RegisterReply)) == nil {
			kept++
		}
	}
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
		if address := view.agentAddress(host); address != "" && !f.isCut(address) && len(agents) < directoryAsked {
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
