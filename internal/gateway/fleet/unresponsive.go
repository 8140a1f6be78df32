package fleet

import "time"

// unresponsivePeriod is how long an agent that did not answer is asked last or not at
// all.
const unresponsivePeriod = 5 * time.Second

// callPurpose is what an agent is called for. Unresponsive agents are tracked for each
// purpose separately: an agent that is slow for one purpose, or was not up when this
// gateway started, must not be skipped for admissions as well. Gateways that skip a
// pool's owner ask other hosts, and the pool then has concurrent owners.
type callPurpose string

// The purposes of calls to agents.
const (
	purposeAdmission callPurpose = "admission"
	purposeDirectory callPurpose = "directory"
	purposeSnapshot  callPurpose = "snapshot" // also for reports of events
)

// agentPurpose identifies an agent's calls for one purpose.
type agentPurpose struct {
	purpose callPurpose
	agent   string
}

// markUnresponsive records that an agent did not answer a call.
func (f *Fleet) markUnresponsive(purpose callPurpose, agent string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive[agentPurpose{purpose, agent}] = time.Now().Add(unresponsivePeriod)
}

// isUnresponsive reports whether an agent did not answer within unresponsivePeriod.
func (f *Fleet) isUnresponsive(purpose callPurpose, agent string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.unresponsive[agentPurpose{purpose, agent}])
}
