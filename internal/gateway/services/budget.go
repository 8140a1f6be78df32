package services

import (
	"sync"

	"github.com/rotisserie/eris"
)

// errNoAttempt means that no further attempt is allowed.
var errNoAttempt = eris.New("services: no further attempt is allowed for this call")

// budgetCap bounds the attempts that may be saved up, so that a calm hour does
// not pay for a storm of retries.
const budgetCap = 20

// budget allows extra attempts as a share of calls. It is safe for concurrent use.
type budget struct {
	share float64

	mu    sync.Mutex
	saved float64 // guarded by mu
}

func newBudget(share float64) *budget { return &budget{share: share, saved: budgetCap / 2} }

// earn counts a call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, budgetCap)
}

// spend takes one extra attempt if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
