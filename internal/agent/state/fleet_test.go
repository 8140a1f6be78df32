package state

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/membership"
	"corianderhitch/internal/agent/registration"
	"corianderhitch/internal/document"
	"corianderhitch/internal/logging"
)

// simStep is the step of virtual time; a tick of every agent comes each tenth.
const simStep = 100 * time.Millisecond

// fleet drives the states of many agents in virtual time over a network that
// loses, repeats and delays messages.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	steps    int
	agents   []*State
	byAddr   map[string]int
	paused   map[int]bool
	gone     map[int]bool
	reads    map[int]int
	nextRead map[int]time.Time
	cut      func(a, b int) bool
	loss     float64
	repeat   float64
	delayed  []func()
	calls    int
	onCall   func(args control.ExchangeArgs, reply control.ExchangeReply)
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byAddr:   make(map[string]int),
		paused:   make(map[int]bool),
		gone:     make(map[int]bool),
		reads:    make(map[int]int),
		nextRead: make(map[int]time.Time),
		cut:      func(int, int) bool { return false },
	}
	for i := range n {
		f.join(i, seed)
	}
	return f
}

func (f *fleet) join(i int, seed uint64) {
	self := control.Member{
		Host: fmt.Sprintf("host-%03d", i), Domain: fmt.Sprintf("domain-%d", i%16), Region: fmt.Sprintf("region-%d", i%4),
		AgentAddr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), Incarnation: f.now.UnixNano() + int64(i) + 1,
	}
	s := New(logging.Discard(), membership.DefaultConfig(), self, "test", seed+uint64(i)+1)
	if i < len(f.agents) {
		f.agents[i] = s
	} else {
		f.agents = append(f.agents, s)
	}
	f.byAddr[self.AgentAddr] = i
	f.reads[i], f.nextRead[i] = 0, time.Time{}
}

// readRegistration does what internal/agent/registration does.
func (f *fleet) readRegistration(i int) {
	if f.now.Before(f.nextRead[i]) {
		return
	}
	var listed []control.Member
	for j, s := range f.agents {
		if !f.gone[j] {
			listed = append(listed, s.Self())
		}
	}
	strangers := f.agents[i].DiscoverMembers(listed)
	f.reads[i]++
	f.nextRead[i] = f.now.Add(registration.NextListDelay(f.reads[i], strangers, len(f.agents[i].Live()) <= 1))
}

// run lets virtual time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// until lets time pass until the condition holds, and returns how long it took.
func (f *fleet) until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := f.now
	for !condition() {
		if f.now.Sub(start) >= limit {
			return limit, false
		}
		f.step()
	}
	return f.now.Sub(start), true
}

func (f *fleet) step() {
	f.now = f.now.Add(simStep)
	f.steps++
	f.deliverDelayed()
	for i, s := range f.agents {
		if f.paused[i] || f.gone[i] {
			continue
		}
		// Agents tick at different moments of a period.
		if (f.steps+i)%10 == 0 {
			s.Tick(f.now)
			f.readRegistration(i)
			for _, address := range s.TakeProbeAddresses() {
				f.exchange(i, control.Member{AgentAddr: address})
			}
			for _, m := range s.DuePeers(f.now, 2) {
				f.exchange(i, m)
			}
		}
		select {
		case <-s.Urgent():
			if address := s.TakeNewerDocumentPeer(); address != "" {
				f.exchange(i, control.Member{AgentAddr: address})
			}
			for _, m := range s.Partners(f.now) {
				f.exchange(i, m)
			}
		default:
		}
	}
}

func (f *fleet) deliverDelayed() {
	ready := f.delayed
	f.delayed = nil
	f.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, deliver := range ready {
		if f.random.IntN(3) == 0 {
			f.delayed = append(f.delayed, deliver)
			continue
		}
		deliver()
	}
}

func (f *fleet) exchange(a int, peer control.Member) {
	args := f.agents[a].NewRequest(peer.Host)
	for range 4 {
		reply, ok := f.call(a, peer.AgentAddr, args)
		if !ok {
			if peer.Host != "" {
				f.agents[a].RecordFailure(f.now, peer.Host)
			}
			return
		}
		again, differ := f.agents[a].HandleReply(f.now, reply)
		if !differ {
			return
		}
		args = again
	}
}

func (f *fleet) call(a int, address string, args control.ExchangeArgs) (control.ExchangeReply, bool) {
	b, known := f.byAddr[address]
	if !known || f.gone[b] || f.cut(a, b) {
		return control.ExchangeReply{}, false
	}
	if f.random.Float64() < f.loss {
		return control.ExchangeReply{}, false
	}
	deliver := func() (control.ExchangeReply, error) { return f.agents[b].HandleRequest(f.now, args) }
	if f.paused[b] {
		// The message waits in the frozen process and is taken when it wakes.
		return control.ExchangeReply{}, false
	}
	if f.random.Float64() < f.repeat {
		f.delayed = append(f.delayed, func() {
			if !f.gone[b] && !f.paused[b] {
				_, _ = deliver()
			}
		})
	}
	reply, err := deliver()
	f.calls++
	if f.onCall != nil {
		f.onCall(args, reply)
	}
	if err != nil || f.random.Float64() < f.loss {
		return control.ExchangeReply{}, false
	}
	return reply, true
}

// members counts, over all running agents, those whose view of live hosts is
// exactly the running ones.
func (f *fleet) agreed() bool {
	running := 0
	for i := range f.agents {
		if !f.gone[i] && !f.paused[i] {
			running++
		}
	}
	for i, s := range f.agents {
		if f.gone[i] || f.paused[i] {
			continue
		}
		alive := 0
		for _, m := range s.Members() {
			if m.State == control.MemberAlive || m.State == control.MemberDraining {
				alive++
			}
		}
		if alive != running {
			return false
		}
	}
	return true
}

func (f *fleet) everywhere(condition func(s *State) bool) func() bool {
	return func() bool {
		for i, s := range f.agents {
			if !f.gone[i] && !f.paused[i] && !condition(s) {
				return false
			}
		}
		return true
	}
}

func content(revision int64) []byte {
	body, err := document.Encode(document.Document{
		APIVersion: document.APIVersion, Environment: "test",
		Objectives: document.Objectives{StallTime: float64(revision)},
	})
	if err != nil {
		panic(err)
	}
	return body
}
