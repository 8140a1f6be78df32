package service

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
)

// serve wraps a call with the faults. A call that has been taken runs even if
// its caller goes away meanwhile.
func (s *Server) serve(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		what, fault := s.enter(r.URL.Path)
		switch what {
		case outcomeRefuse:
			problem.Write(w, s.refusal())
			return
		case outcomeDrop:
			panic(http.ErrAbortHandler)
		}
		time.Sleep(fault.RequestDelay)
		answer, err := call(r)
		time.Sleep(fault.AnswerDelay)
		switch {
		case what == outcomeDie:
			s.log.Error("ended by a fault")
			s.options.Exit()
			panic(http.ErrAbortHandler)
		case what == outcomeCut:
			panic(http.ErrAbortHandler)
		case what == outcomeFail:
			http.Error(w, "internal error", http.StatusInternalServerError)
		case err != nil:
			problem.Write(w, err)
		default:
			send(w, answer)
		}
	}
}
