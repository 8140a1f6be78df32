// Package document defines the environment document: which models, adapters
// and versions serve which client accounts, at what priority and under which
// limits, and how plain services are routed.
//
// A document is immutable once accepted. Its revision is a counter in the store
// record (see Accepted) and independent of the store's own revisions.
package document

import "time"

// APIVersion is the only value of the apiVersion field that is accepted.
const APIVersion = "corianderhitch/v1"

// Document is the configuration of one environment.
type Document struct {
	APIVersion  string      `yaml:"apiVersion" json:"apiVersion"`
	Environment string      `yaml:"environment" json:"environment"` // for example "trial" or "production"
	Objectives  Objectives  `yaml:"objectives" json:"objectives"`
	Models      []Model     `yaml:"models" json:"models"`
	Classes     []Class     `yaml:"classes,omitempty" json:"classes,omitempty"`
	Accounts    []Account   `yaml:"accounts" json:"accounts"`
	Services    []Service   `yaml:"services,omitempty" json:"services,omitempty"`
	Retention   Retention   `yaml:"retention,omitempty" json:"retention,omitempty"`
	Placements  []Placement `yaml:"placements,omitempty" json:"placements,omitempty"`
}

// Objectives holds the relative weights of the quantities that scheduling
// minimizes, and latency targets. The sum of the weights must be above zero.
type Objectives struct {
	StallTime       float64 `yaml:"stallTime" json:"stallTime"`
	Preemptions     float64 `yaml:"preemptions" json:"preemptions"`
	InterTokenTail  float64 `yaml:"interTokenTail" json:"interTokenTail"`
	FirstTokenMS    int     `yaml:"firstTokenMs,omitempty" json:"firstTokenMs,omitempty"`       // 95th percentile target, default 800
	InterTokenMS    int     `yaml:"interTokenMs,omitempty" json:"interTokenMs,omitempty"`       // 95th percentile target, default 34
	OverflowPercent float64 `yaml:"overflowPercent,omitempty" json:"overflowPercent,omitempty"` // accepted probability of memory overflow per target, default 1
}

// Model is a model with its versions and adapters.
type Model struct {
	Name      string   `yaml:"name" json:"name"`
	Versions  []string `yaml:"versions" json:"versions"`
	Adapters  []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	MaxTokens int      `yaml:"maxTokens" json:"maxTokens"` // maximum output length
	// ContinueFromPrefix allows an engine to continue a generation from the tokens
	// that another engine produced with the same version and adapter.
	ContinueFromPrefix bool `yaml:"continueFromPrefix,omitempty" json:"continueFromPrefix,omitempty"`
}

// Class is a request class: its priority, deadline and whether its answers may be
// delivered late. Names are free; "interactive" and "late" exist by default.
type Class struct {
	Name          string `yaml:"name" json:"name"`
	Priority      int    `yaml:"priority" json:"priority"` // 0 (lowest) to 9
	MayArriveLate bool   `yaml:"mayArriveLate,omitempty" json:"mayArriveLate,omitempty"`
	DeadlineMS    int    `yaml:"deadlineMs,omitempty" json:"deadlineMs,omitempty"` // maximum wait for the first token; 0 means the default
}

// Account is a client account.
type Account struct {
	Name      string   `yaml:"name" json:"name"`
	KeyHashes []string `yaml:"keyHashes" json:"keyHashes"`               // "sha256:<hex>" of each valid key; several during key rotation
	Weight    float64  `yaml:"weight,omitempty" json:"weight,omitempty"` // fair share under contention, default 1
	Limits    Limits   `yaml:"limits,omitempty" json:"limits,omitempty"`
	Serves    []Grant  `yaml:"serves,omitempty" json:"serves,omitempty"`
	Services  []string `yaml:"services,omitempty" json:"services,omitempty"` // plain services that the account may call
}

// Limits are an account's limits across all gateways. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerMinute   float64 `yaml:"tokensPerMinute,omitempty" json:"tokensPerMinute,omitempty"`
	Concurrent        int     `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
	Queued            int     `yaml:"queued,omitempty" json:"queued,omitempty"`
	PendingLate       int     `yaml:"pendingLate,omitempty" json:"pendingLate,omitempty"`
}

// Grant allows an account to use one version of a model, with or without an adapter.
type Grant struct {
	Model   string `yaml:"model" json:"model"`
	Version string `yaml:"version" json:"version"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	Class   string `yaml:"class,omitempty" json:"class,omitempty"` // default "interactive"
}

// Service is a plain service. Its targets come from the platform's host list.
type Service struct {
	Name   string  `yaml:"name" json:"name"`
	Routes []Route `yaml:"routes" json:"routes"`
}

// Route matches calls of a plain service by path prefix and method.
type Route struct {
	Path    string   `yaml:"path" json:"path"`
	Methods []string `yaml:"methods" json:"methods"`
	// Idempotent allows calls to be retried and hedged. Without it, a call runs at
	// most once per Idempotency-Key, which its caller must send.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	Priority   int  `yaml:"priority,omitempty" json:"priority,omitempty"`
	TimeoutMS  int  `yaml:"timeoutMs,omitempty" json:"timeoutMs,omitempty"` // default 5000
}

// Retention sets how long the store keeps results.
type Retention struct {
	LateAnswerHours  int `yaml:"lateAnswerHours,omitempty" json:"lateAnswerHours,omitempty"`   // default 72
	CallOutcomeHours int `yaml:"callOutcomeHours,omitempty" json:"callOutcomeHours,omitempty"` // default 72
}

// Placement sets how many engines serve a model version.
type Placement struct {
	Model    string   `yaml:"model" json:"model"`
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Replicas int      `yaml:"replicas" json:"replicas"`
}

// Accepted is an accepted document with its revision and who changed it. Revision
// starts at 1 and usually grows by one with every accepted change.
type Accepted struct {
	Revision   int64     `json:"revision"`
	Document   Document  `json:"document"`
	Operator   string    `json:"operator"`
	Comment    string    `json:"comment,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	Origin     string    `json:"origin,omitempty"` // "apply", "promote trial@7", "rollback 3"
}
