package state

import (
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/platform"
)

// packetOverhead is the number of header bytes of one segment and its acknowledgment
// (Ethernet, IPv4, TCP with timestamps).
const packetOverhead = 2 * 66

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// BenchmarkIdleAgent measures the cost of gossip for one agent while nothing
// changes but loads: processor time and bytes on the wire, sent and received. One
// iteration is one virtual second of the whole fleet.
func BenchmarkIdleAgent(b *testing.B) {
	for _, size := range []struct{ hosts, targets int }{{8, 15}, {50, 330}, {100, 660}, {200, 1320}, {410, 2700}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			f := newFleet(size.hosts, 3)
			if _, ok := f.runUntil(2*time.Minute, f.membershipAgrees); !ok {
				b.Fatal("no agreement")
			}
			for i := range size.targets {
				f.putEverywhere(i)
			}
			f.run(30 * time.Second)
			var wire byteCounter
			encoder := gob.NewEncoder(&wire)
			f.onCall = func(args control.ExchangeArgs, reply control.ExchangeReply) {
				for _, part := range []any{rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1000}, args, rpc.Response{ServiceMethod: "Peer.Exchange", Seq: 1000}, reply} {
					_ = encoder.Encode(part)
				}
			}
			encodeTypeDescriptors(f)
			wire, f.calls = 0, 0
			b.ResetTimer()
			for range b.N {
				f.refreshTargets(size.targets)
				f.run(time.Second)
			}
			b.StopTimer()
			agentSeconds := float64(b.N * size.hosts)
			b.ReportMetric(2*(float64(wire)+float64(2*f.calls*packetOverhead))/agentSeconds, "wire_B/agent-s")
			b.ReportMetric(float64(f.calls)/agentSeconds, "calls/agent-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/agentSeconds/1e7, "core_%")
		})
	}
}

// encodeTypeDescriptors encodes every type once, since gob sends its type
// descriptors only once per connection.
func encodeTypeDescriptors(f *fleet) {
	row, _ := f.agents[0].Target("target-0000")
	members := f.agents[0].Members()
	events := []control.Event{{ID: "x", Kind: control.EventCrash, Beside: []uint64{1}}}
	digest := control.Digest{Sum: 1, Buckets: []uint64{1}}
	f.onCall(control.ExchangeArgs{Members: members, Targets: []control.TargetState{row}, News: events, MemberDigest: digest},
		control.ExchangeReply{Members: members, Targets: []control.TargetState{row}, News: events, MemberDigest: digest})
}

func (f *fleet) putTarget(i int) {
	owner := i % len(f.agents)
	name := fmt.Sprintf("target-%04d", i)
	host := f.agents[owner].Self().Host
	f.agents[owner].UpdateTarget(f.now, name, func(old control.TargetState) (control.TargetState, bool) {
		return control.TargetState{
			Target: platform.Target{
				Name: name, Kind: platform.TargetEngine, Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
				Domain: fmt.Sprintf("domain-%d", owner%16), Region: fmt.Sprintf("region-%d", owner%4),
			},
			Owner: host, Healthy: true, Observed: f.now, Version: old.Version,
			Load: engine.LoadReport{
				Target: name, ReportedAt: f.now, Running: 20 + f.random.IntN(12), UsedBlocks: f.random.IntN(1000), TotalBlocks: 1024,
				BlockTokens: 64, StepMS: 25 + f.random.Float64(), Role: engine.RoleGeneral, Loaded: []engine.Loaded{{Model: "writer", Version: "1"}},
			},
		}, true
	})
}

// putEverywhere writes the row of a target to all agents.
func (f *fleet) putEverywhere(i int) {
	f.putTarget(i)
	owner := f.agents[i%len(f.agents)]
	row, _ := owner.Target(fmt.Sprintf("target-%04d", i))
	for _, s := range f.agents {
		if s != owner {
			s.UpdateTarget(f.now, row.Name, func(control.TargetState) (control.TargetState, bool) { return row, true })
		}
	}
}

// refreshTargets publishes the loads as often as internal/agent/observer does.
func (f *fleet) refreshTargets(targets int) {
	refreshSeconds := max(1, targets*3*250/2500) // seconds between two load reports of a target, as in internal/agent/observer
	second := f.steps / 10
	for i := range targets {
		f.putTarget(i)
		if (second+i)%refreshSeconds == 0 {
			f.agents[i%len(f.agents)].PublishLoad(fmt.Sprintf("target-%04d", i))
		}
	}
}
