package load

import (
	"errors"
	"net/http"
	"time"
)

// MixSettings are the flags that describe the workload.
type MixSettings struct {
	Seed         int           `flag:"seed" default:"1" usage:"seed of the arrivals" validate:"min=0"`
	Rate         float64       `flag:"rate" default:"20" usage:"requests per second" validate:"gt=0"`
	Duration     time.Duration `flag:"duration" default:"20s" usage:"time during which requests arrive" validate:"min=100ms"`
	LookupShare  float64       `flag:"lookup-share" default:"0.2" usage:"share of idempotent calls of the plain service, 0 to 1" validate:"min=0,max=1"`
	HoldShare    float64       `flag:"hold-share" default:"0.05" usage:"share of calls that may run at most once, 0 to 1" validate:"min=0,max=1"`
	MedianTokens float64       `flag:"median-tokens" default:"120" usage:"median output length in tokens" validate:"gt=0"`
	SigmaTokens  float64       `flag:"sigma-tokens" default:"1" usage:"sigma of the lognormal output length" validate:"min=0"`
	MaxTokens    int           `flag:"max-tokens" default:"4000" usage:"largest output length in tokens" validate:"min=1"`
	PromptTokens int           `flag:"prompt-tokens" default:"400" usage:"mean prompt length in tokens" validate:"min=1"`
}

// CallerSettings are the flags that describe the requests' destination.
type CallerSettings struct {
	Keys    []string `flag:"keys" usage:"keys of client accounts; the first sends half of all requests" validate:"min=1" secret:"true"`
	Model   string   `flag:"model" default:"briefing" usage:"model that is asked for" validate:"required"`
	Service string   `flag:"service" default:"booking" usage:"plain service that is called" validate:"required"`
	Out     string   `flag:"out" usage:"directory for result.json and plots; empty writes none"`
}

// Mix returns the workload for a number of client accounts.
func (s MixSettings) Mix(accounts int) Mix {
	return Mix{
		Seed:              uint64(s.Seed),
		RequestsPerSecond: s.Rate,
		Duration:          s.Duration,
		Accounts:          accounts,
		LookupShare:       s.LookupShare,
		HoldShare:         s.HoldShare,
		MedianTokens:      s.MedianTokens,
		SigmaTokens:       s.SigmaTokens,
		MaxTokens:         s.MaxTokens,
		PromptTokens:      s.PromptTokens,
	}
}

// ErrShareSum is returned if the shares of lookups and holds exceed 1 in total.
var ErrShareSum = errors.New("load: the sum of --lookup-share and --hold-share exceeds 1; lower one of them")

func (s MixSettings) validate() error {
	if s.LookupShare+s.HoldShare > 1 {
		return ErrShareSum
	}
	return nil
}

// maxIdlePerHost is large enough that all connections of finished streams can be reused.
const maxIdlePerHost = 4096

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}}
}
