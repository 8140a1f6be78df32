package service

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
)

// withFaults returns a handler that applies the injected fault to a call. A call that
// has started runs to its end even if its caller disconnects.
func (s *Server) withFaults(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		injected, fault := s.takeFault(r.URL.Path)
		switch injected {
		case effectReject:
			problem.Write(w, s.leavingProblem())
			return
		case effectDropRequest:
			panic(http.ErrAbortHandler)
		}
		time.Sleep(fault.RequestDelay)
		result, err := call(r)
		time.Sleep(fault.ResponseDelay)
		switch {
		case injected == effectCrash:
			s.log.Error("exiting because of an injected fault")
			s.options.Exit()
			panic(http.ErrAbortHandler)
		case injected == effectDropResponse:
			panic(http.ErrAbortHandler)
		case injected == effectInternalError:
			http.Error(w, "internal error", http.StatusInternalServerError)
		case err != nil:
			problem.Write(w, err)
		default:
			writeJSON(w, result)
		}
	}
}
