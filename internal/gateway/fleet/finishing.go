package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/wait"
)

const (
	// finishBatch is the time for which ended tickets are collected.
	finishBatch = 20 * time.Millisecond
	// finishRetry is the time between two attempts to return places to an owner
	// that gave no answer. A place that is not returned counts as used there for
	// many minutes, and the pool grants less than it could.
	finishRetry = 1 * time.Second
	// finishTries bounds the attempts. An owner that is silent for longer is dead
	// to its peers, and its successor never held the places.
	finishTries = 30
)

// report is an ended ticket with the agent that granted it.
type report struct {
	agent    string
	finished control.Finished
	tries    int // attempts that got no answer
}

// finish queues an ended ticket for its owner.
func (f *Fleet) finish(agent string, finished control.Finished) {
	select {
	case f.finished <- report{agent: agent, finished: finished}:
	default: // owners forget tickets by themselves, if late
	}
}

// sendFinished sends ended tickets in batches, one call an owner, and again
// those that got no answer.
func (f *Fleet) sendFinished(ctx context.Context) {
	retry := time.NewTicker(finishRetry)
	defer retry.Stop()
	var held []report
	for {
		select {
		case <-ctx.Done():
			f.flushFinished(f.collect(held))
			return
		case <-retry.C:
			held = f.flushFinished(held)
		case first := <-f.finished:
			wait.For(ctx, finishBatch)
			undelivered := f.flushFinished(f.collect([]report{first}))
			held = append(held, undelivered...)
		}
		held = held[max(0, len(held)-finishQueue):]
	}
}

func (f *Fleet) collect(batch []report) []report {
	for len(batch) < maxBatch {
		select {
		case r := <-f.finished:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// flushFinished sends a batch and returns what is to be sent again. It uses a
// context of its own, so that a stopping gateway still returns its places.
func (f *Fleet) flushFinished(batch []report) (undelivered []report) {
	byAgent := make(map[string][]report)
	for _, r := range batch {
		byAgent[r.agent] = append(byAgent[r.agent], r)
	}
	for agent, reports := range byAgent {
		if !f.isCut(forAdmission, agent) && f.callFinish(agent, reports) {
			continue
		}
		for _, r := range reports {
			r.tries++
			if r.tries < finishTries {
				undelivered = append(undelivered, r)
			}
		}
	}
	return undelivered
}

// callFinish tells an owner which tickets ended, and whether it took them.
func (f *Fleet) callFinish(agent string, reports []report) bool {
	args := control.FinishArgs{}
	for _, r := range reports {
		args.Finished = append(args.Finished, r.finished)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	err := f.pool.Call(ctx, agent, "Scheduler.Finish", args, new(control.Empty))
	if err != nil {
		f.options.Log.Debug("owner did not take ended tickets", "owner", agent, "error", err)
	}
	return err == nil
}
