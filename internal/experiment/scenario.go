package experiment

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v4"

	"corianderhitch/internal/document"
)

// Scenario describes a pool of engines, its load and its faults, in virtual time.
type Scenario struct {
	Name string `yaml:"name"`
	// Seconds is the length of the arrival window. Requests that are open at its end
	// continue for at most DrainSeconds.
	Seconds      float64 `yaml:"seconds"`
	DrainSeconds float64 `yaml:"drainSeconds"`
	Targets      int     `yaml:"targets"`
	Gateways     int     `yaml:"gateways"`
	// LinkMS is the one-way delay between any two processes.
	LinkMS  float64 `yaml:"linkMs"`
	Engine  Engine  `yaml:"engine"`
	Reports Reports `yaml:"reports"`
	// Load is the offered load as a fraction of the capacity that Capacity returns.
	Load       float64             `yaml:"load"`
	Classes    []Class             `yaml:"classes"`
	Accounts   []Account           `yaml:"accounts"`
	Surge      *Surge              `yaml:"surge,omitempty"`
	Faults     []Fault             `yaml:"faults,omitempty"`
	Objectives document.Objectives `yaml:"objectives"`
	// ContinueFromPrefix allows another engine to continue a generation.
	ContinueFromPrefix bool `yaml:"continueFromPrefix"`
	// CompareLostStreams also runs each policy with every other way of LostStreams.
	CompareLostStreams bool `yaml:"compareLostStreams"`
	// DetectionMS is the longest time until a gateway detects a stalled link or a
	// killed engine and resumes the generation or runs it again.
	DetectionMS float64 `yaml:"detectionMs"`
}

// Engine configures the memory and speed of each engine.
type Engine struct {
	Blocks               int     `yaml:"blocks"`
	BlockTokens          int     `yaml:"blockTokens"`
	MaxBatch             int     `yaml:"maxBatch"`
	StepBaseMS           float64 `yaml:"stepBaseMs"`
	StepPerSequenceMS    float64 `yaml:"stepPerSequenceMs"`
	PrefillMSPerToken    float64 `yaml:"prefillMsPerToken"`
	PrefillTokensPerStep int     `yaml:"prefillTokensPerStep"`
}

// Reports configures the delay and loss of the engines' load reports and cache events.
type Reports struct {
	EveryMS          float64 `yaml:"everyMs"`
	LagMS            float64 `yaml:"lagMs"`
	CacheLagMS       float64 `yaml:"cacheLagMs"`
	CacheLossPercent float64 `yaml:"cacheLossPercent"`
}

// Class describes a kind of request.
type Class struct {
	Name         string       `yaml:"name"`
	Share        float64      `yaml:"share"` // of the requests
	Priority     int          `yaml:"priority"`
	LateDelivery bool         `yaml:"mayBeLate"`
	Lookup       bool         `yaml:"lookup"` // included in lookup_p99_ms
	DeadlineMS   float64      `yaml:"deadlineMs"`
	MaxTokens    int          `yaml:"maxTokens"`
	Prompt       Distribution `yaml:"prompt"`
	Output       Distribution `yaml:"output"`
	// SharedPrefix is the number of tokens that begin all prompts of the class and
	// account.
	SharedPrefix int `yaml:"sharedPrefix"`
}

// Account describes a client account.
type Account struct {
	Name   string  `yaml:"name"`
	Share  float64 `yaml:"share"` // of the requests
	Weight float64 `yaml:"weight"`
	Large  bool    `yaml:"large"` // not included in lookup_p99_ms
	// OutputFactor multiplies the lengths of the account's outputs; 0 means 1.
	OutputFactor float64 `yaml:"outputFactor"`
}

// Surge multiplies the arrival rate of one account between two times.
type Surge struct {
	Account string  `yaml:"account"`
	Factor  float64 `yaml:"factor"`
	From    float64 `yaml:"from"` // seconds
	To      float64 `yaml:"to"`   // seconds
}

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of faults.
const (
	FaultKill    FaultKind = "kill"    // the engine crashes and restarts empty after Seconds
	FaultReclaim FaultKind = "reclaim" // the engine is leaving, stops after GraceSeconds and restarts Seconds later
	FaultStall   FaultKind = "stall"   // the link from the engine delivers nothing for Seconds
	FaultCrash   FaultKind = "crash"   // a request arrives that crashes every engine that runs it
	FaultPause   FaultKind = "pause"   // the engine rejects new generations for Seconds and says so
	FaultSilence FaultKind = "silence" // the engine makes no step for Seconds, keeps everything and goes on
)

// Fault is a fault that is injected at a time of the scenario.
type Fault struct {
	Kind         FaultKind `yaml:"kind"`
	At           float64   `yaml:"at"` // seconds
	Target       int       `yaml:"target"`
	Seconds      float64   `yaml:"seconds"`
	GraceSeconds float64   `yaml:"graceSeconds"`
}

// Load reads and validates a scenario file. An unknown field is an error that names the
// field.
func Load(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, eris.Wrapf(err, "read scenario file %s; pass an existing one as --scenario-file", path)
	}
	return Parse(data)
}

// Parse parses and validates a scenario in YAML.
func Parse(data []byte) (Scenario, error) {
	var s Scenario
	if err := yaml.Load(data, &s, yaml.WithKnownFields()); err != nil {
		return Scenario{}, eris.Wrap(err, "parse scenario; correct the named field")
	}
	return s, s.check()
}

// hasPauses reports whether targets pause.
func (s *Scenario) hasPauses() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == FaultPause })
}

// check returns an error that says what is missing from or wrong with the scenario.
func (s *Scenario) check() error {
	switch {
	case s.Targets < 1:
		return eris.New("scenario has no targets; set targets to 1 or more")
	case s.Gateways < 1:
		return eris.New("scenario has no gateways; set gateways to 1 or more")
	case len(s.Classes) == 0 || len(s.Accounts) == 0:
		return eris.New("scenario has no classes or no accounts; list at least one of each")
	case s.Seconds <= 0 || s.DrainSeconds <= 0 || s.Load <= 0:
		return eris.New("scenario has no duration or no load; set seconds, drainSeconds and load above 0")
	case s.Reports.EveryMS <= 0:
		return eris.New("scenario has no load reports; set reports.everyMs above 0")
	}
	e := s.Engine
	if e.Blocks < 1 || e.BlockTokens < 1 || e.MaxBatch < 1 || e.StepBaseMS <= 0 || e.PrefillTokensPerStep < 1 {
		return eris.New("scenario's engine is incomplete; set blocks, blockTokens, maxBatch, stepBaseMs and prefillTokensPerStep above 0")
	}
	for _, f := range s.Faults {
		if f.Target < 0 || f.Target >= s.Targets {
			return eris.Errorf("fault at %g s names target %d of %d; choose one from 0", f.At, f.Target, s.Targets)
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) check() error {
	if c.MaxTokens < 1 || c.Share <= 0 {
		return eris.Errorf("class %s needs maxTokens and share above 0", c.Name)
	}
	if err := c.Prompt.check(); err != nil {
		return eris.Wrapf(err, "class %s, prompt", c.Name)
	}
	return eris.Wrapf(c.Output.check(), "class %s, output", c.Name)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
