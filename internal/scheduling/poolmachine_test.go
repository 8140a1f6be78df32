package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// machine is a state machine test of Pool: it drives a Pool with random actions
// and compares each decision with its own record of what was submitted.
type machine struct {
	pool      *Pool
	now       time.Time
	next      int
	waiting   map[string]Request
	running   map[string]string // ticket to target
	grantedAt map[string]time.Time
	targets   []Target
}

func newMachine() *machine {
	m := &machine{
		pool: NewPool(Config{QueueBound: 50}), now: testStart,
		waiting: make(map[string]Request), running: make(map[string]string), grantedAt: make(map[string]time.Time),
		targets: healthyTargets("x", "y", "z"),
	}
	m.pool.SetTargets(m.now, m.targets)
	return m
}

func (m *machine) submit(t *rapid.T) {
	m.next++
	r := testRequest(fmt.Sprint(m.next))
	r.Account = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
	r.Priority = rapid.IntRange(0, 9).Draw(t, "priority")
	r.PromptTokens = rapid.IntRange(1, 8000).Draw(t, "prompt")
	r.Produced = rapid.IntRange(0, 3).Draw(t, "produced") * 10
	r.Fingerprint = rapid.Uint64Range(1, 20).Draw(t, "fingerprint")
	r.Submitted = m.now
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.waiting[r.Ticket] = r
	m.pool.Submit(m.now, r)
}

func (m *machine) decide(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
	d := m.pool.Decide(m.now)
	for _, g := range d.Grants {
		_, waiting := m.waiting[g.Ticket]
		assert.True(t, waiting, "only a waiting request is granted, and only once")
		delete(m.waiting, g.Ticket)
		m.running[g.Ticket] = g.Target
		m.grantedAt[g.Ticket] = m.now
		for _, target := range m.targets {
			assert.False(t, target.Name == g.Target && (!target.Healthy || target.Leaving))
		}
	}
	for _, r := range d.Rejections {
		_, waiting := m.waiting[r.Ticket]
		assert.True(t, waiting, "only a waiting request is rejected, and only once")
		assert.NotEmpty(t, r.Kind)
		delete(m.waiting, r.Ticket)
	}
	for ticket, r := range m.waiting {
		assert.True(t, r.Deadline.IsZero() || r.Deadline.After(m.now), "%s waits beyond its deadline", ticket)
	}
}

func (m *machine) updateTarget(t *rapid.T) {
	target := &m.targets[rapid.IntRange(0, 2).Draw(t, "target")]
	target.Healthy = rapid.Bool().Draw(t, "healthy")
	target.Leaving = rapid.Bool().Draw(t, "leaving")
	target.ReportedAt = m.now
	target.UsedBlocks = rapid.IntRange(0, 100).Draw(t, "used")
	target.Running = rapid.IntRange(0, 40).Draw(t, "running")
	target.StepMS = rapid.Float64Range(0, 100).Draw(t, "step")
	m.pool.SetTargets(m.now, m.targets)
}

func (m *machine) crash(t *rapid.T) {
	target := rapid.SampledFrom([]string{"x", "y", "z", "unknown"}).Draw(t, "target")
	m.pool.Crashed(m.now, target)
	for i := range m.targets {
		if m.targets[i].Name == target {
			m.targets[i].Healthy = false
		}
	}
	for ticket, on := range m.running {
		if on == target {
			delete(m.running, ticket)
		}
	}
}

func (m *machine) anyTicket(t *rapid.T) string {
	return fmt.Sprint(rapid.IntRange(0, m.next+1).Draw(t, "ticket"))
}

func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"decide": m.decide,
			"change": m.updateTarget,
			"crash":  m.crash,
			"finish": func(t *rapid.T) {
				ticket := m.anyTicket(t)
				if _, ok := m.running[ticket]; ok {
					delete(m.running, ticket)
					m.pool.Finish(m.now, Finished{Ticket: ticket, Produced: 40, Complete: true})
				}
			},
			"cancel": func(t *rapid.T) {
				ticket := m.anyTicket(t)
				if _, ok := m.waiting[ticket]; ok {
					delete(m.waiting, ticket)
					m.pool.Cancel(m.now, ticket)
				}
			},
			"": m.checkRunning,
		})
		m.checkAllAnswered(t)
	})
}

// checkRunning expects the pool to hold exactly the requests that were granted and
// have not ended. The pool may drop one as abandoned once an engine could have
// produced abandonedGraceTokens in steps of minStepMS.
func (m *machine) checkRunning(t *rapid.T) {
	for ticket := range m.pool.running {
		assert.Contains(t, m.running, ticket)
	}
	for ticket := range m.running {
		if _, held := m.pool.running[ticket]; held {
			continue
		}
		age := m.now.Sub(m.grantedAt[ticket])
		assert.Greater(t, age.Seconds()*1000, abandonedGraceTokens*minStepMS, "%s was dropped early", ticket)
		delete(m.running, ticket)
	}
}

// checkAllAnswered makes all targets healthy, ends all running requests, and
// expects that every waiting request is answered in the end.
func (m *machine) checkAllAnswered(t *rapid.T) {
	for i := range m.targets {
		m.targets[i].Healthy, m.targets[i].Leaving = true, false
		m.targets[i].UsedBlocks, m.targets[i].Running = 0, 0
	}
	for range 400 {
		for ticket := range m.running {
			delete(m.running, ticket)
			m.pool.Finish(m.now, Finished{Ticket: ticket, Produced: 40, Complete: true})
		}
		m.now = m.now.Add(time.Second)
		for i := range m.targets {
			m.targets[i].ReportedAt = m.now
		}
		m.pool.SetTargets(m.now, m.targets)
		m.decide(t)
		if len(m.waiting) == 0 {
			return
		}
	}
	assert.Empty(t, m.waiting, "requests were never answered")
}
