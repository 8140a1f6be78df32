package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

const poisonBody = "crashes plain targets"

// entryExpiry is how long the entry of a target that has crashed stays listed.
const entryExpiry = 3600 * time.Millisecond

// plainCrashes are plain targets that crash by requests with poisonBody and come back.
type plainCrashes struct {
	*fleet
	silent  bool // the connections of a crashed target stay open, and its entry expires
	mu      sync.Mutex
	targets int         // guarded by mu; number of incarnations
	reached []time.Time // guarded by mu; when requests with the body reached targets
	crashed []time.Time // guarded by mu
}

func (p *plainCrashes) start() {
	p.mu.Lock()
	p.targets++
	id := fmt.Sprintf("d-%d", p.targets)
	p.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Error(err)
		return
	}
	target := standin.StartPlainTarget(id, listener)
	p.t.Cleanup(target.Close)
	var once sync.Once
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != int64(len(poisonBody)) {
			standin.Succeed(w, r)
			return
		}
		p.mu.Lock()
		p.reached = append(p.reached, time.Now())
		p.mu.Unlock()
		once.Do(func() {
			p.mu.Lock()
			p.crashed = append(p.crashed, time.Now())
			p.mu.Unlock()
			go func() {
				expiry := time.Now().Add(entryExpiry)
				if p.silent {
					target.FallSilent(time.Hour)
				} else {
					target.Close()
					expiry = time.Now().Add(engineAbsence)
				}
				time.Sleep(engineAbsence)
				if p.t.Context().Err() == nil {
					p.start()
					time.Sleep(time.Until(expiry))
					_ = p.store.Delete(p.t.Context(), platform.TargetPrefix+id, ports.AnyRevision)
				}
			}()
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	_, _ = p.store.Put(p.t.Context(), platform.TargetPrefix+id, standin.TargetEntry(plainService, target.Address(), "ready", 6), ports.AnyRevision, 0)
}

// third returns when the third target crashed, the zero time before.
func (p *plainCrashes) third() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashed) < 3 {
		return time.Time{}
	}
	return p.crashed[2]
}

// BUDGET: a request that crashes each target that runs it is sent again at any host, with the
// same path, caller and body.
func TestRepeatedRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"hold", "check"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			p := &plainCrashes{fleet: newFleet(t)}
			p.configure()
			for range 5 {
				p.start()
			}
			for range 3 {
				p.startHost()
			}
			for n := 0; p.third().IsZero() || time.Since(p.third()) < contact; n++ {
				p.repeat(route, n)
				time.Sleep(150 * time.Millisecond)
			}
			for n := 100; time.Since(p.third()) < 2*contact; n++ {
				require.Equal(t, "crash_suspect\n", p.repeat(route, n).body)
				sound := p.hosts[n%len(p.hosts)].request(t.Context(), http.MethodPost, route, fmt.Sprint(route, "-sound-", n), []byte("sound"))
				require.Equal(t, http.StatusOK, send(sound).status)
				time.Sleep(150 * time.Millisecond)
			}
			late := 0
			for _, at := range p.reached {
				if at.After(p.third().Add(contact)) {
					late++
				}
			}
			require.LessOrEqual(t, late, 3, "%d crashes", len(p.crashed))
			t.Logf("%d crashes, %d later sends", len(p.crashed), late)
		})
	}
}

// repeat sends the request that crashes targets to the n-th host.
func (p *plainCrashes) repeat(route string, n int) answer {
	p.t.Helper()
	h := p.hosts[n%len(p.hosts)]
	a := send(h.request(p.t.Context(), http.MethodPost, route, fmt.Sprint(route, "-poison-", n), []byte(poisonBody)))
	require.NoError(p.t, a.err)
	return a
}

func TestPlainCallThatSilencesTargetsIsNeverHeldBack(t *testing.T) {
	t.Parallel()
	const callerPatience = 800 * time.Millisecond
	for _, route := range []string{"hold", "check"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			p := &plainCrashes{fleet: newFleet(t), silent: true}
			p.configure()
			for range 5 {
				p.start()
			}
			for range 3 {
				p.startHost()
			}
			var sent sync.WaitGroup
			for n := 0; p.third().IsZero() || time.Since(p.third()) < 3*contact; n++ {
				r := p.hosts[n%len(p.hosts)].request(t.Context(), http.MethodPost, route, fmt.Sprint(route, "-poison-", n), []byte(poisonBody))
				standin.SetDeadline(r, callerPatience)
				sent.Go(func() { send(r) })
				time.Sleep(250 * time.Millisecond)
			}
			sent.Wait()
			late := 0
			for _, at := range p.reached {
				if at.After(p.third().Add(contact)) {
					late++
				}
			}
			t.Logf("%d crashes, %d later sends", len(p.crashed), late)
			require.LessOrEqual(t, late, 3)
		})
	}
}
