package plain

// returnUnusedRetries gives back the retries with which nothing was sent, because the targets'
// failure domain was evacuated after they were chosen.
func (r *run) returnUnusedRetries() {
	if !r.evacuated {
		return
	}
	for unused := r.retries - max(0, r.sends-1); unused > 0; unused-- {
		r.server.RetryBudget(r.call.Service.Name).ReturnRetry()
	}
}
