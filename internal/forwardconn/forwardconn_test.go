package forwardconn

import (
	"context"
	"errors"
	"io"
	"iter"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/api/control"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startTarget accepts connections and serves each. It returns the address.
func startTarget(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	return listener.Addr().String()
}

func echo(conn net.Conn) { _, _ = io.Copy(conn, conn) }

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// way is how a host reaches targets.
type way = outbound.DialFunc

func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var sound = outbound.Dialer("")

// newDialer returns the dialer of a host.
func newDialer(targets []string, w way, helpers ...string) *Dialer {
	rows := func() iter.Seq[control.TargetState] {
		return func(yield func(control.TargetState) bool) {
			for _, address := range targets {
				row := control.TargetState{Target: platform.Target{Kind: platform.TargetService, Service: "booking", Address: address}, Healthy: true}
				if !yield(row) {
					return
				}
			}
		}
	}
	return New(Options{Direct: w, Targets: Rows(rows), Helpers: func() []string { return helpers },
		Agent: rpcconn.TCP, CloseIdle: func() {}, Log: slog.New(slog.DiscardHandler)})
}

// startHelper starts a host that connects others and returns the address of its agent.
func startHelper(t *testing.T, targets []string, w way) (string, *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	forwards := NewServer(newDialer(targets, w), slog.New(slog.DiscardHandler))
	server := rpcconn.ServeUpgraded(listener, rpc.NewServer(), &rpcconn.Upgrade{Preface: Preface, Serve: forwards.Serve})
	t.Cleanup(server.Stop)
	return listener.Addr().String(), forwards
}

// requireEcho requires that a connection leads to a target that echoes.
func requireEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("abc"))
	require.NoError(t, err)
	answer := make([]byte, 3)
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	require.Equal(t, "abc", string(answer))
}

// dialSlack is what a connection may take in addition on a busy machine.
const dialSlack = 500 * time.Millisecond

func TestHostWithoutAWayConnectsByWayOfAnother(t *testing.T) {
	targets := []string{startTarget(t, echo), startTarget(t, echo), startTarget(t, echo)}
	stoppingHelper, stopping := startHelper(t, targets, sound)
	stopping.Drain(t.Context())
	cutHelper, _ := startHelper(t, targets, refuse)
	soundHelper, _ := startHelper(t, targets, sound)
	frozen := startTarget(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for name, c := range map[string]struct {
		way     way
		helpers []string
		atMost  time.Duration // for one connection
	}{
		"connections are refused": {refuse, []string{soundHelper}, 0},
		"connections hang":        {hang, []string{soundHelper}, maxDirectDial + 200*time.Millisecond},
		"other helpers can't":     {refuse, []string{stoppingHelper, cutHelper, closedAddress(t), soundHelper}, 0},
		"a helper is frozen":      {refuse, []string{frozen, soundHelper}, askTimeout + 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialer(targets, c.way, c.helpers...)
			begin := time.Now()
			for _, address := range targets {
				conn, err := d.DialContext(t.Context(), "tcp", address)
				require.NoError(t, err)
				requireEcho(t, conn)
				require.EqualValues(t, 1, d.forwarded.Load())
				require.NoError(t, conn.Close())
				require.Zero(t, d.forwarded.Load())
			}
			require.Less(t, time.Since(begin), time.Duration(len(targets))*(c.atMost+dialSlack))
			require.True(t, d.CutOff(targets[0]), "each failed target counts")
		})
	}
}

func TestHelperTellsATargetThatIsDownFromACut(t *testing.T) {
	sounds := []string{startTarget(t, echo), startTarget(t, echo)}
	down := closedAddress(t)
	targets := append(slices.Clone(sounds), down)
	soundHelper, _ := startHelper(t, targets, sound)
	cutHelper, _ := startHelper(t, targets, refuse)
	for name, c := range map[string]struct {
		way             way
		helpers         []string
		refused, cutOff bool
	}{
		"this host reaches others":    {sound, []string{soundHelper}, true, false},
		"this host is cut off":        {refuse, []string{soundHelper}, true, false},
		"all hosts are cut off":       {refuse, []string{cutHelper}, false, true},
		"no helper answers":           {refuse, []string{closedAddress(t)}, false, true},
		"there is no other host":      {refuse, nil, true, false},
		"sound, and no other answers": {sound, []string{closedAddress(t)}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialer(targets, c.way, c.helpers...)
			for _, address := range sounds { // so that a host that is cut off knows
				if conn, err := d.DialContext(t.Context(), "tcp", address); err == nil {
					_ = conn.Close()
				}
			}
			_, err := d.DialContext(t.Context(), "tcp", down)
			require.Error(t, err)
			require.Equal(t, c.refused, outbound.IsConnectionRefused(err), err)
			require.Equal(t, c.cutOff, errors.Is(err, ErrCutOff), err)
		})
	}
}

func TestTargetThatNoHostReachesIsAskedForSeldom(t *testing.T) {
	sounds := []string{startTarget(t, echo), startTarget(t, echo)}
	down := closedAddress(t)
	targets := append(slices.Clone(sounds), down)
	asked := 0
	helper, _ := startHelper(t, targets, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == down {
			asked++
		}
		return sound(ctx, network, address)
	})
	d := newDialer(targets, sound, helper)
	for range 20 {
		_, err := d.DialContext(t.Context(), "tcp", down)
		require.True(t, outbound.IsConnectionRefused(err), err)
		conn, err := d.DialContext(t.Context(), "tcp", sounds[0])
		require.NoError(t, err)
		requireEcho(t, conn)
		require.NoError(t, conn.Close())
	}
	require.Equal(t, 1, asked)
}

// An answer that ends with its connection must not look complete if the target has reset it.
func TestResetOfATargetIsNoEnd(t *testing.T) {
	for _, resets := range []bool{false, true} {
		address := startTarget(t, func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 3))
			_, _ = io.WriteString(conn, "ab")
			time.Sleep(50 * time.Millisecond)
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		helper, _ := startHelper(t, []string{address}, sound)
		conn, err := newDialer([]string{address}, refuse, helper).DialContext(t.Context(), "tcp", address)
		require.NoError(t, err)
		_, err = conn.Write([]byte("abc"))
		require.NoError(t, err)
		answer, err := io.ReadAll(conn)
		require.Equal(t, "ab", string(answer))
		require.Equal(t, resets, err != nil, err)
		_ = conn.Close()
	}
}

func TestCloseOfTheAskingHostReachesTheTarget(t *testing.T) {
	ended := make(chan struct{})
	address := startTarget(t, func(conn net.Conn) {
		echo(conn)
		close(ended)
	})
	helper, _ := startHelper(t, []string{address}, sound)
	conn, err := newDialer([]string{address}, refuse, helper).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	requireEcho(t, conn)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		require.Fail(t, "the connection to the target stayed open")
	}
}

func TestStoppingHelperWaitsForItsConnections(t *testing.T) {
	address := startTarget(t, echo)
	helper, forwards := startHelper(t, []string{address}, sound)
	conn, err := newDialer([]string{address}, refuse, helper).DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	drained := make(chan struct{})
	go func() {
		forwards.Drain(t.Context())
		close(drained)
	}()
	time.Sleep(50 * time.Millisecond)
	requireEcho(t, conn)
	require.NoError(t, conn.Close())
	<-drained
}

func TestHelperConnectsToTargetsOnly(t *testing.T) {
	target, other := startTarget(t, echo), startTarget(t, echo)
	helper, _ := startHelper(t, []string{target}, sound)
	_, err := newDialer([]string{other}, refuse, helper).DialContext(t.Context(), "tcp", other)
	require.ErrorIs(t, err, ErrCutOff)
}

func TestHostIsCutOffAndReachesTargetsAgain(t *testing.T) {
	targets := []string{startTarget(t, echo), startTarget(t, echo), startTarget(t, echo)}
	helper, _ := startHelper(t, targets, sound)
	var mu sync.Mutex
	current := sound
	set := func(w way) {
		mu.Lock()
		defer mu.Unlock()
		current = w
	}
	d := newDialer(targets, func(ctx context.Context, network, address string) (net.Conn, error) {
		mu.Lock()
		w := current
		mu.Unlock()
		return w(ctx, network, address)
	}, helper)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { d.Run(ctx) })
	defer run.Wait()
	defer cancel()
	connect := func() {
		conn, err := d.DialContext(t.Context(), "tcp", targets[0])
		require.NoError(t, err)
		requireEcho(t, conn)
		_ = conn.Close()
	}
	connect()
	require.False(t, d.CutOff(targets[0]))
	set(refuse)
	require.Eventually(t, func() bool { connect(); return d.CutOff(targets[0]) }, 2*time.Second, 10*time.Millisecond)
	set(sound)
	require.Eventually(t, func() bool { return !d.CutOff(targets[0]) }, 3*time.Second, 10*time.Millisecond)
	connect()
	require.Zero(t, d.forwarded.Load())
}

// A connection that was open before the cut hangs: nobody closes it.
func TestHostNoticesACutByTheSilenceOfItsConnections(t *testing.T) {
	targets := []string{startTarget(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })}
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	d := newDialer(targets, func(ctx context.Context, network, address string) (net.Conn, error) {
		if calls++; calls > 1 {
			return hang(ctx, network, address)
		}
		return sound(ctx, network, address)
	})
	conn, err := d.DialContext(t.Context(), "tcp", targets[0])
	require.NoError(t, err)
	_, err = conn.Write([]byte("abc"))
	require.NoError(t, err)
	var run sync.WaitGroup
	run.Go(func() { d.Run(ctx) })
	require.Eventually(t, func() bool { return d.CutOff(targets[0]) }, 2*time.Second, 10*time.Millisecond)
	cancel()
	run.Wait()
	require.NoError(t, conn.Close())
	require.Zero(t, d.waits.silence())
}

// Targets may accept a connection and reset it: a cut need not show in the connection's opening.
func TestConnectionThatIsResetMakesHelpersTheFirstChoice(t *testing.T) {
	cut := startTarget(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1)) // a reset before that could make the dial fail
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	targets := []string{startTarget(t, echo), startTarget(t, echo), startTarget(t, echo), startTarget(t, echo)}
	helper, _ := startHelper(t, targets, sound)
	d := newDialer(targets, func(ctx context.Context, network, _ string) (net.Conn, error) { return sound(ctx, network, cut) }, helper)
	broken, err := d.DialContext(t.Context(), "tcp", targets[0])
	require.NoError(t, err)
	_, err = broken.Write([]byte("a"))
	require.NoError(t, err)
	_, err = broken.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, broken.Close())
	require.False(t, d.CutOff(targets[0]), "one failure shows no cut")
	conn, err := d.DialContext(t.Context(), "tcp", targets[0])
	require.NoError(t, err)
	requireEcho(t, conn)
	require.NoError(t, conn.Close())
}
