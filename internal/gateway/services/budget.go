package services

import (
	"sync"

	"github.com/rotisserie/eris"
)

// errNoFurtherAttempt means that the call has been sent to maxTargets targets.
var errNoFurtherAttempt = eris.New("services: no further attempt is allowed for this call")

// maxSavedAttempts bounds the attempts that a budget accumulates, so that an hour
// without retries doesn't allow a burst of them.
const maxSavedAttempts = 20

// budget limits extra attempts to a share of the calls. It is safe for concurrent use.
type budget struct {
	share float64

	mu    sync.Mutex
	saved float64 // guarded by mu
}

func newBudget(share float64) *budget { return &budget{share: share, saved: maxSavedAttempts / 2} }

// earn adds a call's share of an attempt.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, maxSavedAttempts)
}

// spend takes one extra attempt from the budget and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
