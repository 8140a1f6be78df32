package targetspeed

import (
	"math"
	"slices"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// idleHalfLife is the time in which the logarithm of a factor halves while a target has no samples,
	// so that it is tried again.
	idleHalfLife = 4 * time.Second
	// recordLifetime is how long a target without samples is remembered.
	recordLifetime = 30 * time.Second
	// minTrust is the trust from which a target counts for the median of its service.
	minTrust = 0.3
	// minFactor and maxFactor bound factors.
	minFactor, maxFactor = 0.2, 10.0
	// minChange is by how much an estimate must differ from the factor in force, as a ratio, to replace it.
	minChange = 1.15
	// halfDecimal is by how much rounding changes a factor at most.
	halfDecimal = 0.05
)

// Band is the range of estimates around 1 that count as 1: a factor is in force from Enter on, or
// from 1/Enter down, and until the estimate is within Leave or 1/Leave again.
type Band struct{ Enter, Leave float64 }

// record is what is known of a target.
type record struct {
	sums   Sums              // as of at
	at     bootclock.Instant // of the last sample
	factor float64           // in force
}

// Service lists the targets of a service.
type Service struct {
	Name    string
	Targets []string // incarnations
}

// Change is a target whose factor has begun or ceased to differ from 1.
type Change struct {
	Target, Service string
	Factor          float64
	Samples         float64       // seconds of runs or number of calls that the estimate rests on
	Trust           float64       // in the estimate, from 0 to 1
	Age             time.Duration // of the last sample
}

// Estimator estimates the factors of targets from samples. It has no clock; it isn't safe for
// concurrent use.
type Estimator struct {
	band    Band
	records map[ID]*record
}

// NewEstimator returns an estimator without samples.
func NewEstimator(band Band) *Estimator {
	return &Estimator{band: band, records: make(map[ID]*record)}
}

// Add adds samples of a target.
func (e *Estimator) Add(target ID, s Sums, now bootclock.Instant) {
	r := e.records[target]
	if r == nil {
		r = &record{factor: 1, at: now}
		e.records[target] = r
	}
	r.sums, r.at = r.sums.decayed(now.Sub(r.at)).Plus(s), now
}

// Update estimates the factors of all targets anew and returns which have begun or ceased to differ
// from 1.
func (e *Estimator) Update(services []Service, now bootclock.Instant) (changes []Change) {
	for id, r := range e.records {
		if now.Sub(r.at) > recordLifetime {
			delete(e.records, id)
		}
	}
	for _, s := range services {
		changes = append(changes, e.updateService(s, now)...)
	}
	return changes
}

// updateService is Update for the targets of one service.
func (e *Estimator) updateService(s Service, now bootclock.Instant) (changes []Change) {
	type estimate struct {
		target     string
		r          *record
		log, trust float64
		amount     float64
	}
	var estimates []estimate
	var trusted []float64
	half := e.halfCalls(s)
	for _, target := range s.Targets {
		r := e.records[IDOf(target)]
		if r == nil {
			continue
		}
		log, trust := r.sums.slowness(half)
		trust *= decay(now.Sub(r.at), idleHalfLife)
		estimates = append(estimates, estimate{target, r, log, trust, r.sums.Decode + r.sums.First + r.sums.Calls})
		if trust >= minTrust {
			trusted = append(trusted, log)
		}
	}
	median, known := medianOf(trusted)
	for _, x := range estimates {
		next := 1.0
		if known {
			next = e.band.next(x.r.factor, math.Exp((x.log-median)*x.trust))
		}
		if (next == 1) != (x.r.factor == 1) {
			changes = append(changes, Change{Target: x.target, Service: s.Name, Factor: next, Samples: x.amount, Trust: x.trust, Age: now.Sub(x.r.at)})
		}
		x.r.factor = next
	}
	return changes
}

// halfCalls is that of a service.
func (e *Estimator) halfCalls(s Service) float64 {
	var sums []Sums
	for _, target := range s.Targets {
		if r := e.records[IDOf(target)]; r != nil && r.sums.Calls > 0 {
			sums = append(sums, r.sums)
		}
	}
	return halfCalls(sums)
}

// medianOf returns the median. It is not known of fewer than two values, which it sorts.
func medianOf(values []float64) (float64, bool) {
	if len(values) < 2 {
		return 0, false
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2, true
}

// next returns the factor that follows the one in force, given a new estimate. Factors have one
// decimal.
func (b Band) next(inForce, estimate float64) float64 {
	limit := b.Enter
	if inForce != 1 {
		limit = b.Leave
	}
	switch {
	case estimate < limit && estimate > 1/limit:
		return 1
	case inForce != 1 && holds(inForce, estimate):
		return inForce
	}
	return math.Round(10*math.Min(maxFactor, math.Max(minFactor, estimate))) / 10
}

// holds reports whether an estimate is too near the factor in force to replace it. Factors of 0.2 and 0.3
// are further apart than minChange: estimates around 0.25 then count for the one in force.
func holds(inForce, estimate float64) bool {
	margin := math.Sqrt(minChange)
	return estimate < math.Max(inForce*minChange, (inForce+halfDecimal)*margin) &&
		estimate > math.Min(inForce/minChange, (inForce-halfDecimal)/margin)
}

// Factor returns the factor in force of a target, 1 if it has none.
func (e *Estimator) Factor(target ID) float64 {
	if r := e.records[target]; r != nil {
		return r.factor
	}
	return 1
}
