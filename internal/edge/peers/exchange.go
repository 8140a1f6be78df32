// Package peers joins the edge processes of a fleet: who they are, what each has
// in flight, which targets leave, and whether the configuration is the newest.
// All of it but the last are hints: when they are wrong, choices are worse.
package peers

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/loadbook"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/rpcconn"
)

const (
	// exchangePeriod is the age that loads of other hosts reach. A run takes
	// seconds, so that a fifth of one spreads them well enough.
	exchangePeriod = 200 * time.Millisecond
	// callTimeout bounds a call between hosts.
	callTimeout = 400 * time.Millisecond
	// serviceName is the name of the net/rpc service.
	serviceName = "Peer"
)

// Exchange tells the other hosts news and asks them to vouch.
type Exchange struct {
	Log       *slog.Logger
	Host      string
	Members   *Members
	Book      *loadbook.Book
	Targets   *targets.Registry
	Policy    *policy.Holder
	Confirmer *freshness.Confirmer

	pool   *rpcconn.Pool
	server *rpcconn.Server
	kick   chan struct{}

	mu    sync.Mutex
	quiet map[string]bool // guarded by mu; hosts that did not answer last
}

// Start listens for the other hosts.
func (e *Exchange) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s; free the port", address)
	}
	services := rpc.NewServer()
	if err := services.RegisterName(serviceName, &service{e}); err != nil {
		return eris.Wrap(err, "peers: service cannot be registered")
	}
	e.pool = rpcconn.NewPool(rpcconn.TCP)
	e.server = rpcconn.Serve(listener, services)
	e.kick = make(chan struct{}, 1)
	e.quiet = make(map[string]bool)
	return nil
}

// Stop closes all connections.
func (e *Exchange) Stop() {
	e.pool.Close()
	e.server.Stop()
}

// Kick makes news go out at once.
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Run exchanges news until ctx ends. Of two hosts the one with the lesser name
// calls; news that cannot wait goes to all.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-e.kick:
			urgent = true
		case <-ticker.C:
		}
		news := e.news()
		for host, address := range e.Members.Hosts() {
			if urgent || e.Host < host {
				go e.tell(ctx, host, address, news)
			}
		}
	}
}

func (e *Exchange) news() News {
	return News{Host: e.Host, Loads: e.Book.Own(), Leaving: e.Targets.Notices()}
}

func (e *Exchange) tell(ctx context.Context, host, address string, news News) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(News)
	err := e.pool.Call(ctx, address, serviceName+".Exchange", news, reply)
	e.answered(host, address, err)
	if err == nil {
		e.take(reply)
	}
}

// answered logs when a host falls silent and when it is back.
func (e *Exchange) answered(host, address string, err error) {
	if err != nil {
		e.pool.Forget(address)
	}
	e.mu.Lock()
	before := e.quiet[host]
	e.quiet[host] = err != nil
	e.mu.Unlock()
	switch {
	case err != nil && !before:
		e.Log.Warn("peers: host does not answer", "host", host, "address", address, "error", err.Error())
	case err == nil && before:
		e.Log.Info("peers: host answers again", "host", host)
	}
}

func (e *Exchange) take(n *News) {
	e.Book.SetPeer(n.Host, n.Loads)
	for _, key := range n.Leaving {
		e.Targets.Leaving(key, "peer "+n.Host)
	}
}

// Vouch asks the other hosts until one has a configuration that was surely the
// newest less than maxAge ago, puts it in force if it is newer, and returns that
// instant. The peer's age is of a moment after the question was sent: what
// happens to the answer on its way makes the instant earlier, never later.
func (e *Exchange) Vouch(ctx context.Context, maxAge time.Duration) (bootclock.Instant, error) {
	answers := make(chan bootclock.Instant, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts := e.Members.Hosts()
	for _, address := range hosts {
		go func() {
			if asOf, ok := e.ask(ctx, address, maxAge); ok {
				select {
				case answers <- asOf:
				default:
				}
			}
		}()
	}
	select {
	case asOf := <-answers:
		return asOf, nil
	case <-ctx.Done():
		return 0, eris.Errorf("none of %d peers has a newer confirmation", len(hosts))
	}
}

func (e *Exchange) ask(ctx context.Context, address string, maxAge time.Duration) (bootclock.Instant, bool) {
	args := VouchArgs{}
	if p := e.Policy.Current(); p != nil {
		args.Revision = p.Revision
	}
	asked := bootclock.Now()
	reply := new(VouchReply)
	if err := e.pool.Call(ctx, address, serviceName+".Vouch", args, reply); err != nil {
		return 0, false // the loop of exchanges logs hosts that do not answer
	}
	if reply.Age > maxAge {
		return 0, false
	}
	if reply.Raw != nil {
		if _, err := e.Policy.Offer(reply.Raw, reply.Revision); err != nil {
			e.Log.Error("peers: configuration of a peer cannot be read", "address", address, "revision", reply.Revision, "error", err.Error())
			return 0, false
		}
	}
	if p := e.Policy.Current(); p == nil || p.Revision < reply.Revision {
		return 0, false
	}
	return asked.Add(-reply.Age), true
}
