package peers

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
)

// listingStore records when its list is read. It holds the entry of one host from some time on.
type listingStore struct {
	Store
	began time.Time
	joins time.Duration // 0 for never
	reads []time.Duration
}

func (s *listingStore) ListStale(context.Context, string) ([]platform.Entry, platform.Revision, error) {
	now := time.Since(s.began)
	s.reads = append(s.reads, now)
	if s.joins == 0 || now < s.joins {
		return nil, 0, nil
	}
	return []platform.Entry{{Key: memberPrefix + "joined", Value: []byte(`{"Name":"joined","Address":"127.0.0.1:9"}`)}}, 0, nil
}

// knowHosts makes the member list hold so many hosts, which the store does not list.
func (m *Members) knowHosts(n int) {
	for i := range n - 1 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		m.hosts[name] = relay.Host{Name: name}
	}
	m.keepUntil = 1 << 62 // as after a restore of the store
}

// RECOVER: a host that was cut off did not find the only host that could help for five seconds.
func TestWantedHostListIsReadSoon(t *testing.T) {
	const tenth = 100 * time.Millisecond
	at := func(wanted time.Duration) func(time.Duration) bool {
		return func(now time.Duration) bool { return now == wanted }
	}
	always := func(time.Duration) bool { return true }
	for name, c := range map[string]struct {
		hosts  int
		wanted func(now time.Duration) bool
		joins  time.Duration   // of another host, 0 for never
		reads  []time.Duration // in 20 s, in tenths
	}{
		"never":                 {hosts: 6, wanted: at(-1), reads: []time.Duration{7, 57, 107, 157}},
		"once, soon after":      {hosts: 6, wanted: at(10 * tenth), reads: []time.Duration{7, 17, 67, 117, 167}},
		"once, later":           {hosts: 6, wanted: at(40 * tenth), reads: []time.Duration{7, 40, 90, 140, 190}},
		"always":                {hosts: 6, wanted: always, reads: []time.Duration{7, 17, 37, 77, 127, 177}},
		"always, by sixty":      {hosts: 60, wanted: always, reads: []time.Duration{7, 37, 87, 137, 187}},
		"always, by hundreds":   {hosts: 300, wanted: always, reads: []time.Duration{7, 57, 107, 157}},
		"always, and one joins": {hosts: 6, wanted: always, joins: 100 * tenth, reads: []time.Duration{7, 17, 37, 77, 127, 137, 157, 197}},
		"before the last read":  {hosts: 6, wanted: at(3 * tenth), reads: []time.Duration{7, 57, 107, 157}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &listingStore{began: time.Now(), joins: c.joins}
				m := NewMembers(logging.Discard(), store, storeera.New(logging.Discard()), relay.Host{Name: "self"})
				m.knowHosts(c.hosts)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var reading sync.WaitGroup
				reading.Go(func() { m.pollHosts(ctx) })
				for ctx.Err() == nil {
					if c.wanted(time.Since(store.began)) {
						m.WantList()
					}
					time.Sleep(tenth)
				}
				reading.Wait()
				var reads []time.Duration
				for _, read := range store.reads {
					reads = append(reads, read/tenth)
				}
				require.Equal(t, c.reads, reads)
			})
		})
	}
}

// LOST: an entry of another writer was chosen as a hub, and counted where budgets and limits are divided.
func TestEntryOfAnotherWriterNamesNoHost(t *testing.T) {
	for name, value := range map[string]string{
		"no address":           `{"Name":"odd"}`,
		"no port":              `{"Name":"odd","Address":"127.0.0.1:0"}`,
		"port out of range":    `{"Name":"odd","Address":"127.0.0.1:70000"}`,
		"another name":         `{"Name":"self","Address":"127.0.0.1:9"}`,
		"processors":           `{"Name":"odd","Address":"127.0.0.1:9","CPUs":1e300,"Mbps":1000}`,
		"negative bandwidth":   `{"Name":"odd","Address":"127.0.0.1:9","CPUs":1,"Mbps":-1}`,
		"number beyond a type": `{"Name":"odd","Address":"127.0.0.1:9","CPUs":1e400}`,
		"address of a helper":  `{"Name":"odd","Address":"127.0.0.1:9","Forward":"anywhere"}`,
		"nested deeply":        strings.Repeat(`{"Name":`, 200_000),
		"null":                 `null`,
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMembers(logging.Discard(), nil, storeera.New(logging.Discard()), relay.Host{Name: "self", CPUs: 0.4, Mbps: 1000})
			sound := platform.Entry{Key: memberPrefix + "sound", Value: []byte(`{"Name":"sound","Address":"127.0.0.1:9","CPUs":0.4,"Mbps":1000,"Forward":"127.0.0.1:10","New":1}`)}
			m.updateHosts([]platform.Entry{{Key: memberPrefix + "odd", Value: []byte(value)}, sound}, 1)
			require.ElementsMatch(t, []string{"self", "sound"}, m.Names())
			for _, hub := range m.Hubs() {
				require.NotEqual(t, "odd", hub.Name)
			}
		})
	}
}
