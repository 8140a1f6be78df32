package streaming

import (
	"slices"

	"corianderhitch/internal/edge"
)

// replicaState is what may be done with a run's replica. The run's mu guards it; enter is the only place that
// changes it.
type replicaState int

const (
	// replicaKept: the run executes at the source, and continues from the replica if that ends.
	replicaKept replicaState = iota
	// replicaMoving: a final copy is in flight. The goroutine that reads the stream waits for its outcome.
	replicaMoving
	// replicaUnconfirmed: a final copy has ended, and it is not known whether the run executes at the source.
	replicaUnconfirmed
	// replicaMoved: the final copy has stopped the run, which continues from the memory that it named.
	replicaMoved
	// replicaTaken: the run continues from the replica or has ended, or another replica has replaced it.
	replicaTaken
)

// replicaTransitions are the legal changes of state. An event from the source or a later copy shows that the run
// executes there, so that a replica which is unconfirmed is kept again.
var replicaTransitions = map[replicaState][]replicaState{
	replicaKept:        {replicaMoving, replicaTaken},
	replicaMoving:      {replicaKept, replicaUnconfirmed, replicaMoved, replicaTaken},
	replicaUnconfirmed: {replicaKept, replicaMoving, replicaTaken},
	replicaMoved:       {replicaTaken},
	replicaTaken:       {},
}

// String returns the name of the state in log lines.
func (s replicaState) String() string {
	return [...]string{"kept", "moving", "unconfirmed", "moved", "taken"}[s]
}

// enter changes the state if the change is legal, and reports whether it did.
func (s *replicaState) enter(next replicaState) bool {
	legal := slices.Contains(replicaTransitions[*s], next)
	if legal {
		*s = next
	}
	return legal
}

// canBeReplaced reports whether the replica may be taken over, discarded or replaced: no final copy may be about to
// stop the run, or have stopped it.
func (s replicaState) canBeReplaced() bool { return s == replicaKept || s == replicaUnconfirmed }

// awaitsStop reports whether the end of the stream may be due to a final copy.
func (s replicaState) awaitsStop() bool {
	return s == replicaMoving || s == replicaUnconfirmed || s == replicaMoved
}

// stateAfter returns the state to which the outcome of a final copy leads.
func stateAfter(reply edge.MoveReply) replicaState {
	switch {
	case stoppedAtSource(reply):
		return replicaMoved
	case reply.Result == edge.MoveBusy, reply.Result == edge.MoveNoRoom, didNotReach(reply):
		return replicaKept
	default:
		return replicaUnconfirmed
	}
}

// finalCopy is one attempt to stop the run with a copy of its memory.
type finalCopy struct {
	reply edge.MoveReply // set before done is closed
	ended bool           // guarded by the run's mu
	done  chan struct{}
}
