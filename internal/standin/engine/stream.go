package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// maxTokensPerWrite limits the tokens encoded for one write, which bounds the buffer
// when a long generation is replayed.
const maxTokensPerWrite = 512

// tokenEventPrefix returns the part of a token event before the offset, which is the
// same for all tokens of a generation.
func tokenEventPrefix(id string) []byte {
	quoted, err := json.Marshal(id)
	if err != nil {
		quoted = []byte(`""`)
	}
	return []byte(`event: token` + "\n" + `data: {"generation":` + string(quoted) + `,"offset":`)
}

// appendTokenEvent appends a token event whose data equals the JSON encoding of
// apiengine.Token.
func appendTokenEvent(dst []byte, g *generation, offset int) []byte {
	dst = append(dst, g.tokenPrefix...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, `,"text":"`...)
	dst = enginemodel.AppendToken(dst, g.tag, offset)
	return append(dst, "\"}\n\n"...)
}

// appendDoneEvent appends the last event of a stream.
func appendDoneEvent(dst []byte, done apiengine.Done) []byte {
	body, err := json.Marshal(done)
	if err != nil {
		return dst
	}
	dst = append(dst, "event: done\ndata: "...)
	dst = append(dst, body...)
	return append(dst, "\n\n"...)
}

// streamGeneration sends the tokens of a generation from an offset to its end as
// server-sent events. The generation continues if the reader disconnects. The
// connection is aborted if the engine stops before the generation has finished.
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

// writeAndFlush reports whether data was sent.
func writeAndFlush(w http.ResponseWriter, control *http.ResponseController, data []byte) bool {
	if _, err := w.Write(data); err != nil {
		return false
	}
	return control.Flush() == nil
}

// chunk describes what a reader at some offset can be sent next.
type chunk struct {
	end           int  // exclusive offset of the tokens that can be sent now
	moreAvailable bool // more tokens exist after end
	done          bool // all tokens are covered; doneEvent ends the stream
	interrupted   bool
	doneEvent     apiengine.Done
}

// nextChunk returns what can be sent to a reader that has all tokens before offset.
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
