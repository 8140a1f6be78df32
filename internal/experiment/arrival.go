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

// Arrival is a request of the scenario. All policies receive the same arrivals.
type Arrival struct {
	ID            string
	At            time.Duration // since the start
	Account       *Account
	Class         *Class
	Prompt        int      // tokens
	Output        int      // tokens that it will produce, not known to the policy
	Hashes        []uint64 // of the prompt's whole blocks
	Fingerprint   uint64
	CrashesEngine bool
}

// Arrivals generates the requests of a scenario from the seed, in order of arrival.
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

// accountArrivals generates the requests of one account as a Poisson process, whose rate
// a surge multiplies. The additional requests of the surge use a separate random stream,
// so that the other requests are the same with and without it.
func accountArrivals(s *Scenario, index int, seed uint64, rate float64) []Arrival {
	a := &s.Accounts[index]
	accountRate := rate * a.Share / totalAccountShare(s)
	r := rand.New(rand.NewPCG(seed, uint64(index)))
	list := poissonArrivals(s, a, r, accountRate, 0, s.Seconds, "")
	if s.Surge != nil && s.Surge.Account == a.Name {
		surgeRand := rand.New(rand.NewPCG(seed, uint64(index)+1<<32))
		list = append(list, poissonArrivals(s, a, surgeRand, accountRate*(s.Surge.Factor-1), s.Surge.From, s.Surge.To, "surge-")...)
	}
	return list
}

// poissonArrivals generates requests at a rate per second between two times in seconds.
func poissonArrivals(s *Scenario, a *Account, r *rand.Rand, rate, from, to float64, idLabel string) []Arrival {
	var list []Arrival
	for at := from + r.ExpFloat64()/rate; at < to; at += r.ExpFloat64() / rate {
		c := pickClass(s, r)
		id := fmt.Sprintf("%s-%s%d", a.Name, idLabel, len(list))
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
		Hashes: prefixHashes(a.Name, c, id, prompt), Fingerprint: xxhash.Sum64String(id),
	}
}

// maxPromptTokens limits the random part of a prompt's length.
const maxPromptTokens = 16384

// prefixHashes returns hashes for the whole blocks of a prompt: first those shared by all
// prompts of the class and account, then its own.
func prefixHashes(account string, c *Class, id string, prompt int) []uint64 {
	blocks := prompt / prefix.BlockTokens
	shared := c.SharedPrefix / prefix.BlockTokens
	list := make([]uint64, blocks)
	for i := range list {
		scope := id
		if i < shared {
			scope = account + "/" + c.Name
		}
		list[i] = xxhash.Sum64String(fmt.Sprintf("%s/%d", scope, i))
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
	point := r.Float64() * totalClassShare(s)
	for i := range s.Classes {
		point -= s.Classes[i].Share
		if point < 0 {
			return &s.Classes[i]
		}
	}
	return &s.Classes[len(s.Classes)-1]
}

func totalClassShare(s *Scenario) float64 {
	sum := 0.0
	for i := range s.Classes {
		sum += s.Classes[i].Share
	}
	return sum
}

func totalAccountShare(s *Scenario) float64 {
	sum := 0.0
	for i := range s.Accounts {
		sum += s.Accounts[i].Share
	}
	return sum
}
