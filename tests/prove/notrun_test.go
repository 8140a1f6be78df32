package prove

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/tests/harness"
)

// serviceFault is the fault of a stand-in service, as its admin path accepts it. Each
// field counts the next calls that have the fault.
type serviceFault struct {
	RequestDelay     time.Duration `json:"request_delay_ns,omitempty"`
	RejectNext       int           `json:"refuse_next,omitempty"`
	FailNext         int           `json:"fail_next,omitempty"`
	DropResponseNext int           `json:"cut_next,omitempty"`
	DropRequestNext  int           `json:"drop_next,omitempty"`
	CrashNext        int           `json:"die_next,omitempty"`
}

// notRunCase is one way in which a call can fail between gateway and target.
type notRunCase struct {
	name  string
	short bool
	// closeAfterUp and closeAfterDown close the targets' links at this byte of the
	// request and of the response; 0 disables.
	closeAfterUp, closeAfterDown int
	fault                        serviceFault
	oneTarget                    bool // the fault affects only the first target
	last                         bool // the call is not sent again afterwards
	// linksRefuse refuses connections to the targets; linksClose accepts and closes them
	// at once, linksCloseOnData when the first byte has arrived.
	linksRefuse, linksClose, linksCloseOnData bool
	// ran is the value that the problem returned to the caller must have; "" means that
	// the call succeeds.
	ran problem.Ran
	// maybeSent means that a call that met the fault may also be reported as not run: it
	// may come before the call's first byte is sent.
	maybeSent bool
	// executed is how often targets must have run the call.
	executed int
}

const (
	// insideHeader is the position of a byte in the request's first line.
	insideHeader = 10
	// insideResponse is the position of a byte in the response's first line.
	insideResponse = 8
)

func notRunCases() []notRunCase {
	return []notRunCase{
		{name: "no connection to any target", short: true, linksRefuse: true, ran: problem.RanNo},
		{name: "cut at the first byte of the request", closeAfterUp: 1, ran: problem.RanUnknown},
		{name: "cut inside the request's header", closeAfterUp: insideHeader, ran: problem.RanUnknown},
		{name: "cut at the first byte of the answer", closeAfterDown: 1, ran: problem.RanUnknown, executed: 1},
		{name: "cut inside the answer", closeAfterDown: insideResponse, ran: problem.RanUnknown, executed: 1},
		{name: "connections accepted and closed", linksClose: true, ran: problem.RanUnknown, maybeSent: true},
		{name: "connections closed at the first byte", linksCloseOnData: true, ran: problem.RanUnknown},
		{name: "target drops the call without running", fault: serviceFault{DropRequestNext: 1}, ran: problem.RanUnknown},
		{name: "target runs and cuts the answer", short: true, fault: serviceFault{DropResponseNext: 1}, ran: problem.RanUnknown, executed: 1},
		{name: "target runs and dies", short: true, fault: serviceFault{CrashNext: 1}, ran: problem.RanUnknown, executed: 1},
	}
}

// rejectionCases run in this order on one cluster. A target that rejected a call as
// leaving receives no new ones for a minute, so that no case can follow the last.
func rejectionCases() []notRunCase {
	return []notRunCase{
		{name: "one target refuses before running", fault: serviceFault{RejectNext: 1}, oneTarget: true, executed: 1},
		{name: "all targets refuse before running", fault: serviceFault{RejectNext: 1}, ran: problem.RanNo, last: true},
	}
}

// TestNotRunIsTrue checks the errors that callers receive when a call fails: a call that
// was reported as not run has not run, and when it is sent again it runs at most once.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	t.Run("cut positions and target faults", func(t *testing.T) {
		t.Parallel()
		defer acquireSlot()()
		c := startCluster(t, clusterSpec{hosts: 2, engines: 1, services: 2})
		for _, tc := range notRunCases() {
			t.Run(tc.name, func(t *testing.T) { runNotRunCase(t, c, tc) })
		}
	})
	t.Run("refusals", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer acquireSlot()()
		c := startCluster(t, clusterSpec{hosts: 2, engines: 1, services: 2})
		for _, tc := range rejectionCases() {
			t.Run(tc.name, func(t *testing.T) { runNotRunCase(t, c, tc) })
		}
	})
	t.Run("every byte of a call", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer acquireSlot()()
		summary := ""
		recordResult(t, "not run is true", "cut at positions over a whole request", &summary)
		summary = runCutPositions(t, startCluster(t, clusterSpec{hosts: 2, engines: 1, services: 2}))
	})
}

func runNotRunCase(t *testing.T, c *cluster, tc notRunCase) {
	if testing.Short() && !tc.short {
		t.Skip("not in the short form")
	}
	summary := ""
	recordResult(t, "not run is true", tc.name, &summary)
	defer c.restoreServices(t)
	for try := 1; ; try++ {
		key := fmt.Sprintf("%s-%d", validID(tc.name), try)
		answer := c.holdWithFault(t, tc, key)
		if tc.maybeSent && answer.failure != nil && answer.failure.Kind == problem.KindTargetFailed {
			tc.ran = problem.RanNo
		}
		if noticedBeforeCall(tc, answer) && try < maxInjections {
			require.Zero(t, c.executions()[key], "reported as not run")
			continue
		}
		requireRan(t, tc.ran, answer)
		require.Equal(t, tc.executed, c.executions()[key])
		summary = fmt.Sprintf("told %q after %s", valueOr(string(tc.ran), "answered"), answer.took.Round(time.Millisecond))
		if !tc.last {
			summary += c.checkResend(t, tc, key, answer)
		}
		return
	}
}

// maxInjections bounds how often a case's fault is injected until a call meets it.
const maxInjections = 5

// noticedBeforeCall reports whether the agents noticed the fault before the call
// arrived, so that it was rejected for lack of a target.
func noticedBeforeCall(tc notRunCase, answer plainAnswer) bool {
	return tc.ran == problem.RanUnknown && answer.failure != nil && answer.failure.Ran == problem.RanNo
}

// holdWithFault injects the case's fault and sends a seat hold.
func (c *cluster) holdWithFault(t *testing.T, tc notRunCase, key string) plainAnswer {
	t.Helper()
	c.restoreServices(t)
	c.awaitServices(t)
	for i, s := range c.services {
		if i == 0 || !tc.oneTarget {
			callAdmin(t, http.MethodPut, "http://"+s.direct+"/admin/fault", tc.fault)
		}
		tc.injectLinkFaults(t, s.link)
	}
	answer, err := c.hold(t, 0, key)
	require.NoError(t, err)
	return answer
}

// checkResend sends the call again through the other gateway, whose answer must agree
// with the first: a call that did not run runs now, one whose outcome is unknown does
// not, and one that was answered gets the same answer.
func (c *cluster) checkResend(t *testing.T, tc notRunCase, key string, answer plainAnswer) string {
	t.Helper()
	c.restoreServices(t)
	c.awaitServices(t)
	again, err := c.hold(t, 1, key)
	require.NoError(t, err)
	switch tc.ran {
	case problem.RanNo:
		require.Equal(t, http.StatusOK, again.status, again.body)
		require.Equal(t, 1, c.executions()[key])
	case problem.RanUnknown:
		requireRan(t, problem.RanUnknown, again)
		require.Equal(t, tc.executed, c.executions()[key])
	default:
		require.Equal(t, answer.body, again.body)
		require.Equal(t, 1, c.executions()[key])
	}
	return fmt.Sprintf(", ran %d times, resend agrees", c.executions()[key])
}

// injectLinkFaults injects the case's faults of a link.
func (tc notRunCase) injectLinkFaults(t *testing.T, link *harness.Proxy) {
	t.Helper()
	link.CloseAfterBytes(tc.closeAfterUp, tc.closeAfterDown)
	if tc.linksClose {
		link.SetMode(harness.CloseNew)
	}
	if tc.linksCloseOnData {
		link.SetMode(harness.CloseOnData)
	}
	if tc.linksRefuse {
		link.StopListening()
	}
	link.CloseConnections()
}

// validID replaces the characters of a text that a request id must not contain.
func validID(text string) string {
	id := []byte(text)
	for i, b := range id {
		if b <= ' ' || b > '~' || b == '/' {
			id[i] = '-'
		}
	}
	return string(id)
}

// requireRan requires that the call failed and its problem says want about whether the
// call ran, or that the call succeeded if want is empty.
func requireRan(t *testing.T, want problem.Ran, answer plainAnswer) {
	t.Helper()
	if want == "" {
		require.Nil(t, answer.failure)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		return
	}
	require.NotNilf(t, answer.failure, "status %d: %s", answer.status, answer.body)
	require.Equal(t, want, answer.failure.Ran, answer.failure.Error())
}

// hold sends a seat hold, a non-idempotent call, with the key also as its berth.
func (c *cluster) hold(t testing.TB, gateway int, key string) (plainAnswer, error) {
	return callPlain(t, c.hosts[gateway].callerURL, keyDesk, http.MethodPost, "/services/booking/seat-holds", key, `{"berth":"`+key+`"}`)
}

// restoreServices ends all faults of the services and restarts those that have
// exited.
func (c *cluster) restoreServices(t *testing.T) {
	t.Helper()
	for _, s := range c.services {
		s.link.SetMode(harness.Pass)
		s.link.CloseAfterBytes(0, 0)
		// A process that does not answer is about to exit.
		if tryCallAdmin(http.MethodPut, "http://"+s.direct+"/admin/fault", serviceFault{}) != nil {
			s.process.Restart(t)
			c.awaitTarget(s)
			s.link.Reopen(t, s.process)
			continue
		}
		s.link.Listen(t)
	}
}

// awaitServices waits until every host considers every target healthy and every
// gateway serves a lookup.
func (c *cluster) awaitServices(t *testing.T) {
	t.Helper()
	harness.Await(t, readyTimeout, "healthy targets on every host", c.targetsHealthy)
	harness.Await(t, readyTimeout, "lookups through every gateway", func() bool {
		for _, h := range c.hosts {
			answer, err := callPlain(t, h.callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
			if err != nil || answer.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// runCutPositions closes the link at random positions of request and response, with a
// new key each time. Closing all connections before makes the call use a new one, so
// that positions count from the call's first byte.
func runCutPositions(t *testing.T, c *cluster) string {
	const positions = 40
	reported := make(map[problem.Ran]int)
	r := randomFor(t)
	for i := range positions {
		up, down := 0, 0
		if i%2 == 0 {
			up = 1 + r.IntN(400) // a request has some 300 bytes
		} else {
			down = 1 + r.IntN(250) // an answer has some 180 bytes
		}
		for _, s := range c.services {
			s.link.CloseAfterBytes(up, down)
			s.link.CloseConnections()
		}
		key := fmt.Sprintf("position-%d", i)
		answer, err := c.hold(t, 0, key)
		require.NoError(t, err)
		ran := c.executions()[key]
		require.LessOrEqualf(t, ran, 1, "closed after %d bytes up, %d down", up, down)
		switch {
		case answer.failure == nil:
			require.Equalf(t, 1, ran, "answered; closed after %d bytes up, %d down", up, down)
			reported[problem.RanYes]++
		default:
			reported[answer.failure.Ran]++
			if answer.failure.Ran == problem.RanNo {
				c.checkStaysNotRun(t, key)
			}
		}
	}
	return fmt.Sprintf("%d positions: %d answered, %d unknown, %d not run, none ran twice or against its answer",
		positions, reported[problem.RanYes], reported[problem.RanUnknown], reported[problem.RanNo])
}

// checkStaysNotRun requires that a call that was reported as not run has not run.
func (c *cluster) checkStaysNotRun(t *testing.T, key string) {
	t.Helper()
	require.Zerof(t, c.executions()[key], "key %s was reported as not run", key)
}
