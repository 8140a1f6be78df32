package peers

import (
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/warmup"
	"corianderhitch/internal/rpcconn"
)

// OlderPlaceArgs and OlderPlaceReply are those of builds that know no permits of the hub.
type OlderPlaceArgs struct {
	Host    string
	Service string
	Need    placement.Requirements
	Load    inflight.Load
	Tried   []string
}

type OlderPlaceReply struct {
	Able bool
	placement.Decision
}

// olderHub chooses the first engine that is not excluded.
type olderHub struct{}

func (olderHub) Place(args OlderPlaceArgs, reply *OlderPlaceReply) error {
	*reply = OlderPlaceReply{Able: true, Decision: firstNotIn(args.Tried)}
	return nil
}

// firstNotIn chooses the cold engine if it may.
func firstNotIn(tried []string) placement.Decision {
	for _, key := range tried {
		if key == "cold@1" {
			return placement.Decision{Target: "warm@1"}
		}
	}
	return placement.Decision{Target: "cold@1"}
}

// serveHub serves the RPCs of a hub.
func serveHub(t *testing.T, receiver any) relay.Host {
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName(serviceName, receiver))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := rpcconn.Serve(listener, services)
	t.Cleanup(server.Stop)
	return relay.Host{Name: "hub", Address: listener.Addr().String()}
}

// startGrantingHub starts a hub that has been the first for a while when the engine cold@1 starts.
func startGrantingHub(t *testing.T, first bool) (*Exchange, relay.Host) {
	now := bootclock.Now()
	tracker := warmup.New(slog.New(slog.DiscardHandler), "hub", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return 31, time.Minute })
	tracker.PlacedByHub = func(string) bool { return true }
	tracker.ObserveHub(first, now.Add(-time.Minute))
	tracker.ObserveEntry("cold@1", "s", 1, time.Minute, now)
	tracker.ObserveEntry("warm@1", "s", 1, 0, now)
	e := &Exchange{Host: "hub", Inflight: inflight.New("hub"), FollowsStore: func() bool { return true }, Warmup: tracker}
	e.Init()
	e.ChooseEngine = func(_ string, _ placement.Requirements, tried map[string]bool) placement.Decision {
		var keys []string
		for key := range tried {
			keys = append(keys, key)
		}
		return firstNotIn(keys)
	}
	return e, serveHub(t, &service{e})
}

var excludesCold = PlaceArgs{Service: "s", Load: inflight.Load{Runs: 1}, Tried: []string{"cold@1"}, WithoutPermit: []string{"cold@1"}}

// placeAt asks a hub as PlaceAtHub does, without its time-out of 60 ms, which a busy machine exceeds.
func placeAt(t *testing.T, host *Exchange, hub relay.Host, args PlaceArgs) PlaceReply {
	t.Helper()
	var reply PlaceReply
	args.Host = host.Host
	require.NoError(t, host.pool.Call(t.Context(), hub.Address, serviceName+".Place", args, &reply))
	require.True(t, reply.Able)
	return reply
}

// The failure guarded against: a host without a share of a cold engine sends its runs to fuller ones
// although the hub could allow them, or sends more than the hub allows.
func TestHubGrantsPermitsWithItsChoice(t *testing.T) {
	hub, address := startGrantingHub(t, true)
	host, _ := newAskingExchange(t, address)
	permitted := 0
	for range 20 {
		reply := placeAt(t, host, address, excludesCold)
		require.Equal(t, reply.Permitted, reply.Target == "cold@1")
		if reply.Permitted {
			permitted++
		}
	}
	require.GreaterOrEqual(t, permitted, 3, "what it has saved up")
	require.Less(t, permitted, 20)
	require.Equal(t, permitted, hub.Inflight.TotalLoad("cold@1").Runs)

	failed := excludesCold
	failed.WithoutPermit = nil
	reply := placeAt(t, host, address, failed)
	require.Equal(t, "warm@1", reply.Target, "the host excludes it for another reason")
	owns := excludesCold
	owns.Tried, owns.WithoutPermit = nil, nil
	reply = placeAt(t, host, address, owns)
	require.Equal(t, "cold@1", reply.Target)
	require.False(t, reply.Permitted, "the host has a permit of its own")
}

func TestOnlyTheFirstHubGrantsPermits(t *testing.T) {
	_, address := startGrantingHub(t, false)
	host, _ := newAskingExchange(t, address)
	reply := placeAt(t, host, address, excludesCold)
	require.Equal(t, "warm@1", reply.Target)
	require.False(t, reply.Permitted)
}

// During an update, one side doesn't know permits of the hub: no run goes to the cold engine without one.
func TestOlderBuildsPlaceWithoutPermitsOfTheHub(t *testing.T) {
	t.Run("older hub", func(t *testing.T) {
		older := serveHub(t, olderHub{})
		host, _ := newAskingExchange(t, older)
		reply := placeAt(t, host, older, excludesCold)
		require.Equal(t, "warm@1", reply.Target)
		require.False(t, reply.Permitted)
	})
	t.Run("older host", func(t *testing.T) {
		_, address := startGrantingHub(t, true)
		pool := rpcconn.NewPool(rpcconn.TCP)
		defer pool.Close()
		reply := new(OlderPlaceReply)
		args := OlderPlaceArgs{Host: "host", Service: "s", Load: inflight.Load{Runs: 1}, Tried: []string{"cold@1"}}
		require.NoError(t, pool.Call(t.Context(), address.Address, serviceName+".Place", args, reply))
		require.Equal(t, OlderPlaceReply{Able: true, Decision: placement.Decision{Target: "warm@1"}}, *reply)
	})
}
