package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/wait"
)

const (
	// finishBatchDelay is how long ended tickets are collected into a batch.
	finishBatchDelay = 20 * time.Millisecond
	// finishRetryInterval separates attempts to release slots at an owner that did not
	// answer. A slot that is not released counts as used there for many minutes, and
	// the pool grants less than it could.
	finishRetryInterval = 1 * time.Second
	// maxFinishAttempts bounds the attempts. By then the peers of an owner that does not
	// answer have declared it dead, and its successor never granted the slots.
	maxFinishAttempts = 30
)

// finishReport is an ended ticket and the address of the agent that granted it.
type finishReport struct {
	owner          string
	finished       control.Finished
	failedAttempts int // attempts that were not answered
}

// queueFinished queues an ended ticket for its owner. It does not block.
func (f *Fleet) queueFinished(owner string, finished control.Finished) {
	select {
	case f.finished <- finishReport{owner: owner, finished: finished}:
	default: // the owner expires the ticket, though late
	}
}

// sendFinished sends ended tickets in batches, one call for each owner, and retries
// those that were not delivered.
func (f *Fleet) sendFinished(ctx context.Context) {
	retry := time.NewTicker(finishRetryInterval)
	defer retry.Stop()
	var pending []finishReport
	for {
		select {
		case <-ctx.Done():
			f.flushFinished(f.collectFinished(pending))
			return
		case <-retry.C:
			pending = f.flushFinished(pending)
		case first := <-f.finished:
			wait.For(ctx, finishBatchDelay)
			undelivered := f.flushFinished(f.collectFinished([]finishReport{first}))
			pending = append(pending, undelivered...)
		}
		pending = pending[max(0, len(pending)-finishedQueueSize):]
	}
}

// collectFinished adds queued reports to a batch, up to maxBatch.
func (f *Fleet) collectFinished(batch []finishReport) []finishReport {
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

// flushFinished sends a batch and returns the reports to retry. It uses a context of
// its own, so that a stopping gateway still releases its slots.
func (f *Fleet) flushFinished(batch []finishReport) (undelivered []finishReport) {
	byOwner := make(map[string][]finishReport)
	for _, r := range batch {
		byOwner[r.owner] = append(byOwner[r.owner], r)
	}
	for owner, reports := range byOwner {
		if !f.isUnresponsive(purposeAdmission, owner) && f.callFinish(owner, reports) {
			continue
		}
		for _, r := range reports {
			r.failedAttempts++
			if r.failedAttempts < maxFinishAttempts {
				undelivered = append(undelivered, r)
			}
		}
	}
	return undelivered
}

// callFinish sends ended tickets to their owner and reports whether the owner accepted
// them.
func (f *Fleet) callFinish(owner string, reports []finishReport) bool {
	args := control.FinishArgs{}
	for _, r := range reports {
		args.Finished = append(args.Finished, r.finished)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	err := f.pool.Call(ctx, owner, "Scheduler.Finish", args, new(control.Empty))
	if err != nil {
		f.options.Log.Debug("release of slots at the owner failed", "owner", owner, "error", err)
	}
	return err == nil
}
