package service

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
)

// serve wraps a call with the faults. A call that has been taken runs even if
// its caller goes away meanwhile.
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
		answer, err := call(r)
		time.Sleep(fault.AnswerDelay)
		switch {
		case injected == effectCrash:
			s.log.Error("ended by a fault")
			s.options.Exit()
			panic(http.ErrAbortHandler)
		case injected == effectDropResponse:
			panic(http.ErrAbortHandler)
		case injected == effectInternalError:
			http.Error(w, "internal error", http.StatusInternalServerError)
		case err != nil:
			problem.Write(w, err)
		default:
			writeJSON(w, answer)
		}
	}
}
