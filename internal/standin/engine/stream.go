package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// maxWriteTokens bounds the tokens of one write, so that a long replay needs
// little memory.
const maxWriteTokens = 512

// tokenLead returns the beginning of a token event.
func tokenLead(id string) []byte {
	quoted, err := json.Marshal(id)
	if err != nil {
		quoted = []byte(`""`)
	}
	return []byte(`event: token` + "\n" + `data: {"generation":` + string(quoted) + `,"offset":`)
}

// appendToken appends a token event, equal to the JSON of apiengine.Token.
func appendToken(dst []byte, g *generation, offset int) []byte {
	dst = append(dst, g.lead...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, `,"text":"`...)
	dst = enginemodel.AppendToken(dst, g.tag, offset)
	return append(dst, "\"}\n\n"...)
}

// appendDone appends the last event.
func appendDone(dst []byte, done apiengine.Done) []byte {
	body, err := json.Marshal(done)
	if err != nil {
		return dst
	}
	dst = append(dst, "event: done\ndata: "...)
	dst = append(dst, body...)
	return append(dst, "\n\n"...)
}

// stream sends a generation from an offset to its end. A reader that goes away
// leaves the generation running.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	s.mu.Lock()
	news := g.subscribe()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		g.unsubscribe(news)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	var buffer []byte
	for {
		part := s.progress(g, offset)
		if part.lost {
			panic(http.ErrAbortHandler)
		}
		buffer = buffer[:0]
		for ; offset < part.end; offset++ {
			buffer = appendToken(buffer, g, offset)
		}
		if part.done {
			buffer = appendDone(buffer, part.last)
		}
		if len(buffer) > 0 && !write(w, control, buffer) || part.done {
			return
		}
		if part.more {
			continue
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, control *http.ResponseController, data []byte) bool {
	if _, err := w.Write(data); err != nil {
		return false
	}
	return control.Flush() == nil
}

// progress is what can be sent next.
type progress struct {
	end  int  // tokens before end can be sent
	more bool // there are tokens behind end already
	done bool // nothing follows but the last event
	lost bool
	last apiengine.Done
}

func (s *Server) progress(g *generation, offset int) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := max(offset, min(g.tokens, offset+maxWriteTokens))
	more := end < g.tokens
	return progress{
		end:  end,
		more: more,
		done: g.done() && !more,
		lost: g.lost,
		last: apiengine.Done{Generation: g.id, Tokens: g.tokens, Reason: g.reason},
	}
}
