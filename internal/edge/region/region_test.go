package region

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"
)

// The failure guarded against: a call runs in a region that its route or its account forbids.
func TestRouteAndAccountBothBind(t *testing.T) {
	domains := Map{"north-1": "north", "north-2": "north", "south-1": "south"}
	for _, c := range []struct {
		name           string
		route, account []string
		allowed        []string // of the domains, also of one without a region
	}{
		{"neither states regions", nil, nil, []string{"north-1", "north-2", "south-1", "unknown"}},
		{"empty lists", []string{}, []string{}, []string{"north-1", "north-2", "south-1", "unknown"}},
		{"route", []string{"north"}, nil, []string{"north-1", "north-2"}},
		{"account", nil, []string{"south"}, []string{"south-1"}},
		{"both agree", []string{"north"}, []string{"north"}, []string{"north-1", "north-2"}},
		{"intersection", []string{"north", "south"}, []string{"south", "west"}, []string{"south-1"}},
		{"empty intersection", []string{"north"}, []string{"south"}, nil},
		{"region without a domain", []string{"west"}, nil, nil},
		{"empty name", []string{""}, nil, nil},
		{"all regions", []string{"north", "south"}, nil, []string{"north-1", "north-2", "south-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := Allowed(c.route, c.account)
			require.Equal(t, set.Key(), Allowed(c.account, c.route).Key())
			var raw bytes.Buffer
			require.NoError(t, gob.NewEncoder(&raw).Encode(set))
			var received Set
			require.NoError(t, gob.NewDecoder(&raw).Decode(&received))
			for _, s := range []Set{set, received} {
				var allowed []string
				for _, domain := range []string{"north-1", "north-2", "south-1", "unknown"} {
					if domains.Allows(s, domain) {
						allowed = append(allowed, domain)
					}
				}
				require.Equal(t, c.allowed, allowed)
			}
		})
	}
}

// The lists are those of the configuration, which other calls use.
func TestListsAreNotChanged(t *testing.T) {
	route := []string{"north", "south"}
	Allowed(route, []string{"south"})
	require.Equal(t, []string{"north", "south"}, route)
}
