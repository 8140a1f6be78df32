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
const maxTokensPerWrite = 512

// tokenLead returns the beginning of a token event.
func tokenEventPrefix(id string) []byte {
	quoted, err := json.Marshal(id)
	if err != nil {
		quoted = []byte(`""`)
	}
	return []byte(`event: token` + "\n" + `data: {"generation":` + string(quoted) + `,"offset":`)
}

// appendToken appends a token event, equal to the JSON of apiengine.Token.
func appendTokenEvent(dst []byte, g *generation, offset int) []byte {
	dst = append(dst, g.tokenPrefix...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, `,"text":"`...)
	dst = enginemodel.AppendToken(dst, g.tag, offset)
	return append(dst, "\"}\n\n"...)
}

// appendDone appends the last event.
func appendDoneEvent(dst []byte, done apiengine.Done) []byte {
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
func (s *Server) streamGeneration(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	s.mu.Lock()
	updates := g.subscribe()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		g.unsubscribe(updates)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	var buffer []byte
	for {
		next := s.nextChunk(g, offset)
		if next.interrupted {
			panic(http.ErrAbortHandler)
		}
		buffer = buffer[:0]
		for ; offset < next.end; offset++ {
			buffer = appendTokenEvent(buffer, g, offset)
		}
		if next.done {
			buffer = appendDoneEvent(buffer, next.doneEvent)
		}
		if len(buffer) > 0 && !writeAndFlush(w, control, buffer) || next.done {
			return
		}
		if next.moreAvailable {
			continue
		}
		select {
		case <-updates:
		case <-r.Context().Done():
			return
		}
	}
}

func writeAndFlush(w http.ResponseWriter, control *http.ResponseController, data []byte) bool {
	if _, err := w.Write(data); err != nil {
		return false
	}
	return control.Flush() == nil
}

// progress is what can be sent next.
type chunk struct {
	end           int  // tokens before end can be sent
	moreAvailable bool // there are tokens behind end already
	done          bool // nothing follows but the last event
	interrupted   bool
	doneEvent     apiengine.Done
}

func (s *Server) nextChunk(g *generation, offset int) chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := max(offset, min(g.tokenCount, offset+maxTokensPerWrite))
	more := end < g.tokenCount
	return chunk{
		end:           end,
		moreAvailable: more,
		done:          g.hasEnded() && !more,
		interrupted:   g.interrupted,
		doneEvent:     apiengine.Done{Generation: g.id, Tokens: g.tokenCount, Reason: g.reason},
	}
}
