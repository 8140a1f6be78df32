package soak

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"corianderhitch/platform/standin"
)

var lateStops = flag.Duration("late-stops", 0, "how late processes handle the SIGTERMs of restarts in series at most")

// restartSite has the bounds of the users' sites.
var restartSite = site{grace: 8 * time.Second, revoke: 5 * time.Second, apply: 2 * time.Second, callTimeout: 39 * time.Second, retrySlack: 56}

const (
	restartedHosts = 6
	moreEngines    = 5   // in addition to engineCount: long streams occupy engines for long
	callersPerKind = 4   // of each host
	longStream     = 232 // events
	shortStream    = 3
	// maxUnusedAge is how long callers keep a connection before its first request.
	maxUnusedAge = 7500 * time.Millisecond
)

// connectionUse is a request and how it was sent.
type connectionUse struct {
	outcome
	connection string    // which kind, and what it was used for before
	sentWhole  time.Time // when the last byte of the request was sent
	abandoned  bool      // the caller closed the connection at the end of the test
}

// restartRun is a cluster whose hosts are restarted under traffic.
type restartRun struct {
	*cluster
	load        restartLoad
	traffic     sync.WaitGroup
	stopTraffic context.CancelFunc

	mu      sync.Mutex
	stops   []hostStop      // guarded by mu
	reloads []hostReload    // guarded by mu
	uses    []connectionUse // guarded by mu
	ids     int             // guarded by mu; number of the last request
}

// TestRestartsInSeriesCutNoRequest restarts hosts as planned, several at a time, while
// callers use every connection that is open until the process has exited.
func TestRestartsInSeriesCutNoRequest(t *testing.T) {
	t.Parallel()
	r := runRestarts(t, *seed, false)
	r.checkNothingLost()
	r.checkEarlyServed()
}

// TestRestartsBesideSilentTargetsCutNoRequest does the same while sound targets fall silent.
func TestRestartsBesideSilentTargetsCutNoRequest(t *testing.T) {
	t.Parallel()
	r := runRestarts(t, *seed, true)
	r.checkNothingLost()
}

func runRestarts(t *testing.T, seed uint64, silentTargets bool) *restartRun {
	r := startRestartRun(t, restartSite, seed, restartLoad{engines: engineCount + moreEngines, callersPerKind: callersPerKind})
	disturbed, end := context.WithCancel(t.Context())
	if silentTargets {
		r.traffic.Go(func() { r.injectSilences(disturbed, seed) })
	}
	r.restartHosts()
	end()
	r.end()
	return r
}

// restartLoad is what a restartRun consists of.
type restartLoad struct {
	engines, callersPerKind int
	varied                  bool // streams have the lengths of the users' site, and moves take their time
}

// startRestartRun starts a cluster and its callers, and waits until it serves.
func startRestartRun(t *testing.T, s site, seed uint64, load restartLoad) *restartRun {
	c := newClusterAt(t, s, seed, restartedHosts)
	for range load.engines - engineCount {
		c.addEngine()
	}
	c.engines.SetEventInterval(modelPace)
	if load.varied {
		c.engines.SetEventCount(modelLength)
		c.engines.SetLink(standin.Link{Setup: moveSetup, PerToken: movePerToken, TokensPerEvent: 4, Domain: c.domainOf})
		c.engines.SetRoom(standin.Room{Runs: siteSlotsOfEngine, Tokens: siteMemory})
	}
	r := &restartRun{cluster: c, load: load}
	ctx, cancel := context.WithCancel(t.Context())
	r.stopTraffic = cancel
	for i, h := range c.hosts {
		for n := range load.callersPerKind * len(callers) {
			random := rand.New(rand.NewPCG(seed, uint64(100*i+n)))
			r.traffic.Go(func() { r.runCaller(ctx, h, callers[n%len(callers)], random) })
		}
	}
	time.Sleep(warmUp)
	return r
}

// end ends the traffic. The processes go on.
func (r *restartRun) end() {
	r.stopTraffic()
	r.traffic.Wait()
}

// modelPace is the time that engines take for the n-th event of a request.
func modelPace(request string, n int) time.Duration {
	if n == 1 {
		return 800 * time.Millisecond
	}
	hash := fnv.New32()
	_, _ = hash.Write([]byte(request))
	return time.Duration(28+hash.Sum32()%18) * time.Millisecond
}

// restartHosts restarts one host after the other. Most stops overlap the next one. Some
// processes are stopped again right after their start.
func (r *restartRun) restartHosts() {
	var wait sync.WaitGroup
	for i, n := range r.random.Perm(len(r.hosts)) {
		h, signals, again := r.hosts[n], r.chooseSignals(), time.Duration(0)
		if i < len(r.hosts)/2 && r.random.IntN(2) == 0 {
			again = between(r.random, 20*time.Millisecond, 1500*time.Millisecond)
		}
		wait.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			r.stopAndStart(h, signals)
			if again > 0 {
				time.Sleep(again)
				r.stopAndStart(h, nil)
			}
		})
		time.Sleep(between(r.random, 500*time.Millisecond, 2*time.Second))
		other := r.hosts[r.random.IntN(len(r.hosts))]
		wait.Go(func() { r.reload(other) })
		if r.random.IntN(2) == 0 {
			r.applyNextVersion()
		}
		time.Sleep(between(r.random, 300*time.Millisecond, time.Second))
	}
	wait.Wait()
}

// hostReload is a SIGHUP to a host.
type hostReload struct {
	host *host
	at   time.Time
}

func (r *restartRun) reload(h *host) {
	r.reloadSettings(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloads = append(r.reloads, hostReload{h, time.Now()})
}

// laterSignal is a signal to a process that is draining.
type laterSignal struct {
	after  time.Duration // the first SIGTERM
	signal syscall.Signal
}

func (r *restartRun) chooseSignals() []laterSignal {
	var out []laterSignal
	if r.random.IntN(2) == 0 {
		out = append(out, laterSignal{between(r.random, 50*time.Millisecond, 500*time.Millisecond), syscall.SIGHUP})
	}
	if r.random.IntN(3) == 0 {
		out = append(out, laterSignal{between(r.random, 500*time.Millisecond, 3*time.Second), syscall.SIGTERM})
	}
	return out
}

func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// stopAndStart stops a process as the platform does and starts it again. Callers hold h.mu.
func (r *restartRun) stopAndStart(h *host, signals []laterSignal) {
	r.cluster.mu.Lock()
	startedAt := h.startedAt[len(h.startedAt)-1]
	r.cluster.mu.Unlock()
	stop := hostStop{host: h, at: time.Now(), signals: signals, startedAt: startedAt, logFrom: h.logOffset}
	kill := time.After(h.grace)
	r.sendLate(h, syscall.SIGTERM)
	for _, s := range signals {
		select {
		case <-h.process.Ended():
		case <-time.After(time.Until(stop.at.Add(s.after))):
			h.process.Signal(s.signal)
		}
	}
	select {
	case <-h.process.Ended():
	case <-kill:
		stop.killed = true
		h.process.Kill()
	}
	stop.endedAt = time.Now()
	r.start(h)
	stop.logTo = h.logOffset
	r.mu.Lock()
	r.stops = append(r.stops, stop)
	r.mu.Unlock()
}

// sendLate sends a signal that the process handles up to lateStops later.
func (r *restartRun) sendLate(h *host, s syscall.Signal) {
	if *lateStops > 0 {
		h.process.Freeze()
		defer h.process.Thaw()
		defer time.Sleep(rand.N(*lateStops))
	}
	h.process.Signal(s)
}

// caller is a way in which callers use connections.
type caller struct {
	name        string
	unusedFor   time.Duration // at most, before the first request
	bodyTakes   time.Duration // at most, from the first to the last byte of a request
	onceEach    bool          // sends one request on each connection
	longStreams int           // percentage of requests
}

var callers = []caller{
	{name: "kept", longStreams: 40},
	{name: "unused", unusedFor: maxUnusedAge, onceEach: true, longStreams: 70},
	{name: "new", onceEach: true, longStreams: 40},
	{name: "slow body", bodyTakes: 5 * time.Second, longStreams: 70},
}

// runCaller sends requests to one host until ctx ends, on a connection that only the host
// closes.
func (r *restartRun) runCaller(ctx context.Context, h *host, kind caller, random *rand.Rand) {
	for ctx.Err() == nil {
		connection, err := net.Dial("tcp", h.callerAddress)
		if err != nil {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
		r.useConnection(ctx, h, kind, random, connection)
		stop()
		_ = connection.Close()
		pause(ctx, between(random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// useConnection sends requests until the host closes the connection.
func (r *restartRun) useConnection(ctx context.Context, h *host, kind caller, random *rand.Rand, connection net.Conn) {
	openedAt := time.Now()
	if kind.unusedFor > 0 {
		pause(ctx, between(random, 100*time.Millisecond, kind.unusedFor))
	}
	reader := bufio.NewReader(connection)
	for n := 0; ctx.Err() == nil && (n == 0 || !kind.onceEach); n++ {
		u := r.newUse(h, kind, random)
		u.connection = fmt.Sprintf("%s, opened %v before, %d requests before", kind.name, time.Since(openedAt).Round(time.Millisecond), n)
		u.send(ctx, connection, reader, kind, random)
		r.mu.Lock()
		r.uses = append(r.uses, u)
		r.mu.Unlock()
		if u.err != nil {
			return
		}
		pause(ctx, between(random, 5*time.Millisecond, 300*time.Millisecond))
	}
}

// newUse chooses a request.
func (r *restartRun) newUse(h *host, kind caller, random *rand.Rand) connectionUse {
	r.mu.Lock()
	r.ids++
	id := fmt.Sprintf("q-%d", r.ids)
	r.mu.Unlock()
	u := connectionUse{outcome: outcome{id: id, host: h, key: "key-1"}}
	switch draw := random.IntN(100); {
	case draw < kind.longStreams:
		u.route, u.events = []string{"draft", "lookup"}[random.IntN(2)], longStream
		if r.load.varied {
			u.varyLength(random)
		}
	case draw < 85:
		u.route, u.events = "draft", shortStream
	default:
		u.route = []string{"hold", "check"}[random.IntN(2)]
	}
	return u
}

// send sends the request and reads the response.
func (u *connectionUse) send(ctx context.Context, connection net.Conn, reader *bufio.Reader, kind caller, random *rand.Rand) {
	request := u.request(context.Background(), http.MethodPost, restartSite.callTimeout)
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		panic(err)
	}
	u.sent = time.Now()
	defer func() { u.ended, u.abandoned = time.Now(), ctx.Err() != nil }()
	if kind.bodyTakes > 0 {
		_, _ = connection.Write(text.Next(text.Len() - 1))
		pause(ctx, between(random, 0, kind.bodyTakes))
	}
	_, u.err = connection.Write(text.Bytes())
	u.sentWhole = time.Now()
	if u.err != nil {
		return
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		u.err = err
		return
	}
	u.read(response)
}
