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

// simulation runs several gateways over one store. Every store call, and every
// dispatch to the target, blocks until the script resumes it, so that the script
// chooses the interleaving and can inject delays, lost messages and crashes.
type simulation struct {
	store  *memstore.Store
	script []int

	mu            sync.Mutex
	waiting       []*pausePoint // guarded by mu; in order of arrival
	delayedWrites []func()      // guarded by mu; writes that take effect after their callers stopped waiting
	executions    map[int]int
	history       []porcupine.Operation
	clock         int64
	results       []requestResult
	// outcomeLost is set when a gateway crashed or could not learn what its target
	// did.
	outcomeLost bool
	// finalOutput is the answer to a resend after all faults have ended.
	finalOutput string
}

// pausePoint is one goroutine that waits for the script.
type pausePoint struct {
	process *process
	write   func() error // nil for a read or a dispatch
	resume  chan faultKind
}

// faultKind is what the script does to the store call or dispatch of a pausePoint.
type faultKind int

const (
	noFault    faultKind = iota // the call takes effect and is answered
	loseAnswer                  // the call takes effect, but the answer is lost
	loseCall                    // the call takes no effect, and the caller can't know
	applyLater                  // the answer is lost, and the call takes effect later
	rejectCall                  // unavailable: the caller knows that it took no effect
	faultKindCount
)

// process is one gateway process.
type process struct {
	sim     *simulation
	ledger  *Ledger
	crashed bool // guarded by sim.mu
}

type requestResult struct {
	request int
	ran     problem.Ran
}

func (s *simulation) wait(point *pausePoint) faultKind {
	point.resume = make(chan faultKind, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, point)
	s.mu.Unlock()
	return <-point.resume
}

// scriptedStore is the store as one process sees it, with the script's faults.
type scriptedStore struct {
	platform.Store
	process *process
}

func (s *scriptedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	fault := s.process.sim.wait(&pausePoint{process: s.process})
	if fault != noFault {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(context.Background(), key)
}

func (s *scriptedStore) Put(_ context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	var revision platform.Revision
	var effect error
	apply := func() error {
		revision, effect = s.Store.Put(context.Background(), key, value, expect, lease)
		return effect
	}
	switch s.process.sim.wait(&pausePoint{process: s.process, write: apply}) {
	case noFault:
		err := apply()
		return revision, err
	case loseAnswer:
		_ = apply()
		return 0, platform.ErrOutcomeUnknown
	case loseCall, applyLater: // simulation.drawFault queued the write of applyLater
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

// step applies one delayed write or resumes one waiting goroutine, possibly with a
// fault or a crash of its process. It returns false if there is neither.
func (s *simulation) step() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.delayedWrites) > 0 && s.next(4) == 3 {
		i := s.next(len(s.delayedWrites))
		s.delayedWrites[i]()
		s.delayedWrites = append(s.delayedWrites[:i], s.delayedWrites[i+1:]...)
		return true
	}
	if len(s.waiting) == 0 {
		return false
	}
	i := s.next(len(s.waiting))
	point := s.waiting[i]
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
	if s.next(24) == 23 {
		point.process.crashed, s.outcomeLost = true, true
	}
	point.resume <- s.drawFault(point)
	return true
}

// drawFault returns the fault for the operation at point, and queues its write if the
// fault delays it.
func (s *simulation) drawFault(point *pausePoint) faultKind {
	fault := faultKind(s.next(2 * int(faultKindCount))) // half of all operations have no fault
	if fault >= faultKindCount {
		fault = noFault
	}
	if point.process.crashed {
		fault = rejectCall
	}
	if fault == applyLater && point.write != nil {
		s.delayedWrites = append(s.delayedWrites, func() { _ = point.write() })
	}
	return fault
}

// sendRequest is one request of the caller for the call, at this gateway.
func (p *process) sendRequest(number int) {
	start := p.sim.tick()
	output := p.dispatch(number)
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if p.crashed {
		output = "unknown" // its caller got no answer
	} else {
		p.sim.results = append(p.sim.results, requestResult{request: number, ran: ranOf(output)})
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
	fault := p.sim.wait(&pausePoint{process: p})
	if !decision.Claim.MayDispatch() || fault == rejectCall { // paused too long, or no byte was sent
		decision.Claim.Release()
		return "no"
	}
	if !p.execute(number, fault) {
		decision.Claim.Abandon()
		return "unknown"
	}
	decision.Claim.Complete(Outcome{Status: 200})
	return "ran"
}

// execute sends the call to the target. It reports whether an answer came.
func (p *process) execute(number int, fault faultKind) bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	answered := !p.crashed && fault == noFault
	if !p.crashed && fault != loseCall {
		p.sim.executions[number]++
	}
	p.sim.outcomeLost = p.sim.outcomeLost || !answered
	return answered
}

// maxRequests bounds the requests for the call. Another one follows after all faults
// have ended.
const maxRequests = 5

// simulate runs the script to its end and then one more request without faults.
func simulate(t *testing.T, script []int) *simulation {
	s := &simulation{script: script, executions: make(map[int]int)}
	synctest.Test(t, func(*testing.T) {
		s.store = memstore.New(memstore.Options{})
		settings := Settings{
			ClaimTimeout: time.Second, DispatchWindow: 5 * time.Second, RetryFor: time.Hour,
			RetryInterval: 100 * time.Millisecond, MaxBackgroundWrites: 8,
		}
		var processes []*process
		newID := func() string { return fmt.Sprint("attempt-", s.tick()) }
		for range 2 {
			p := &process{sim: s}
			store := &scriptedStore{Store: s.store, process: p}
			p.ledger = New(store, "h", func() time.Duration { return 72 * time.Hour }, newID, nil, settings, logging.Discard())
			processes = append(processes, p)
		}
		var requests sync.WaitGroup
		for number := range 1 + s.next(maxRequests) {
			begin := time.Duration(s.next(3000)) * time.Millisecond
			p := processes[s.next(len(processes))]
			requests.Go(func() {
				time.Sleep(begin)
				p.sendRequest(number)
			})
		}
		s.runScript()
		requests.Wait()
		for _, p := range processes {
			p.ledger.Stop(context.Background())
		}
		s.applyDelayedWrites()
		faultless := &process{sim: s}
		faultless.ledger = New(s.store, "h", func() time.Duration { return 72 * time.Hour }, newID, nil, settings, logging.Discard())
		requests.Go(func() { s.finalOutput = faultless.dispatch(maxRequests) })
		s.runScript()
		requests.Wait()
	})
	return s
}

// runScript resumes goroutines until all have ended. Between steps the script may
// let time pass, which pauses everything that waits.
func (s *simulation) runScript() {
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

// applyDelayedWrites applies every write that is still delayed.
func (s *simulation) applyDelayedWrites() {
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
}

// atMostOnceModel is the specification of a call that runs at most once; its state
// is whether the call has run. After an answer "unknown" it may have run or not.
var atMostOnceModel = porcupine.NondeterministicModel{
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

func TestEveryInterleavingRunsACallAtMostOnceAndReportsItsOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 0, 200).Draw(rt, "script")
		s := simulate(t, script)
		total := 0
		for _, n := range s.executions {
			total += n
		}
		if s.finalOutput == "ran" {
			require.Equal(rt, 1, s.executions[maxRequests], "a resend reported a run that did not happen")
		}
		require.LessOrEqual(rt, total, 1, "the call ran more than once")
		for _, r := range s.results {
			if r.ran == problem.RanNo {
				require.Zero(rt, s.executions[r.request], "request %d ran and was reported as not run", r.request)
			}
		}
		if !s.outcomeLost {
			require.Contains(rt, []string{"ran", "replayed"}, s.finalOutput, "a resend never learns the outcome")
		}
		model := atMostOnceModel.ToModel()
		require.True(rt, porcupine.CheckOperations(model, s.history), "history is not linearizable")
	})
}
