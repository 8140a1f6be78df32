package peers

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/rpcconn"
)

// scriptedHub answers placements and notices late by the configured times.
type scriptedHub struct {
	name        string
	placeDelay  atomic.Int64 // time.Duration
	noticeDelay atomic.Int64 // time.Duration
	places      atomic.Int32
	placeDone   chan struct{} // one element for each answered placement
}

func (h *scriptedHub) Place(_ PlaceArgs, reply *PlaceReply) error {
	h.places.Add(1)
	time.Sleep(time.Duration(h.placeDelay.Load()))
	*reply = PlaceReply{Able: true, Decision: placement.Decision{Target: h.name}}
	h.placeDone <- struct{}{}
	return nil
}

func (h *scriptedHub) Notice(NoticeArgs, *NoticeReply) error {
	time.Sleep(time.Duration(h.noticeDelay.Load()))
	return nil
}

func startScriptedHub(t *testing.T, name string) (*scriptedHub, relay.Host) {
	hub := &scriptedHub{name: name, placeDone: make(chan struct{}, 1000)}
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName(serviceName, hub))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := rpcconn.Serve(listener, services)
	t.Cleanup(server.Stop)
	return hub, relay.Host{Name: name, Address: listener.Addr().String()}
}

// logBuffer collects log lines of concurrent writers.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // guarded by mu
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) countLines(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), part)
}

// newAskingExchange returns the exchange of a host that has hubs above itself.
func newAskingExchange(t *testing.T, hubs ...relay.Host) (*Exchange, *logBuffer) {
	logs := &logBuffer{}
	log := slog.New(slog.NewTextHandler(logs, nil))
	self := relay.Host{Name: "self"}
	e := &Exchange{Log: log, Host: self.Name, Members: NewMembers(log, nil, storeera.New(log), self)}
	e.Init()
	t.Cleanup(e.pool.Close)
	hosts := make(map[string]relay.Host)
	for i, hub := range hubs {
		hub.CPUs, hub.Mbps = float64(1000-i), float64(100_000-i) // ranks the hubs in the given order
		hosts[hub.Name] = hub
	}
	e.Members.replaceHosts(hosts)
	for i, hub := range hubs {
		require.Equal(t, hub.Name, e.Members.Hubs()[i].Name)
	}
	return e, logs
}

const lateAnswer = 4 * placeTimeout

func TestEachRequestWaitsForHubThatPlacesLate(t *testing.T) {
	hub, host := startScriptedHub(t, "first")
	hub.placeDelay.Store(int64(lateAnswer))
	e, logs := newAskingExchange(t, host)
	begin := time.Now()
	for range 10 {
		_, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
		require.False(t, placed)
	}
	require.Less(t, time.Since(begin), 5*placeTimeout)
	require.EqualValues(t, 1, hub.places.Load())
	require.Equal(t, 1, logs.countLines("level=WARN"))
}

func TestLatePlacementStopsOtherCallsToHub(t *testing.T) {
	hub, host := startScriptedHub(t, "first")
	hub.placeDelay.Store(int64(lateAnswer))
	hub.noticeDelay.Store(int64(2 * placeTimeout))
	e, _ := newAskingExchange(t, host)
	noticed := make(chan error, 1)
	require.NoError(t, e.call(t.Context(), host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply)))
	go func() {
		noticed <- e.call(t.Context(), host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply))
	}()
	_, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
	require.False(t, placed)
	require.NoError(t, <-noticed, "a call on the same connection")
	require.True(t, e.isResponsive(host.Name))
}

func TestHubThatPlacedLateIsNotAskedAgain(t *testing.T) {
	hub, host := startScriptedHub(t, "first")
	hub.placeDelay.Store(int64(lateAnswer))
	e, logs := newAskingExchange(t, host)
	for range 3 {
		_, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
		require.False(t, placed)
		require.NoError(t, e.call(t.Context(), host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply)))
	}
	require.EqualValues(t, 3, hub.places.Load(), "once after each answered call")
	require.Equal(t, 1, logs.countLines("level=WARN"))
	hub.placeDelay.Store(0)
	reply, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
	require.True(t, placed)
	require.Equal(t, "first", reply.Target)
	require.Equal(t, 1, logs.countLines("level=INFO"))
}

func TestRequestsWaitForDeadFirstHubAlthoughSecondPlaces(t *testing.T) {
	first, firstHost := startScriptedHub(t, "first")
	first.placeDelay.Store(int64(lateAnswer))
	_, secondHost := startScriptedHub(t, "second")
	e, _ := newAskingExchange(t, firstHost, secondHost)
	_, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
	require.False(t, placed)
	reply, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
	require.True(t, placed)
	require.Equal(t, "second", reply.Target)
}

func TestCallerThatLeavesIsBlamedOnHub(t *testing.T) {
	hub, host := startScriptedHub(t, "first")
	hub.placeDelay.Store(int64(placeTimeout / 2))
	e, logs := newAskingExchange(t, host)
	ctx, cancel := context.WithTimeout(t.Context(), placeTimeout/6)
	defer cancel()
	_, placed := e.PlaceAtHub(ctx, PlaceArgs{})
	require.False(t, placed)
	require.Zero(t, logs.countLines("level=WARN"))
	hub.placeDelay.Store(0)
	_, placed = e.PlaceAtHub(t.Context(), PlaceArgs{})
	require.True(t, placed)
}

func TestEachRequestWaitsForHubThatAnswersNothing(t *testing.T) {
	hub, host := startScriptedHub(t, "first")
	hub.placeDelay.Store(int64(lateAnswer))
	hub.noticeDelay.Store(int64(2 * callTimeout))
	e, logs := newAskingExchange(t, host)
	for range 3 {
		_, placed := e.PlaceAtHub(t.Context(), PlaceArgs{})
		require.False(t, placed)
		require.Error(t, e.call(t.Context(), host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply)))
	}
	require.EqualValues(t, 1, hub.places.Load())
	require.Equal(t, 2, logs.countLines("level=WARN"), "one for placements, one for the hub")
}
