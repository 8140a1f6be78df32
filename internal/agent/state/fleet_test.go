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

// simStep is the step of virtual time. Every agent ticks once in ten steps.
const simStep = 100 * time.Millisecond

// fleet simulates many agents in virtual time, connected by a network that loses,
// duplicates and delays messages.
type fleet struct {
	random               *rand.Rand
	now                  time.Time
	steps                int
	agents               []*State
	byAddr               map[string]int
	paused               map[int]bool
	stopped              map[int]bool
	registrationReads    map[int]int
	nextRegistrationRead map[int]time.Time
	partitioned          func(a, b int) bool
	lossRate             float64
	duplicateRate        float64
	delayedMessages      []func()
	calls                int
	onCall               func(args control.ExchangeArgs, reply control.ExchangeReply)
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		random:               rand.New(rand.NewPCG(seed, 1)),
		now:                  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byAddr:               make(map[string]int),
		paused:               make(map[int]bool),
		stopped:              make(map[int]bool),
		registrationReads:    make(map[int]int),
		nextRegistrationRead: make(map[int]time.Time),
		partitioned:          func(int, int) bool { return false },
	}
	for i := range n {
		f.start(i, seed)
	}
	return f
}

func (f *fleet) start(i int, seed uint64) {
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
	f.registrationReads[i], f.nextRegistrationRead[i] = 0, time.Time{}
}

// readRegistration simulates the periodic read by internal/agent/registration.
func (f *fleet) readRegistration(i int) {
	if f.now.Before(f.nextRegistrationRead[i]) {
		return
	}
	var listed []control.Member
	for j, s := range f.agents {
		if !f.stopped[j] {
			listed = append(listed, s.Self())
		}
	}
	unknown := f.agents[i].DiscoverMembers(listed)
	f.registrationReads[i]++
	f.nextRegistrationRead[i] = f.now.Add(registration.NextListDelay(f.registrationReads[i], unknown, len(f.agents[i].Live()) <= 1))
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// runUntil advances virtual time until the condition holds or limit has passed, and
// returns the time that it took and whether the condition holds.
func (f *fleet) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
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
		if f.paused[i] || f.stopped[i] {
			continue
		}
		// Agents tick in different steps of a period.
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
	messages := f.delayedMessages
	f.delayedMessages = nil
	f.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, deliver := range messages {
		if f.random.IntN(3) == 0 {
			f.delayedMessages = append(f.delayedMessages, deliver)
			continue
		}
		deliver()
	}
}

func (f *fleet) exchange(caller int, peer control.Member) {
	args := f.agents[caller].NewRequest(peer.Host)
	for range 4 {
		reply, ok := f.call(caller, peer.AgentAddr, args)
		if !ok {
			if peer.Host != "" {
				f.agents[caller].RecordFailure(f.now, peer.Host)
			}
			return
		}
		followUp, differ := f.agents[caller].HandleReply(f.now, reply)
		if !differ {
			return
		}
		args = followUp
	}
}

func (f *fleet) call(caller int, address string, args control.ExchangeArgs) (control.ExchangeReply, bool) {
	callee, known := f.byAddr[address]
	if !known || f.stopped[callee] || f.partitioned(caller, callee) {
		return control.ExchangeReply{}, false
	}
	if f.random.Float64() < f.lossRate {
		return control.ExchangeReply{}, false
	}
	deliver := func() (control.ExchangeReply, error) { return f.agents[callee].HandleRequest(f.now, args) }
	if f.paused[callee] {
		// The paused process does not answer.
		return control.ExchangeReply{}, false
	}
	if f.random.Float64() < f.duplicateRate {
		f.delayedMessages = append(f.delayedMessages, func() {
			if !f.stopped[callee] && !f.paused[callee] {
				_, _ = deliver()
			}
		})
	}
	reply, err := deliver()
	f.calls++
	if f.onCall != nil {
		f.onCall(args, reply)
	}
	if err != nil || f.random.Float64() < f.lossRate {
		return control.ExchangeReply{}, false
	}
	return reply, true
}

// membershipAgrees reports whether every running agent counts as many alive or
// draining members as there are running agents.
func (f *fleet) membershipAgrees() bool {
	running := 0
	for i := range f.agents {
		if !f.stopped[i] && !f.paused[i] {
			running++
		}
	}
	for i, s := range f.agents {
		if f.stopped[i] || f.paused[i] {
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

// onAllRunning returns a condition that holds when the given one holds for every
// running agent.
func (f *fleet) onAllRunning(condition func(s *State) bool) func() bool {
	return func() bool {
		for i, s := range f.agents {
			if !f.stopped[i] && !f.paused[i] && !condition(s) {
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
