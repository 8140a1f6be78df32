package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/problem"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// simulation runs several gateways over one store. Every store call and every
// moment between claim, dispatch and outcome waits until the script lets it go
// on, so that the script can order, delay, lose and crash anything.
type simulation struct {
	state  *memstore.Store
	script []int

	mu      sync.Mutex
	waiting []*gate  // guarded by mu; in order of arrival
	late    []func() // guarded by mu; writes under way without their senders
	ran     map[int]int
	history []porcupine.Operation
	clock   int64
	results []sendResult
	// open is set when a sender crashed or could not learn what its target did.
	open bool
	// last is what a resend is told after all faults have ended.
	last string
}

// gate is one goroutine that waits for the script.
type gate struct {
	process *process
	write   func() error // nil for a read or a plain pause
	release chan verdictOfGate
}

// verdictOfGate is what the script decided for a gate.
type verdictOfGate int

const (
	goOn       verdictOfGate = iota // the call takes effect and is answered
	loseAnswer                      // it takes effect, the answer is lost
	loseAll                         // it takes no effect, and the caller can't know
	landLater                       // the answer is lost and the effect comes later
	refuse                          // unavailable, surely no effect
	verdicts
)

// process is one gateway process.
type process struct {
	sim     *simulation
	ledger  *Ledger
	crashed bool // guarded by sim.mu
}

type sendResult struct {
	send int
	ran  problem.Ran
}

func (s *simulation) wait(g *gate) verdictOfGate {
	g.release = make(chan verdictOfGate, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, g)
	s.mu.Unlock()
	return <-g.release
}

// gatedStore is the store as one process sees it.
type gatedStore struct {
	platform.Store
	process *process
}

func (g *gatedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	v := g.process.sim.wait(&gate{process: g.process})
	if v != goOn {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return g.Store.Get(context.Background(), key)
}

func (g *gatedStore) Put(_ context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	var revision platform.Revision
	var effect error
	apply := func() error {
		revision, effect = g.Store.Put(context.Background(), key, value, expect, lease)
		return effect
	}
	switch g.process.sim.wait(&gate{process: g.process, write: apply}) {
	case goOn:
		err := apply()
		return revision, err
	case loseAnswer:
		_ = apply()
		return 0, platform.ErrOutcomeUnknown
	case loseAll, landLater: // the script has kept the write for later
		return 0, platform.ErrOutcomeUnknown
	default:
		return 0, platform.ErrUnavailable
	}
}

// next returns the script's next number below n, or 0 at its end.
func (s *simulation) next(n int) int {
	if len(s.script) == 0 {
		return 0
	}
	v := s.script[0] % n
	s.script = s.script[1:]
	return v
}

// step decides about one waiting goroutine, a late write, a crash or the time.
// It returns false if nothing waits.
func (s *simulation) step() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.late) > 0 && s.next(4) == 3 {
		i := s.next(len(s.late))
		s.late[i]()
		s.late = append(s.late[:i], s.late[i+1:]...)
		return true
	}
	if len(s.waiting) == 0 {
		return false
	}
	i := s.next(len(s.waiting))
	g := s.waiting[i]
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
	if s.next(24) == 23 {
		g.process.crashed, s.open = true, true
	}
	g.release <- s.decide(g)
	return true
}

func (s *simulation) decide(g *gate) verdictOfGate {
	v := verdictOfGate(s.next(2 * int(verdicts))) // half of all go on
	if v >= verdicts {
		v = goOn
	}
	if g.process.crashed {
		v = refuse
	}
	if v == landLater && g.write != nil {
		s.late = append(s.late, func() { _ = g.write() })
	}
	return v
}

// send is one sending of the call by its caller.
func (p *process) send(number int) {
	start := p.sim.tick()
	output := p.dispatch(number)
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if p.crashed {
		output = "unknown" // its caller got no answer
	} else {
		p.sim.results = append(p.sim.results, sendResult{send: number, ran: ranOf(output)})
	}
	p.sim.clock++
	p.sim.history = append(p.sim.history, porcupine.Operation{
		ClientId: number, Input: number, Call: start, Output: output, Return: p.sim.clock,
	})
}

func ranOf(output string) problem.Ran {
	switch output {
	case "no":
		return problem.RanNo
	case "ran", "replayed":
		return problem.RanYes
	}
	return problem.RanUnknown
}

func (s *simulation) tick() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock++
	return s.clock
}

func (p *process) dispatch(number int) string {
	decision, err := p.ledger.Claim(context.Background(), Call{Account: "a", Key: "k", BodyHash: "h"})
	if err != nil {
		if problem.From(err).Ran == problem.RanNo {
			return "no"
		}
		return "unknown"
	}
	if decision.Replay != nil {
		return "replayed"
	}
	fate := p.sim.wait(&gate{process: p})
	if !decision.Claim.MayDispatch() || fate == refuse { // paused too long, or no byte left
		decision.Claim.Release()
		return "no"
	}
	if !p.execute(number, fate) {
		decision.Claim.Abandon()
		return "unknown"
	}
	decision.Claim.Complete(Outcome{Status: 200})
	return "ran"
}

// execute sends the call to the target. It returns whether an answer came.
func (p *process) execute(number int, fate verdictOfGate) bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	answered := !p.crashed && fate == goOn
	if !p.crashed && fate != loseAll {
		p.sim.ran[number]++
	}
	p.sim.open = p.sim.open || !answered
	return answered
}

// maxSends bounds the sendings of the call. Another one follows after all faults.
const maxSends = 5

// simulate runs the script to its end and then everything without faults.
func simulate(t *testing.T, script []int) *simulation {
	s := &simulation{script: script, ran: make(map[int]int)}
	synctest.Test(t, func(*testing.T) {
		s.state = memstore.New(memstore.Options{})
		settings := Settings{
			ClaimTimeout: time.Second, DispatchWindow: 5 * time.Second, RetryFor: time.Hour,
			RetryInterval: 100 * time.Millisecond, MaxBackgroundWrites: 8,
		}
		var processes []*process
		newID := func() string { return fmt.Sprint("attempt-", s.tick()) }
		for range 2 {
			p := &process{sim: s}
			store := &gatedStore{Store: s.state, process: p}
			p.ledger = New(store, "h", func() time.Duration { return 72 * time.Hour }, newID, nil, settings, logging.Discard())
			processes = append(processes, p)
		}
		var sends sync.WaitGroup
		for number := range 1 + s.next(maxSends) {
			begin := time.Duration(s.next(3000)) * time.Millisecond
			p := processes[s.next(len(processes))]
			sends.Go(func() {
				time.Sleep(begin)
				p.send(number)
			})
		}
		s.drive()
		sends.Wait()
		for _, p := range processes {
			p.ledger.Stop(context.Background())
		}
		s.landAll()
		calm := &process{sim: s}
		calm.ledger = New(s.state, "h", func() time.Duration { return 72 * time.Hour }, newID, nil, settings, logging.Discard())
		sends.Go(func() { s.last = calm.dispatch(maxSends) })
		s.drive()
		sends.Wait()
	})
	return s
}

// drive lets goroutines on until all have ended. Between steps the script may
// let time pass, which freezes everything that waits.
func (s *simulation) drive() {
	idle := 0
	for idle < 200 {
		synctest.Wait()
		if s.next(8) == 7 {
			time.Sleep(time.Duration(s.next(8000)) * time.Millisecond)
			synctest.Wait()
		}
		if s.step() {
			idle = 0
			continue
		}
		idle++
		time.Sleep(500 * time.Millisecond)
	}
}

// landAll lets every write arrive that is still under way.
func (s *simulation) landAll() {
	for _, land := range s.late {
		land()
	}
	s.late = nil
}

// callModel is one call that runs at most once. An unknown answer may have run it.
var callModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(string) {
		case "ran":
			if ran {
				return nil
			}
			return []any{true}
		case "replayed":
			if !ran {
				return nil
			}
			return []any{true}
		case "unknown":
			return []any{ran, true}
		default:
			return []any{ran}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestNoInterleavingRunsACallTwiceOrDeniesOneThatRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 0, 200).Draw(rt, "script")
		s := simulate(t, script)
		total := 0
		for _, n := range s.ran {
			total += n
		}
		if s.last == "ran" {
			require.Equal(rt, 1, s.ran[maxSends], "a resend was told of a run that did not happen")
		}
		require.LessOrEqual(rt, total, 1, "the call ran more than once")
		for _, r := range s.results {
			if r.ran == problem.RanNo {
				require.Zero(rt, s.ran[r.send], "sending %d was called not run", r.send)
			}
		}
		if !s.open {
			require.Contains(rt, []string{"ran", "replayed"}, s.last, "a resend never learns what happened")
		}
		model := callModel.ToModel()
		require.True(rt, porcupine.CheckOperations(model, s.history), "history is not linearizable")
	})
}
