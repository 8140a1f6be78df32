package peers

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/packed"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/wait"
)

// listSnapshotAge is how long a hub sends the same whole list. What has changed since follows with the
// next sync.
const listSnapshotAge = 2 * time.Second

// listSnapshot is the packed list of targets that a hub sends. It is safe for concurrent use.
type listSnapshot struct {
	mu      sync.Mutex
	text    *packed.Text      // guarded by mu; nil before the first
	packAt  bootclock.Instant // guarded by mu; when the list was taken
	packing bool              // guarded by mu
}

// get returns the list whose sum is given, if it is still kept, or a recent one. It returns nil while that is
// being packed.
func (s *listSnapshot) get(sum uint64, list func() relay.Changes) *packed.Text {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.text != nil && (s.text.Sum == sum || bootclock.Since(s.packAt) < listSnapshotAge) {
		return s.text
	}
	if !s.packing {
		s.packing = true
		go s.pack(list)
	}
	return nil
}

func (s *listSnapshot) pack(list func() relay.Changes) {
	takenAt := bootclock.Now()
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(list())
	text := packed.Pack(b.Bytes())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packing = false
	if err == nil { // all its types can be encoded
		s.text, s.packAt = &text, takenAt
	}
}

// changesFor returns the changes of the targets that a host lacks. A large list is left out for hosts that
// fetch it.
func (e *Exchange) changesFor(args *SyncArgs) relay.Changes {
	changes := e.ChangeLog.Since(args.ListRevision, args.ListSettling)
	if args.Fetches && changes.Whole && changes.Bytes() > 2*partBytes {
		return relay.Changes{Revision: changes.Revision, Whole: true, Settling: changes.Settling, Large: true}
	}
	return changes
}

// TargetList returns a part of this host's list of targets.
func (s *service) TargetList(args TargetListArgs, reply *packed.Part) error {
	*reply = partOf(s.exchange.lists.get(args.Sum, func() relay.Changes { return s.exchange.ChangeLog.Since(0, false) }), args.Offset)
	return nil
}

// listFetch fetches a list of targets in parts. It is safe for concurrent use.
type listFetch struct {
	mu      sync.Mutex
	running bool        // guarded by mu
	text    packed.Text // what has arrived; only for the goroutine of the fetch
}

// fetchTargetList fetches a hub's list of targets and applies it. It returns at once; what has arrived is kept
// when the hub stops answering.
func (e *Exchange) fetchTargetList(ctx context.Context, hub relay.Host) {
	f := &e.listFetch
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running {
		return
	}
	f.running = true
	go func() {
		changes, err := e.readTargetList(ctx, hub)
		if err == nil {
			e.ChangeLog.ApplyChanges(changes)
		} else {
			e.Log.Warn("peers: hub does not send its list of targets", "hub", hub.Name, "bytes", len(f.text.Bytes), "error", err.Error())
		}
		f.mu.Lock()
		f.running = false
		f.mu.Unlock()
		if err == nil {
			e.SyncNow()
		}
	}()
}

func (e *Exchange) readTargetList(ctx context.Context, hub relay.Host) (changes relay.Changes, err error) {
	f := &e.listFetch
	for failures := 0; failures < maxFetchRounds && ctx.Err() == nil; {
		reply := new(packed.Part)
		err = e.call(ctx, hub.Name, hub.Address, "TargetList", TargetListArgs{Sum: f.text.Sum, Offset: len(f.text.Bytes)}, reply)
		complete := false
		if err == nil && reply.Preparing {
			wait.For(ctx, preparingDelay)
			continue
		}
		if err == nil {
			complete, err = f.text.Append(reply)
		}
		if err != nil {
			failures++
			wait.For(ctx, fetchRetryDelay)
			continue
		}
		failures = 0
		if complete {
			raw, err := f.text.Unpack()
			f.text = packed.Text{}
			if err == nil {
				err = gob.NewDecoder(bytes.NewReader(raw)).Decode(&changes)
			}
			return changes, err
		}
	}
	return changes, err
}
