package fleet

import (
	"encoding/json"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/rpcconn"
)

// fakeAgent answers a gateway from the state that the test sets.
type fakeAgent struct {
	server     *rpcconn.Server
	grant      func(control.AdmitArgs) control.AdmitReply
	admitError error // returned by Admit if set

	mu       sync.Mutex
	version  int64
	revision int64
	members  []control.Member
	targets  []control.TargetState
	finished chan control.Finished
	events   chan control.Event
	entries  map[string]control.DirectoryEntry
}

func newAgent(t *testing.T) *fakeAgent {
	a := &fakeAgent{
		version: 1, finished: make(chan control.Finished, 100), events: make(chan control.Event, 100),
		entries: make(map[string]control.DirectoryEntry),
	}
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName("Control", &controlService{a}))
	require.NoError(t, services.RegisterName("Scheduler", &schedulerService{a}))
	require.NoError(t, services.RegisterName("Directory", &directoryService{a}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a.server = rpcconn.Serve(listener, services)
	return a
}

func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	a.version++
}

type controlService struct{ a *fakeAgent }

// Snapshot answers without waiting for a change, unlike a real agent.
func (s *controlService) Snapshot(args control.SnapshotArgs, reply *control.SnapshotReply) error {
	if args.After > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	reply.Version, reply.DocumentRevision = s.a.version, s.a.revision
	reply.Members, reply.Targets = s.a.members, s.a.targets
	if s.a.revision != args.DocumentRevision && s.a.revision > 0 {
		text, err := json.Marshal(document.Document{Environment: "test"})
		if err != nil {
			return err
		}
		reply.Document = text
	}
	return nil
}

func (s *controlService) News(args control.EventsArgs, _ *control.Empty) error {
	for _, event := range args.News {
		s.a.events <- event
	}
	return nil
}

type schedulerService struct{ a *fakeAgent }

func (s *schedulerService) Admit(args control.AdmitArgs, reply *control.AdmitReply) error {
	if s.a.admitError != nil {
		return s.a.admitError
	}
	*reply = s.a.grant(args)
	return nil
}

func (s *schedulerService) Finish(args control.FinishArgs, _ *control.Empty) error {
	for _, f := range args.Finished {
		s.a.finished <- f
	}
	return nil
}

type directoryService struct{ a *fakeAgent }

func (s *directoryService) Register(entry control.DirectoryEntry, reply *control.RegisterReply) error {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	old, exists := s.a.entries[entry.Account+"/"+entry.RequestID]
	if exists {
		reply.Entry = old
		return nil
	}
	s.a.entries[entry.Account+"/"+entry.RequestID] = entry
	reply.Entry, reply.Won = entry, true
	return nil
}

func (s *directoryService) Lookup(key control.DirectoryKey, reply *control.LookupReply) error {
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	reply.Entry, reply.Found = s.a.entries[key.Account+"/"+key.RequestID]
	return nil
}
