// Package drill starts whole deployments as real processes on loopback, disturbs them, and
// records what callers, targets and the operator see.
package drill

import (
	"net"
	"net/http"
	"time"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// Platform provides stand-ins for the platform that a deployment runs on, and speaks its
// protocol as callers do.
type Platform interface {
	// ReadDeployment reads a deployment's description in the platform's own format.
	ReadDeployment(path string) (*deployment.Deployment, error)
	// ReadyPath is the path of the hosts' readiness endpoint.
	ReadyPath() string
	// CallerAddress is the address at which a host serves callers.
	CallerAddress(ip string) string
	// ReadyAddress is the address of a host's readiness endpoint.
	ReadyAddress(ip string) string
	// HostSettings encodes the settings file of a host.
	HostSettings(d *deployment.Deployment, h HostSettings) ([]byte, error)
	// NewStore returns an empty store.
	NewStore(d *deployment.Deployment, seed uint64) Store
	// NewTargets returns the factory of a run's targets.
	NewTargets(d *deployment.Deployment, seed uint64, log *record.Log) Targets
	// RequestHeader returns the headers of a caller's request.
	RequestHeader(c *Call) http.Header
	// Address returns the host and path prefix of a route.
	Address(route string) (host, prefix string)
	// Signed reports whether a response bears a target's signature.
	Signed(h http.Header) bool
}

// HostSettings is the part of a host's settings that differs between hosts.
type HostSettings struct {
	Name, IP, Domain, Store string
	First                   bool // the whole system starts for the first time
}

// Call is a caller's request.
type Call struct {
	ID          string
	Key         string // API key
	Deadline    time.Duration
	Kind        *deployment.Kind
	Prompt      int // tokens
	Output      int // events
	Parts       []PromptPart
	LengthHint  int // tokens, 0 for none
	ResumeAfter int // last event that the caller has; 0 for a new stream
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Store is a stand-in for the platform's store as the operator and the targets use it.
type Store interface {
	http.Handler
	// PutConfiguration writes a configuration and returns when it is acknowledged.
	PutConfiguration(c *Configuration) error
	// SetEvacuated sets or removes the evacuation of a failure domain, and returns when that is
	// acknowledged.
	SetEvacuated(domain string, evacuated bool) error
	// PutTarget writes a target's entry and returns when it is acknowledged.
	PutTarget(t Target, s *deployment.Service, leaving bool) error
	// RemoveTarget removes a target's entry.
	RemoveTarget(t Target) error
	// Slow delays all calls of hosts.
	Slow(d time.Duration)
	// SetOutage makes all calls of hosts fail.
	SetOutage(on bool)
}

// Configuration is a version of the routing configuration.
type Configuration struct {
	Version  int
	Timeouts map[string]time.Duration // by route
	Services map[string]string        // by route
	Weights  map[string]int           // by route; weight of its service against Others, out of 100
	Others   map[string]string        // by route; service of the remaining weight
	Keys     [][]string               // by client account
	Extra    int                      // routes that nobody uses
}

// Targets starts targets.
type Targets interface {
	Start(id string, s *deployment.Service, domain string, listener net.Listener) Target
	// OnCrash sets what is called when a request crashes a target. Call it before Start.
	OnCrash(f func(id string))
	// Cut makes all targets reset new connections from an IP address, and its open ones too if
	// reset is set; the others live on. It lasts until Heal.
	Cut(ip string, reset bool)
	Heal(ip string)
	// SetBrittle makes all targets of a service, also later ones, state that they fall over once
	// they reject more requests than that within a second, and do so; 0 ends it.
	SetBrittle(service string, rejections int)
	// OnFall sets what is called when a brittle target falls over. Call it before Start.
	OnFall(f func(id string))
}

// CrashingPart begins the ids of parts of prompts that crash engines, and the last segments of
// paths that crash plain targets.
const CrashingPart = "dead"

// Ailment is what goes wrong with requests at a target whose health check is good.
type Ailment string

// The ailments of targets.
const (
	Hanging       Ailment = "hanging"
	Failing       Ailment = "failing"
	Resetting     Ailment = "resetting"
	LosingAnswers Ailment = "losing_answers"
)

// CallAilment is what goes wrong with control calls at an engine whose other requests are served.
type CallAilment string

// The ailments of control calls.
const (
	CallsHang       CallAilment = "calls_hang"
	CallsReset      CallAilment = "calls_reset"
	CallsFail       CallAilment = "calls_fail"
	AnswersLost     CallAilment = "answers_lost"     // what is asked for is done
	AnswersRepeated CallAilment = "answers_repeated" // written once more before the next answer on the connection
)

// Target is a stand-in for a target.
type Target interface {
	ID() string
	Domain() string
	Address() string
	// Leave makes the target state that it leaves; it goes on serving.
	Leave()
	// Ail makes something go wrong with a share of the requests, until Recover.
	Ail(kind Ailment, share float64)
	Recover()
	// AilCalls makes something go wrong with a share of the control calls, 0 for none.
	AilCalls(kind CallAilment, share float64)
	// LoseStreams resets the connections of a share of the streams of an engine, which goes on with the runs.
	LoseStreams(share float64)
	// Pause makes the target reject all requests until d has passed, and ask for a pause until then.
	Pause(d time.Duration)
	// Limit makes the target name a limit of requests a second in all its answers; 0 ends it.
	Limit(perSecond float64)
	// End ends the target and resets or closes its connections.
	End(reset bool)
}
