package peers

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/quarantine"
)

func newEvidenceExchange(name string) *Exchange {
	e := &Exchange{Host: name, Members: &Members{}}
	e.Init()
	return e
}

// exchangeOnce plays one exchange of evidence between a host and a hub and returns how many
// records it carried.
func exchangeOnce(host, hub *Exchange) int {
	args, sent := host.evidenceFor(hub.Host)
	reply := hub.evidenceReply(&args)
	host.applyEvidence(hub.Host, args.Have.Process, sent, &reply)
	return len(args.Evidence.Failures) + len(args.Evidence.Survivals) + len(reply.Evidence.Failures) + len(reply.Evidence.Survivals)
}

func reportCrashes(e *Exchange, part string, n int) {
	for i := range n {
		at := steadyNow() - time.Duration(n-i)*300*time.Millisecond
		e.Quarantine.ReportFailure(steadyNow(), at, fmt.Sprint(part, "-target-", i), []quarantine.Key{quarantine.Part(part)})
	}
}

func isHeld(e *Exchange, part string) bool {
	return e.Quarantine.Check(steadyNow(), []quarantine.Key{quarantine.Part(part)}) != nil
}

func TestHostsThatHaveTheSameEvidenceExchangeNothing(t *testing.T) {
	t.Parallel()
	host, hub := newEvidenceExchange("host"), newEvidenceExchange("hub")
	reportCrashes(host, "a", 2)
	reportCrashes(hub, "a", 1)
	reportCrashes(hub, "b", 4)
	require.Positive(t, exchangeOnce(host, hub))
	require.True(t, isHeld(host, "b"))
	for range 3 {
		exchangeOnce(host, hub) // each learns what the other passes on
	}
	require.Zero(t, exchangeOnce(host, hub))
	reportCrashes(host, "c", 4)
	require.Equal(t, 4, exchangeOnce(host, hub)-4, "four to the hub, which returns them once")
	require.True(t, isHeld(hub, "c"))
}

func TestHubThatStartsAgainGetsAllEvidence(t *testing.T) {
	t.Parallel()
	host, hub := newEvidenceExchange("host"), newEvidenceExchange("hub")
	reportCrashes(host, "a", 4)
	exchangeOnce(host, hub)
	require.True(t, isHeld(hub, "a"))
	hub = newEvidenceExchange("hub")
	exchangeOnce(host, hub)
	exchangeOnce(host, hub)
	require.True(t, isHeld(hub, "a"))

	host = newEvidenceExchange("host")
	exchangeOnce(host, hub)
	require.True(t, isHeld(host, "a"))
}

// In an upgrade, hosts of an older build read what a newer one writes, and the other way round.
func TestEvidenceIsReadByOlderAndNewerBuilds(t *testing.T) {
	t.Parallel()
	type olderFailure struct {
		Incarnation, Host string
		Keys              []quarantine.Key
		Age               time.Duration
	}
	type newerFailure struct {
		Incarnation, Host string
		Keys              []quarantine.Key
		Age               time.Duration
		Doubtful          bool
		Later             map[string]int // unknown to this build
	}
	keys := []quarantine.Key{quarantine.Part("p"), quarantine.Request("GET", "/check")}
	older := olderFailure{Incarnation: "t@1", Host: "h", Keys: keys, Age: time.Second}
	newer := newerFailure{Incarnation: "t@1", Host: "h", Keys: keys, Age: time.Second, Later: map[string]int{"x": 1}}
	current := quarantine.Failure{Incarnation: "t@1", Host: "h", Keys: keys, Age: time.Second, Doubtful: true}
	for name, recode := range map[string]func(from, to any){
		"message": func(from, to any) {
			var b bytes.Buffer
			require.NoError(t, gob.NewEncoder(&b).Encode(from))
			require.NoError(t, gob.NewDecoder(&b).Decode(to))
		},
		"stored": func(from, to any) {
			raw, err := json.Marshal(from)
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(raw, to))
		},
	} {
		var read quarantine.Failure
		recode(older, &read)
		require.Equal(t, quarantine.Failure{Incarnation: "t@1", Host: "h", Keys: keys, Age: time.Second}, read, name)
		read = quarantine.Failure{}
		recode(newer, &read)
		require.Equal(t, quarantine.Failure{Incarnation: "t@1", Host: "h", Keys: keys, Age: time.Second}, read, name)
		var readByOlder olderFailure
		recode(current, &readByOlder)
		require.Equal(t, older, readByOlder, name)
	}
}
