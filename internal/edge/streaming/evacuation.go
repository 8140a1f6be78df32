package streaming

// evacuationRefusals counts the engines that were chosen for a request and got nothing, because the
// gate found their failure domain evacuated.
type evacuationRefusals struct {
	refused int
	// retry means that a retry was taken from the budget; the others are as of then.
	retry         bool
	refusedBefore int
	triedBefore   int
}

// retryTaken records that a retry was taken from the budget after the given number of engines was
// tried.
func (e *evacuationRefusals) retryTaken(tried int) {
	e.retry, e.refusedBefore, e.triedBefore = true, e.refused, tried
}

// isUnused reports whether the engines that were chosen with the last retry were all evacuated, of
// the given number of engines that have been tried.
func (e *evacuationRefusals) isUnused(tried int) bool {
	since := e.refused - e.refusedBefore
	return e.retry && since > 0 && tried-e.triedBefore == since
}

// returnUnusedRetry gives back the last retry if it ended at evacuated engines only.
func (s *Server) returnUnusedRetry(r *Run) {
	if e := &r.attempts.evacuation; e.isUnused(len(r.attempts.tried)) {
		e.retry = false
		s.RetryBudget(r.call.Service.Name).ReturnRetry()
	}
}
