package peers

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
)

func newExchange(hosts ...relay.Host) *Exchange {
	log := slog.New(slog.DiscardHandler)
	members := NewMembers(log, nil, storeera.New(log), relay.Host{Name: "self"})
	known := map[string]relay.Host{}
	for _, h := range hosts {
		known[h.Name] = h
	}
	members.replaceHosts(known)
	e := &Exchange{Log: log, Host: "self", Members: members, Policy: policy.NewHolder(nil), Eras: storeera.New(log)}
	e.Init()
	return e
}

// A host that knows no other must not wait for answers before it asks the store: its
// callers wait as well.
func TestConfirmationWithoutPeersFailsAtOnce(t *testing.T) {
	started := time.Now()
	_, err := newExchange().ConfirmByPeers(t.Context(), time.Second)
	require.ErrorContains(t, err, "none of 0 peers")
	require.Less(t, time.Since(started), callTimeout/2)
}

// The same if all peers refuse the connection.
func TestConfirmationFailsWhenAllPeersHaveFailed(t *testing.T) {
	started := time.Now()
	_, err := newExchange(relay.Host{Name: "a", Address: "127.0.0.1:1"}, relay.Host{Name: "b", Address: "127.0.0.1:1"}).ConfirmByPeers(t.Context(), time.Second)
	require.ErrorContains(t, err, "none of 2 peers")
	require.Less(t, time.Since(started), callTimeout/2)
}

// ConfirmByPeers cancels its calls to the other hosts once one has answered. These counted as
// unresponsive, and their connection was closed with all calls on it: a hub among them seemed dead.
func TestCanceledCallSaysNothingAboutTheHost(t *testing.T) {
	hub, host := startScriptedHub(t, "hub")
	e, logs := newAskingExchange(t, host)
	hub.noticeDelay.Store(int64(callTimeout / 4))
	other := make(chan error, 1)
	go func() {
		other <- e.call(t.Context(), host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply))
	}()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(callTimeout/16, cancel)
	require.Error(t, e.call(ctx, host.Name, host.Address, "Notice", NoticeArgs{}, new(NoticeReply)))
	require.True(t, e.isResponsive(host.Name))
	require.NoError(t, <-other, "another call on the same connection")
	require.Zero(t, logs.countLines("does not answer"))
}
