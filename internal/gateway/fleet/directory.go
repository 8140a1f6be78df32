package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
)

const (
	// directoryTimeout bounds the wait for the directory, which is only a hint.
	directoryTimeout = 300 * time.Millisecond
	// directoryPatience bounds a call that no request waits for, or that is the
	// last chance to find a generation.
	directoryPatience = 1 * time.Second
	// directoryCopies is the number of hosts in rank that keep an entry.
	directoryCopies = 2
	// directoryAsked is the number of hosts in rank that are asked. It exceeds
	// directoryCopies, since gateways that cannot reach the same agents differ in
	// the first ones.
	directoryAsked = 3
	// copyQueue bounds the entries that wait for their copy. More are dropped.
	copyQueue = 1024
)

// entryCopy is an entry on its way to further owners.
type entryCopy struct {
	entry   control.DirectoryEntry
	owners  []string // in rank
	missing int      // copies that are still to be made
}

// Register tells the owner of the request id where its generation runs. It
// returns the entry that the owner holds and whether it is the given one. The
// next owner gets a copy later, so that the entry survives the first one's
// death. The given entry counts as registered if no owner can be reached; it is
// then sent later as well.
func (f *Fleet) Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool) {
	owners := f.directoryOwners(entry.Account, entry.RequestID)
	for i, agent := range owners {
		reply := new(control.RegisterReply)
		if f.isCut(forDirectory, agent) || f.callDirectory(ctx, directoryTimeout, agent, "Directory.Register", entry, reply) != nil {
			continue
		}
		if reply.Won {
			f.copyLater(entryCopy{entry: entry, owners: append(owners[:i:i], owners[i+1:]...), missing: directoryCopies - 1})
		}
		return reply.Entry, reply.Won
	}
	f.copyLater(entryCopy{entry: entry, owners: owners, missing: directoryCopies})
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
	for _, agent := range c.owners {
		if c.missing == 0 {
			return
		}
		if f.callDirectory(ctx, directoryPatience, agent, "Directory.Register", c.entry, new(control.RegisterReply)) == nil {
			c.missing--
		}
	}
}

// Lookup returns where the generation of a request id runs. It doesn't wait for
// owners that gave no answer lately.
func (f *Fleet) Lookup(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool) {
	entry, found, _ := f.lookup(ctx, directoryTimeout, account, requestID, f.awake(f.directoryOwners(account, requestID)))
	return entry, found
}

// Find is Lookup for a caller that has nothing but the request id: owners that
// gave no answer are asked again, with patience.
func (f *Fleet) LookupWithRetry(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool) {
	owners := f.directoryOwners(account, requestID)
	entry, found, silent := f.lookup(ctx, directoryTimeout, account, requestID, owners)
	if !found {
		entry, found, _ = f.lookup(ctx, directoryPatience, account, requestID, silent)
	}
	return entry, found
}

// lookup asks agents in order. It returns those that gave no answer.
func (f *Fleet) lookup(ctx context.Context, limit time.Duration, account, requestID string, agents []string) (entry control.DirectoryEntry, found bool, silent []string) {
	key := control.DirectoryKey{Account: account, RequestID: requestID}
	for _, agent := range agents {
		reply := new(control.LookupReply)
		if f.callDirectory(ctx, limit, agent, "Directory.Lookup", key, reply) != nil {
			silent = append(silent, agent)
			continue
		}
		if reply.Found {
			return reply.Entry, true, nil
		}
	}
	return control.DirectoryEntry{}, false, silent
}

// awake returns the agents that gave an answer lately.
func (f *Fleet) awake(agents []string) []string {
	var kept []string
	for _, agent := range agents {
		if !f.isCut(forDirectory, agent) {
			kept = append(kept, agent)
		}
	}
	return kept
}

// directoryOwners returns the agents that may keep the entry of a request id, in
// rank.
func (f *Fleet) directoryOwners(account, requestID string) []string {
	view := f.View()
	var agents []string
	for _, host := range view.rankedHosts(account + "/" + requestID) {
		if address := view.agentAddress(host); address != "" && len(agents) < directoryAsked {
			agents = append(agents, address)
		}
	}
	return agents
}

func (f *Fleet) callDirectory(ctx context.Context, limit time.Duration, agent, method string, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := f.pool.Call(callCtx, agent, method, args, reply)
	if err != nil && ctx.Err() == nil {
		f.cut(forDirectory, agent)
	}
	return err
}
