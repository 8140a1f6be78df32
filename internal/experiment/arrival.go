package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/prefix"
)

// Arrival is a request of the scenario. All policies get the same arrivals.
type Arrival struct {
	ID            string
	At            time.Duration // since the start
	Account       *Account
	Class         *Class
	Prompt        int // tokens
	Output        int // tokens that it will produce, unknown to the policy
	Hashes        []uint64
	Fingerprint   uint64
	CrashesEngine bool
}

// Arrivals draws the requests of a scenario from the seed, in order of time.
func Arrivals(s *Scenario, seed uint64) []Arrival {
	var all []Arrival
	rate := s.Load * Capacity(s).RequestsPerSecond
	for i := range s.Accounts {
		all = append(all, accountArrivals(s, i, seed, rate)...)
	}
	for i, f := range s.Faults {
		if f.Kind == FaultCrash {
			all = append(all, crashingArrival(s, f, i))
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// accountArrivals draws a Poisson process whose rate the surge multiplies. The
// surge's additional requests come from a stream of their own, so that all
// others are the same with and without it.
func accountArrivals(s *Scenario, index int, seed uint64, rate float64) []Arrival {
	a := &s.Accounts[index]
	own := rate * a.Share / accountShares(s)
	r := rand.New(rand.NewPCG(seed, uint64(index)))
	list := poisson(s, a, r, own, 0, s.Seconds, "")
	if s.Surge != nil && s.Surge.Account == a.Name {
		extra := rand.New(rand.NewPCG(seed, uint64(index)+1<<32))
		list = append(list, poisson(s, a, extra, own*(s.Surge.Factor-1), s.Surge.From, s.Surge.To, "surge-")...)
	}
	return list
}

func poisson(s *Scenario, a *Account, r *rand.Rand, rate, from, to float64, label string) []Arrival {
	var list []Arrival
	for at := from + r.ExpFloat64()/rate; at < to; at += r.ExpFloat64() / rate {
		c := pickClass(s, r)
		id := fmt.Sprintf("%s-%s%d", a.Name, label, len(list))
		list = append(list, newArrival(id, seconds(at), a, c, r))
	}
	return list
}

func newArrival(id string, at time.Duration, a *Account, c *Class, r *rand.Rand) Arrival {
	prompt := c.SharedPrefix + c.Prompt.draw(r, maxPromptTokens)
	output := c.Output
	factor := a.OutputFactor
	if factor == 0 {
		factor = 1
	}
	length := int(min(float64(c.MaxTokens), max(1, factor*float64(output.draw(r, c.MaxTokens)))))
	return Arrival{
		ID: id, At: at, Account: a, Class: c, Prompt: prompt, Output: length,
		Hashes: hashes(a.Name, c, id, prompt), Fingerprint: xxhash.Sum64String(id),
	}
}

// maxPromptTokens bounds a drawn prompt.
const maxPromptTokens = 16384

// hashes names the whole blocks of a prompt: first those that the class and
// account share, then its own.
func hashes(account string, c *Class, id string, prompt int) []uint64 {
	blocks := prompt / prefix.BlockTokens
	shared := c.SharedPrefix / prefix.BlockTokens
	list := make([]uint64, blocks)
	for i := range list {
		owner := id
		if i < shared {
			owner = account + "/" + c.Name
		}
		list[i] = xxhash.Sum64String(fmt.Sprintf("%s/%d", owner, i))
	}
	return list
}

func crashingArrival(s *Scenario, f Fault, index int) Arrival {
	r := rand.New(rand.NewPCG(uint64(index), 1))
	a := newArrival(fmt.Sprintf("crashing-%d", index), seconds(f.At), &s.Accounts[0], &s.Classes[0], r)
	a.CrashesEngine = true
	return a
}

func pickClass(s *Scenario, r *rand.Rand) *Class {
	at := r.Float64() * classShares(s)
	for i := range s.Classes {
		at -= s.Classes[i].Share
		if at < 0 {
			return &s.Classes[i]
		}
	}
	return &s.Classes[len(s.Classes)-1]
}

func classShares(s *Scenario) float64 {
	sum := 0.0
	for i := range s.Classes {
		sum += s.Classes[i].Share
	}
	return sum
}

func accountShares(s *Scenario) float64 {
	sum := 0.0
	for i := range s.Accounts {
		sum += s.Accounts[i].Share
	}
	return sum
}
