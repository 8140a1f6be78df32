package evacuation

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/platform"
)

func at(era, number int64) platform.Revision { return platform.NewRevision(era, number) }

// newHolder returns a holder in whose deployment the given eras are settled, and its log.
func newHolder(settled map[int64]bool) (*Holder, *bytes.Buffer) {
	log := &bytes.Buffer{}
	return NewHolder(slog.New(slog.NewJSONHandler(log, nil)), func(era int64) bool { return era == 0 || settled[era] }), log
}

func (h *Holder) list(revision platform.Revision, domains ...string) {
	h.Replace(domains, revision, h.Settled(revision), "list")
}

func (h *Holder) domains() []string { return h.current.Load().Domains() }

// A host that had just started sent to evacuated domains until it read the list.
func TestHostThatKnowsNoStateBlocksAllDomains(t *testing.T) {
	h, _ := newHolder(nil)
	require.True(t, h.Blocks("a"))
	require.True(t, h.Any())
	require.False(t, h.Known())
	require.Equal(t, Snapshot{}, h.Snapshot())
	h.Apply([]Change{{Domain: "a", Evacuated: true, Revision: 5}}, 5, "watch")
	require.False(t, h.Known(), "changes alone are no state")
	h.list(6)
	require.False(t, h.Blocks("a"))
	require.True(t, h.Known())
}

// Deployments without the bound must work as before.
func TestNilHolderBlocksNothing(t *testing.T) {
	var h *Holder
	require.False(t, h.Blocks("a"))
	require.False(t, h.Any())
	require.True(t, h.Known())
	require.Zero(t, h.Count())
	require.Equal(t, Snapshot{}, h.Snapshot())
}

// Two hubs disagree, or a watch is behind a list: the older state must not end an evacuation.
func TestNewerRevisionDecides(t *testing.T) {
	h, log := newHolder(nil)
	h.list(10, "a")
	h.list(9)
	h.Apply([]Change{{Domain: "a", Revision: 8}}, 9, "watch")
	require.True(t, h.Merge(&Snapshot{Known: true, Revision: 7}, "peer", 0))
	require.True(t, h.Blocks("a"))
	h.Apply([]Change{{Domain: "a", Revision: 9}, {Domain: "b", Evacuated: true, Revision: 11}}, 12, "watch")
	require.Equal(t, []string{"a", "b"}, h.domains(), "the list of revision 10 contains the change of revision 9")
	h.Apply([]Change{{Domain: "a", Revision: 13}, {Domain: "a", Evacuated: true, Revision: 14}}, 14, "watch")
	require.Equal(t, []string{"a", "b"}, h.domains())
	require.Equal(t, 2, strings.Count(log.String(), "evacuation: domains in force"), "only changes are logged")
	require.Equal(t, 2, h.Count())
}

// The store came back from a copy without the evacuation, which the operator writes again.
func TestEvacuationStaysUntilALaterEraIsSettled(t *testing.T) {
	settled := map[int64]bool{}
	h, _ := newHolder(settled)
	h.list(at(0, 90), "a", "b")
	h.list(at(1, 40), "b")
	require.Equal(t, []string{"a", "b"}, h.domains())
	h.Apply([]Change{{Domain: "b", Revision: at(1, 41)}, {Domain: "c", Evacuated: true, Revision: at(1, 42)}}, at(1, 42), "watch")
	require.Equal(t, []string{"a", "b", "c"}, h.domains())
	require.True(t, h.Snapshot().Settling)
	h.list(at(0, 99))
	require.Equal(t, []string{"a", "b", "c"}, h.domains(), "a late answer of the earlier era")
	settled[1] = true
	h.Apply([]Change{{Domain: "c", Revision: at(1, 43)}}, at(1, 43), "watch")
	require.Equal(t, []string{"a", "b"}, h.domains())
	h.list(at(1, 43))
	require.Empty(t, h.domains(), "a list of the same revision in the settled era says what is gone")
	require.False(t, h.Snapshot().Settling)
}

// A host that starts right after a restore doesn't know what the store has lost.
func TestHostThatStartsInAnUnsettledEraKnowsNoState(t *testing.T) {
	settled := map[int64]bool{}
	h, _ := newHolder(settled)
	h.list(at(1, 40))
	require.False(t, h.Known())
	require.True(t, h.Blocks("a"))
	require.False(t, h.Snapshot().Known, "it must not vouch for others")
	other, _ := newHolder(settled)
	other.list(at(0, 90), "a")
	other.list(at(1, 41))
	told := other.Snapshot()
	require.True(t, h.Merge(&told, "peer", 0))
	require.True(t, h.Known())
	require.True(t, h.Blocks("a"))
	require.False(t, h.Blocks("b"))
}

// An earlier build says nothing of evacuations.
func TestUnknownStateOfAnotherHostChangesNothing(t *testing.T) {
	h, _ := newHolder(nil)
	require.False(t, h.Merge(&Snapshot{}, "peer", 0))
	require.False(t, h.Known())
	h.list(3, "a")
	require.False(t, h.Merge(&Snapshot{}, "peer", 0))
	require.True(t, h.Blocks("a"))
}

// play is a history of the store with hosts that hear of it.
type play struct {
	history []Change // of revisions from 1 on
	hosts   []*Holder
	watched []platform.Revision // by host; where its watch goes on
	told    []Snapshot
}

func newPlay(hosts int) *play {
	p := &play{watched: make([]platform.Revision, hosts)}
	for range hosts {
		h, _ := newHolder(nil)
		h.list(0)
		p.hosts = append(p.hosts, h)
	}
	return p
}

// held returns what the store held at a revision.
func (p *play) held(revision platform.Revision) []string {
	var in []string
	for _, c := range p.history[:revision] {
		in = slices.DeleteFunc(in, func(d string) bool { return d == c.Domain })
		if c.Evacuated {
			in = append(in, c.Domain)
		}
	}
	slices.Sort(in)
	return in
}

// step plays one event at a host.
func (p *play) step(t *rapid.T, i int) {
	h, now := p.hosts[i], len(p.history)
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		p.history = append(p.history, Change{Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			Evacuated: rapid.Bool().Draw(t, "evacuated"), Revision: platform.Revision(now + 1)})
	case 1:
		revision := platform.Revision(rapid.IntRange(0, now).Draw(t, "list"))
		h.list(revision, p.held(revision)...)
	case 2: // the answer to a watch from where the last one ended
		next := platform.Revision(rapid.IntRange(int(p.watched[i]), now).Draw(t, "watch"))
		h.Apply(p.history[p.watched[i]:next], next, "watch")
		p.watched[i] = next
	case 3:
		p.told = append(p.told, h.Snapshot())
	case 4:
		if len(p.told) > 0 {
			s := rapid.SampledFrom(p.told).Draw(t, "told")
			h.Merge(&s, "peer", 0)
		}
	}
}

// Hosts that hear of changes by lists, watches and each other, in any order and late, must each hold
// what the store held at their revision.
func TestStateIsThatOfItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(p.hosts)-1).Draw(t, "host")
			before := p.hosts[i].Snapshot().Revision
			p.step(t, i)
			s := p.hosts[i].Snapshot()
			if s.Revision < before {
				t.Fatalf("went back from revision %v to %v", before, s.Revision)
			}
			if want := p.held(s.Revision); !slices.Equal(want, s.Domains) {
				t.Fatalf("at revision %v: %v, the store held %v", s.Revision, s.Domains, want)
			}
		}
	})
}
