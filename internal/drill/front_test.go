package drill

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/drill/deployment"
)

// newTestFront returns a front of hosts a1, a2 and a3 in domain a and b1 in domain b, of which
// those named are in rotation.
func newTestFront(inRotation ...string) *front {
	f := &fleet{deployment: &deployment.Deployment{Domains: []deployment.Domain{{Name: "a", Hosts: 3}, {Name: "b", Hosts: 1}}}}
	for _, name := range []string{"a1", "a2", "a3", "b1"} {
		h := &host{name: name, domain: name[:1]}
		for _, in := range inRotation {
			if in == name {
				h.inRotation.Store(true)
			}
		}
		f.hosts = append(f.hosts, h)
	}
	return newFront(f)
}

func TestFrontChoosesAmongHostsInRotation(t *testing.T) {
	for name, c := range map[string]struct {
		domain     string
		inRotation []string
		want       []string
	}{
		"the domain's":              {"a", []string{"a1", "a3", "b1"}, []string{"a1", "a3"}},
		"fewer than half: all":      {"a", []string{"a2", "b1"}, []string{"a1", "a2", "a3"}},
		"none: other domains":       {"a", []string{"b1"}, []string{"b1"}},
		"none at all: the domain's": {"b", nil, []string{"b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFront(c.inRotation...)
			seen := make(map[string]bool)
			for n := range 200 {
				seen[f.choose(c.domain, string(rune('A'+n)), nil).name] = true
			}
			for _, want := range c.want {
				assert.True(t, seen[want], want)
			}
			assert.Len(t, seen, len(c.want))
		})
	}
}

func TestFrontAvoidsHostsThatWereTried(t *testing.T) {
	f := newTestFront("a1", "a2")
	first := f.choose("a", "client", nil)
	second := f.choose("a", "client", map[*host]bool{first: true})
	assert.NotEqual(t, first, second)
	assert.NotNil(t, f.choose("a", "client", map[*host]bool{first: true, second: true}))
}
